package magpiehub.http;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;

/** Builds the bytes of a message, or of several that are sent with one write. Used by one thread at a time. */
public final class HttpWriter {
    /** Larger output is written in parts of this size, so that the progress of a slow peer can be observed. */
    private static final int MAX_WRITE_BYTES = 32 * 1024;

    private final ByteAccumulator buffer = new ByteAccumulator();

    /** The number of bytes that have been appended and not yet written or taken. */
    public int length() {
        return buffer.length();
    }

    /** Appends a range of an array. */
    public HttpWriter append(byte[] source, int offset, int count) {
        buffer.append(source, offset, count);
        return this;
    }

    /** Appends an array. */
    public HttpWriter append(byte[] source) {
        return append(source, 0, source.length);
    }

    /** Appends a text in UTF-8. */
    public HttpWriter append(String text) {
        return append(text.getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Appends one chunk of a chunked body; nothing if there are no bytes, because an empty chunk would end the body.
     */
    public HttpWriter appendChunk(byte[] data) {
        if (data.length == 0) {
            return this;
        }
        return append(Integer.toHexString(data.length))
                .append("\r\n")
                .append(data)
                .append("\r\n");
    }

    /** Appends the end of a chunked body. */
    public HttpWriter appendLastChunk() {
        return append("0\r\n\r\n");
    }

    /** Returns the bytes and removes them. */
    public byte[] take() {
        return buffer.take();
    }

    /** Writes the bytes in one call and removes them. */
    public void flushTo(OutputStream out) throws IOException {
        buffer.writeTo(out, 0, buffer.length());
        buffer.clear();
    }

    /**
     * Writes the bytes and removes them; large output is written in several parts, so that the progress of a peer that
     * reads slowly can be observed.
     *
     * @param onProgress called between the parts
     */
    public void flushTo(OutputStream out, Runnable onProgress) throws IOException {
        int length = buffer.length();
        for (int offset = 0; offset < length; offset += MAX_WRITE_BYTES) {
            if (offset > 0) {
                onProgress.run();
            }
            buffer.writeTo(out, offset, Math.min(MAX_WRITE_BYTES, length - offset));
        }
        buffer.clear();
    }
}
