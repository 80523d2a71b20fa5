package magpiehub.http;

import java.io.IOException;
import java.io.InputStream;

/** A message's body as a stream that ends at the end of the body. */
final class BodyInputStream extends InputStream {
    private final ReadBuffer buffer;
    private final ChunkedDecoder chunks;
    private final boolean isChunked;
    private final int maxBytes;

    /** The unread bytes of the current chunk, or of the body if it is not chunked. */
    private int remainingBytes;

    private boolean isFirstChunkSizeRead;
    private boolean isAtEnd;
    private long totalBytes;

    /**
     * Creates a stream.
     *
     * @param contentLength the result of {@link BodyFraming#contentLength}
     * @param maxBytes a longer chunked body is answered with status 413
     */
    BodyInputStream(ReadBuffer buffer, ChunkedDecoder chunks, int contentLength, int maxBytes) {
        this.buffer = buffer;
        this.chunks = chunks;
        this.maxBytes = maxBytes;
        isChunked = contentLength == BodyFraming.CHUNKED;
        remainingBytes = isChunked ? 0 : contentLength;
        isAtEnd = contentLength == 0;
    }

    @Override
    public int read() throws IOException {
        byte[] single = new byte[1];
        return read(single, 0, 1) < 0 ? -1 : single[0] & 0xff;
    }

    @Override
    public int read(byte[] target, int offset, int count) throws IOException {
        if (!isAtEnd && remainingBytes == 0) {
            beginChunk();
        }
        if (isAtEnd) {
            return -1;
        }
        if (count == 0) {
            return 0;
        }
        buffer.ensureAvailable(1, "body");
        int length = Math.min(Math.min(count, remainingBytes), buffer.available());
        System.arraycopy(buffer.array(), buffer.position(), target, offset, length);
        buffer.skip(length);
        remainingBytes -= length;
        isAtEnd = remainingBytes == 0 && !isChunked;
        return length;
    }

    private void beginChunk() throws IOException {
        if (isFirstChunkSizeRead) {
            chunks.readChunkEnd();
        }
        isFirstChunkSizeRead = true;
        remainingBytes = chunks.readChunkSize();
        isAtEnd = remainingBytes == 0;
        totalBytes += remainingBytes;
        if (totalBytes > maxBytes) {
            throw new HttpException(413, "body too large");
        }
    }
}
