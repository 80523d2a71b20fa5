package magpiehub.http;

import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import magpiehub.concurrent.MonotonicClock;

/**
 * The bytes of a connection that have been received and not yet consumed. Each connection has one buffer; it grows as
 * needed and is compacted in place. Used by the connection's reading thread only.
 */
final class ReadBuffer {
    private static final int INITIAL_BYTES = 2048;

    /**
     * A larger buffer is released between messages, so that idle connections do not retain the memory of their largest
     * body.
     */
    private static final int MAX_IDLE_BYTES = 8192;

    /** The maximum size of one read, even if a large body leaves more space. */
    private static final int MAX_READ_BYTES = 16 * 1024;

    private final InputStream in;
    private final MonotonicClock clock;
    private byte[] bytes = new byte[INITIAL_BYTES];
    private int position;
    private int limit;
    private long messageStartMicros;
    private long messageTimeoutMicros = Long.MAX_VALUE;

    ReadBuffer(InputStream in, MonotonicClock clock) {
        this.in = in;
        this.clock = clock;
    }

    /**
     * Sets the time limit for a message, counted from its first byte, which also ends a message that is sent byte by
     * byte.
     */
    void setMessageTimeoutMicros(long timeoutMicros) {
        messageTimeoutMicros = timeoutMicros;
    }

    /** When the first byte of the current message was received. */
    long messageStartMicros() {
        return messageStartMicros;
    }

    /** Waits for the first byte of the next message; returns false if the peer has closed the connection. */
    boolean awaitMessage() throws IOException {
        if (position < limit) {
            return true;
        }
        if (bytes.length > MAX_IDLE_BYTES) {
            bytes = new byte[INITIAL_BYTES];
        }
        position = 0;
        limit = 0;
        if (!fill()) {
            return false;
        }
        messageStartMicros = clock.micros();
        return true;
    }

    boolean isEmpty() {
        return position == limit;
    }

    /** The number of received bytes that have not been consumed. */
    int available() {
        return limit - position;
    }

    /**
     * The array that holds the unconsumed bytes, starting at {@link #position()}. Valid until more bytes are received.
     */
    byte[] array() {
        return bytes;
    }

    int position() {
        return position;
    }

    void skip(int count) {
        position += count;
    }

    /** Receives bytes until at least {@code count} are available. */
    void ensureAvailable(int count, String context) throws IOException {
        while (available() < count) {
            receive(context);
        }
    }

    /** Consumes and returns bytes, which must be available. */
    byte[] take(int count) {
        byte[] taken = Arrays.copyOfRange(bytes, position, position + count);
        position += count;
        return taken;
    }

    /**
     * Receives at least one byte.
     *
     * @param context what is being read, for the message of the exception
     * @throws SocketTimeoutException if the message has taken longer than its time limit
     * @throws EOFException if the peer has closed the connection
     */
    void receive(String context) throws IOException {
        if (messageTimeoutMicros != Long.MAX_VALUE && clock.micros() - messageStartMicros > messageTimeoutMicros) {
            throw new SocketTimeoutException("too slow in " + context);
        }
        if (!fill()) {
            throw new EOFException("connection ended in " + context);
        }
    }

    /** Receives at least one byte; returns false at the end of the stream. */
    private boolean fill() throws IOException {
        if (limit == bytes.length) {
            ensureSpace();
        }
        int count = in.read(bytes, limit, Math.min(bytes.length - limit, MAX_READ_BYTES));
        if (count <= 0) {
            return false;
        }
        limit += count;
        return true;
    }

    private void ensureSpace() {
        if (position > 0) {
            System.arraycopy(bytes, position, bytes, 0, limit - position);
            limit -= position;
            position = 0;
        } else {
            bytes = Arrays.copyOf(bytes, bytes.length * 2);
        }
    }

    /**
     * Consumes a line and returns it without its end, which is LF or CR LF. A line with a control character is answered
     * with status 400.
     *
     * @param maxBytes the maximum length of the line
     * @param status the status of the response to a longer line
     * @param context what the line is, for the message of the exception
     */
    String readLine(int maxBytes, int status, String context) throws IOException {
        String line = readLineAllowingControlCharacters(maxBytes, status, context);
        for (int i = 0; i < line.length(); i++) {
            if (HttpSyntax.isControl(line.charAt(i))) {
                throw new HttpException(400, "control character in " + context);
            }
        }
        return line;
    }

    /** Like {@link #readLine}, for a line that may contain control characters. */
    String readLineAllowingControlCharacters(int maxBytes, int status, String context) throws IOException {
        int scanned = 0;
        while (true) {
            for (; position + scanned < limit; scanned++) {
                if (bytes[position + scanned] == '\n') {
                    return takeLine(scanned);
                }
                if (scanned >= maxBytes) {
                    throw new HttpException(status, context + " too long");
                }
            }
            receive(context);
        }
    }

    private String takeLine(int lengthBeforeLineFeed) {
        int length = lengthBeforeLineFeed;
        if (length > 0 && bytes[position + length - 1] == '\r') {
            length--;
        }
        String line = new String(bytes, position, length, StandardCharsets.ISO_8859_1);
        position += lengthBeforeLineFeed + 1;
        return line;
    }
}
