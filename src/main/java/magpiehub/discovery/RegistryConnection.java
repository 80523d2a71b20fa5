package magpiehub.discovery;

import java.io.EOFException;
import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicLong;
import javax.net.ssl.SSLContext;
import javax.net.ssl.SSLParameters;
import javax.net.ssl.SSLSocket;
import magpiehub.concurrent.MonotonicClock;
import magpiehub.config.HostPort;
import magpiehub.http.EventHandler;
import magpiehub.http.HttpHead;
import magpiehub.http.HttpReader;
import magpiehub.http.HttpWriter;
import magpiehub.http.Sockets;

/**
 * An HTTP/1.1 connection to one endpoint of a registry, with or without TLS. It carries one request at a time.
 *
 * <p>One thread connects, sends and reads. The connection does not retry, and reads have no timeout unless
 * {@link #setReadTimeout} is called: {@link #close} may be called from any thread and ends a call in progress with an
 * exception.
 */
final class RegistryConnection implements AutoCloseable {
    /** The maximum size of a response body; a list of 10,000 instances from Consul's health API takes about 10 MB. */
    static final int MAX_RESPONSE_BYTES = 64 << 20;

    /** The maximum length of one line of a watch; etcd sends pages of at most about 2 MB, each in one chunk. */
    private static final int MAX_LINE_BYTES = 8 << 20;

    /**
     * The longest wait that {@code Retry-After} can request (us): changes in the registry must reach the router within
     * 6 s, whatever wait an endpoint asks for.
     */
    private static final long MAX_RETRY_AFTER_MICROS = 2_000_000;

    private static final double MICROS_PER_SECOND = 1e6;

    /** How much of an error response's body is included in the exception message. */
    private static final int MAX_ERROR_TEXT_BYTES = 512;

    private static final int DRAIN_BUFFER_BYTES = 4096;
    private static final int STATUS_OK = 200;

    private final String endpoint;
    private final Socket plainSocket = new Socket();
    private final SSLContext tls;
    private final MonotonicClock clock;
    private final AtomicLong bytesRead;
    private volatile Socket socket = plainSocket;
    private volatile long lastReadMicros;
    private volatile boolean closed;
    private HttpReader input;

    /**
     * Creates a connection, which {@link #connect} opens.
     *
     * @param endpoint host and port
     * @param tls null for a connection without TLS
     * @param bytesRead counts the bytes read
     */
    RegistryConnection(String endpoint, SSLContext tls, MonotonicClock clock, AtomicLong bytesRead) {
        this.endpoint = endpoint;
        this.tls = tls;
        this.clock = clock;
        this.bytesRead = bytesRead;
        this.lastReadMicros = clock.micros();
    }

    /** Returns the host and port that this connection connects to. */
    String endpoint() {
        return endpoint;
    }

    /** Connects and performs the TLS handshake if TLS is used; the timeout applies to the TCP connect only. */
    void connect(int timeoutMillis) throws IOException {
        plainSocket.setTcpNoDelay(true);
        plainSocket.connect(HostPort.toSocketAddress(endpoint), timeoutMillis);
        if (tls != null) {
            startTls();
        }
        lastReadMicros = clock.micros();
        input = new HttpReader(new CountingInputStream(socket.getInputStream()), clock);
        input.setMaxChunkBytes(MAX_RESPONSE_BYTES);
    }

    private void startTls() throws IOException {
        int colon = endpoint.lastIndexOf(':');
        String host = endpoint.substring(0, colon);
        int port = Integer.parseInt(endpoint.substring(colon + 1));
        SSLSocket tlsSocket = (SSLSocket) tls.getSocketFactory().createSocket(plainSocket, host, port, true);
        SSLParameters parameters = tlsSocket.getSSLParameters();
        parameters.setEndpointIdentificationAlgorithm("HTTPS");
        tlsSocket.setSSLParameters(parameters);
        socket = tlsSocket; // Before the handshake, so that close() ends it.
        tlsSocket.startHandshake();
    }

    /** Sets the timeout of a single read, for callers that have no other thread to close the connection. */
    void setReadTimeout(int timeoutMillis) throws IOException {
        plainSocket.setSoTimeout(timeoutMillis);
    }

    /** Returns when data was last read (us). May be called from any thread. */
    long lastReadMicros() {
        return lastReadMicros;
    }

