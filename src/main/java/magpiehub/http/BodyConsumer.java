package magpiehub.http;

import java.io.IOException;

/** Consumes a body piece by piece, as its bytes are received. */
interface BodyConsumer {
    /** Consumes a piece, which is valid during the call only. */
    void accept(byte[] array, int offset, int count) throws IOException, InterruptedException;
}
