package magpiehub.http;

import java.io.IOException;
import java.io.InputStream;
import magpiehub.concurrent.MonotonicClock;

/**
 * Reads the messages of one connection, one after another: {@link #awaitMessage}, one of the methods that read a head,
 * then one of those that read a body. A message that can't be read causes an {@link HttpException}; after that, neither
 * the reader nor the connection can be used. Used by one thread.
 */
public final class HttpReader {
    private final ReadBuffer buffer;
    private final HeadParser headParser;
    private final ChunkedDecoder chunks;

    /**
     * Creates a reader.
     *
     * @param in the connection's input, which applies its own read timeouts
     * @param clock measures how long a message takes; read after each wait for bytes
     */
    public HttpReader(InputStream in, MonotonicClock clock) {
        buffer = new ReadBuffer(in, clock);
        headParser = new HeadParser(buffer);
        chunks = new ChunkedDecoder(buffer);
    }

    /**
     * Sets the time limit for a message, counted from its first byte, which also ends a message that is sent byte by
     * byte. A slower one fails with a {@link java.net.SocketTimeoutException}. Initially there is no limit.
     */
    public void setMessageTimeoutMicros(long timeoutMicros) {
        buffer.setMessageTimeoutMicros(timeoutMicros);
    }

    /** Sets the largest chunk that is accepted, for a peer that may send larger ones than an engine. */
    public void setMaxChunkBytes(int maxBytes) {
        chunks.setMaxChunkBytes(maxBytes);
    }

    /** When the first byte of the current message was received. */
    public long messageStartMicros() {
        return buffer.messageStartMicros();
    }

    /** Whether no bytes after the last message read have been received. */
    public boolean isBufferEmpty() {
        return buffer.isEmpty();
    }

    /** Waits for the first byte of the next message; returns false if the peer has closed the connection. */
    public boolean awaitMessage() throws IOException {
        return buffer.awaitMessage();
    }

    /** Reads the head of a request. */
    public HttpHead readRequestHead() throws IOException {
        return headParser.readRequestHead();
    }

    /** Reads the head of a response. */
    public HttpHead readResponseHead() throws IOException {
        return headParser.readResponseHead();
    }

    /** Reads a body as a whole. */
    public byte[] readBody(HttpHead head) throws IOException {
        int length = BodyFraming.contentLength(head, HttpLimits.MAX_BODY_BYTES);
        if (length == BodyFraming.CHUNKED) {
            return readChunkedBody();
        }
        buffer.ensureAvailable(length, "body");
        return buffer.take(length);
    }

    private byte[] readChunkedBody() throws IOException {
        ByteAccumulator body = new ByteAccumulator();
        for (int size = chunks.readChunkSize(); size > 0; size = chunks.readChunkSize()) {
            if (body.length() + size > HttpLimits.MAX_BODY_BYTES) {
                throw new HttpException(413, "body too large");
            }
            buffer.ensureAvailable(size, "chunk");
            body.append(buffer.array(), buffer.position(), size);
            buffer.skip(size);
            chunks.readChunkEnd();
        }
        return body.take();
    }

    /**
     * Returns a body as a stream, for one that is read piece by piece and may be large. It must be read to its end
     * before the next message.
     *
     * @param maxBytes a longer body is answered with status 413
     */
    public InputStream openBody(HttpHead head, int maxBytes) throws IOException {
        return new BodyInputStream(buffer, chunks, BodyFraming.contentLength(head, maxBytes), maxBytes);
    }

    /** Reads a body of server-sent events, each passed to the handler including the blank line that ends it. */
    public void readEvents(HttpHead head, EventHandler handler) throws IOException, InterruptedException {
        int length = BodyFraming.contentLength(head, HttpLimits.MAX_BODY_BYTES);
        if (length == 0) {
            throw new HttpException(502, "stream without framing");
        }
        EventSplitter splitter = new EventSplitter(handler);
        if (length == BodyFraming.CHUNKED) {
            readChunks(splitter);
        } else {
            readPieces(length, splitter);
        }
        splitter.finish();
    }

    /**
     * Reads a chunked body line by line, each passed to the handler without its line feed. An unterminated line at the
     * end of the body is dropped. A body that is not chunked is passed as a whole.
     *
     * @param maxLineBytes a longer line is answered with status 502
     */
    public void readLines(HttpHead head, EventHandler handler, int maxLineBytes)
            throws IOException, InterruptedException {
        if (BodyFraming.contentLength(head, HttpLimits.MAX_BODY_BYTES) == BodyFraming.CHUNKED) {
            readChunks(new LineSplitter(handler, maxLineBytes));
        } else {
            handler.onEvent(readBody(head));
        }
    }

    private void readChunks(BodyConsumer consumer) throws IOException, InterruptedException {
        for (int size = chunks.readChunkSize(); size > 0; size = chunks.readChunkSize()) {
            readPieces(size, consumer);
            chunks.readChunkEnd();
        }
    }

    /** Passes a number of bytes to the consumer as they are received, without copying them. */
    private void readPieces(int count, BodyConsumer consumer) throws IOException, InterruptedException {
        int remainingBytes = count;
        while (remainingBytes > 0) {
            buffer.ensureAvailable(1, "chunk");
            int length = Math.min(remainingBytes, buffer.available());
            int offset = buffer.position();
            buffer.skip(length);
            consumer.accept(buffer.array(), offset, length);
            remainingBytes -= length;
        }
    }
}
