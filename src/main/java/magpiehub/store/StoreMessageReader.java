package magpiehub.store;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;

/** Reads the messages of one connection. Not thread-safe. */
final class StoreMessageReader {
    private static final int READ_BUFFER_BYTES = 4096;

    private final InputStream in;

    StoreMessageReader(InputStream in) {
        this.in = new BufferedInputStream(in, READ_BUFFER_BYTES);
    }

    /**
     * Returns the next message; null at the end of the input. An incomplete line is dropped.
     *
     * @throws IOException if reading fails, or the line is too long or malformed
     * @throws RuntimeException if a member of the message is malformed
     */
    StoreMessage read() throws IOException {
        byte[] line = readLine();
        return line == null ? null : StoreMessageCodec.decode(line);
    }

    /** Returns the next line without its line feed; null at the end of the input. */
    private byte[] readLine() throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int b = in.read(); b >= 0; b = in.read()) {
            if (b == '\n') {
                return line.toByteArray();
            }
            line.write(b);
            if (line.size() > StoreMessageCodec.MAX_LINE_BYTES) {
                throw new IOException("line is longer than " + StoreMessageCodec.MAX_LINE_BYTES + " bytes");
            }
        }
        return null;
    }
}
