package magpiehub.admin;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;

/**
 * Reads the single command line of a connection.
 *
 * <p>A line ends with LF or CRLF and consists of printable ASCII. It is rejected unless it arrives completely and in
 * time, since a truncated command must not be executed.
 */
final class CommandLineReader {
    /** Longest line, including its line end. */
    static final int MAX_LINE_BYTES = 512;

    /** How long a client may take to send its line. */
    private static final int LINE_TIMEOUT_MILLIS = 5_000;

    private static final byte ASCII_DELETE = 0x7f;

    private final Socket socket;
    private final byte[] buffer = new byte[MAX_LINE_BYTES];
    /** The number of bytes read so far. */
    private int length;

    private CommandLineReader(Socket socket) {
        this.socket = socket;
    }

    /**
     * Returns the line without its line end.
     *
     * @throws MalformedCommandLineException if the client did not send exactly one complete line in time
     */
    static String read(Socket socket) throws IOException {
        return new CommandLineReader(socket).readLine();
    }

    private String readLine() throws IOException {
        long deadlineNanos = System.nanoTime() + LINE_TIMEOUT_MILLIS * 1_000_000L;
        int lineFeed = -1;
        while (lineFeed < 0) {
            int from = length;
            readMore(deadlineNanos);
            lineFeed = indexOfLineFeed(from);
            if (lineFeed < 0 && length == buffer.length) {
                throw new MalformedCommandLineException("the line is longer than " + MAX_LINE_BYTES + " bytes");
            }
        }
        if (lineFeed + 1 < length) {
            throw new MalformedCommandLineException("one line to a connection");
        }
        return decode(lineFeed > 0 && buffer[lineFeed - 1] == '\r' ? lineFeed - 1 : lineFeed);
    }

    private void readMore(long deadlineNanos) throws IOException {
        long remainingMillis = (deadlineNanos - System.nanoTime()) / 1_000_000;
        if (remainingMillis <= 0) {
            throw timedOut();
        }
        socket.setSoTimeout((int) remainingMillis);
        InputStream in = socket.getInputStream();
        int count;
        try {
            count = in.read(buffer, length, buffer.length - length);
        } catch (SocketTimeoutException e) {
            throw timedOut();
        }
        if (count < 0) {
            throw new MalformedCommandLineException(length == 0 ? "no line" : "the line has no end");
        }
        length += count;
    }

    private int indexOfLineFeed(int from) {
        for (int i = from; i < length; i++) {
            if (buffer[i] == '\n') {
                return i;
            }
        }
        return -1;
    }

    private String decode(int end) throws MalformedCommandLineException {
        for (int i = 0; i < end; i++) {
            // Bytes above 0x7f are negative here.
            if (buffer[i] < ' ' || buffer[i] == ASCII_DELETE) {
                throw new MalformedCommandLineException("the line is no printable ASCII");
            }
        }
        return new String(buffer, 0, end, StandardCharsets.US_ASCII);
    }

    private static MalformedCommandLineException timedOut() {
        return new MalformedCommandLineException("no whole line in time");
    }
}