    /**
     * Sends a request and reads the head of its response.
     *
     * @param body the JSON body; null for none
     * @param alsoAccepted a status other than 200 that is not an error; 0 for none
     * @param headers alternating names and values, without line ends; a header with a null value is omitted
     * @throws HttpStatusException if the status is neither 200 nor {@code alsoAccepted}
     */
    HttpHead send(String method, String target, byte[] body, int alsoAccepted, String... headers) throws IOException {
        writeRequest(method, target, body, headers);
        if (!input.awaitMessage()) {
            throw new EOFException("registry closed the connection before the response");
        }
        HttpHead head = input.readResponseHead();
        if (head.status() != STATUS_OK && head.status() != alsoAccepted) {
            throw new HttpStatusException(
                    head.status(),
                    readErrorText(head),
                    parseRetryAfterMicros(head.headers().get("Retry-After")));
        }
        return head;
    }

    private void writeRequest(String method, String target, byte[] body, String... headers) throws IOException {
        HttpWriter out = new HttpWriter();
        out.append(method + " " + target + " HTTP/1.1\r\nHost: " + endpoint + "\r\n");
        for (int i = 0; i + 1 < headers.length; i += 2) {
            if (headers[i + 1] != null) {
                out.append(headers[i] + ": " + headers[i + 1] + "\r\n");
            }
        }
        if (body != null) {
            out.append("Content-Type: application/json\r\nContent-Length: " + body.length + "\r\n");
        }
        out.append("\r\n");
        if (body != null) {
            out.append(body);
        }
        out.flushTo(socket.getOutputStream());
    }

    /**
     * Returns the body of a response. Before the next request, it must be read to its end, or the connection closed.
     */
    InputStream body(HttpHead head) throws IOException {
        return input.openBody(head, MAX_RESPONSE_BYTES);
    }

    /** Reads and discards the body of a response, so that the next request can be sent. */
    void discardBody(HttpHead head) throws IOException {
        discard(body(head));
    }

    /** Passes each line of the body to a consumer as soon as it is complete. */
    void readLines(HttpHead head, EventHandler consumer) throws IOException, InterruptedException {
        input.readLines(head, consumer, MAX_LINE_BYTES);
    }

    /** Reads the beginning of an error response's body as one line; closes the connection if that fails. */
    private String readErrorText(HttpHead head) {
        try {
            InputStream body = body(head);
            byte[] start = body.readNBytes(MAX_ERROR_TEXT_BYTES);
            discard(body);
            return new String(start, StandardCharsets.UTF_8)
                    .replaceAll("[\\x00-\\x1f]+", " ")
                    .strip();
        } catch (IOException e) {
            close();
            return "";
        }
    }

    private static void discard(InputStream body) throws IOException {
        byte[] buffer = new byte[DRAIN_BUFFER_BYTES];
        int count = body.read(buffer);
        while (count >= 0) {
            count = body.read(buffer);
        }
    }

    /** Parses a {@code Retry-After} in seconds to a bounded wait (us); returns 0 if it is null or a date. */
    static long parseRetryAfterMicros(String value) {
        if (value == null) {
            return 0;
        }
        try {
            long micros = (long) (Double.parseDouble(value) * MICROS_PER_SECOND);
            return Math.max(0, Math.min(MAX_RETRY_AFTER_MICROS, micros));
        } catch (NumberFormatException e) {
            return 0; // A date is ignored; the endpoint's own backoff applies.
        }
    }

    boolean isClosed() {
        return closed;
    }

    /**
     * Whether the next request may be sent on this connection. Bytes behind the last response would pass for the
     * response to it. To be called by the thread that reads responses, between two requests.
     */
    boolean isReusable() {
        try {
            return !closed && input.isBufferEmpty() && socket.getInputStream().available() == 0;
        } catch (IOException e) {
            return false;
        }
    }

    @Override
    public void close() {
        closed = true;
        Sockets.closeQuietly(socket);
        Sockets.closeQuietly(plainSocket);
    }

    /** Counts the bytes read and records the time of the last read. */
    private final class CountingInputStream extends FilterInputStream {
        CountingInputStream(InputStream in) {
            super(in);
        }

        @Override
        public int read(byte[] buffer, int offset, int length) throws IOException {
            int count = super.read(buffer, offset, length);
            if (count > 0) {
                lastReadMicros = clock.micros();
                bytesRead.addAndGet(count);
            }
            return count;
        }
    }
}
