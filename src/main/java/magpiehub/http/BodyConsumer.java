package magpiehub.http;

import java.io.IOException;

/** Consumes a body piece by piece, as its bytes are received. */
interface BodyConsumer {
    /** Consumes a piece; the array is valid only during the call. */
    void accept(byte[] array, int offset, int count) throws IOException, InterruptedException;
}
