package magpiehub;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** One party of a recorded exchange, with its current connection. Blocking; used by one thread. */
final class ExchangePeer {
    /** How long a step may take before the test fails; no outcome depends on it otherwise. */
    static final int STEP_TIMEOUT_MILLIS = 60_000;

    private static final int ACCEPT_BACKLOG = 8;
    private static final String CONTENT_LENGTH = "Content-Length: ";

    private ServerSocket server;
    private Socket socket;
    private final ByteArrayOutputStream headToSend = new ByteArrayOutputStream();
    private byte[] bodyToSend = {};
    private CompletableFuture<String> begun;
    private CompletableFuture<String> outcome;

    void listen() throws IOException {
        server = new ServerSocket(0, ACCEPT_BACKLOG, InetAddress.getByName("127.0.0.1"));
    }

    boolean isListening() {
        return server != null;
    }

    int listeningPort() {
        return server.getLocalPort();
    }

    void stopListening() throws IOException {
        server.close();
    }

    boolean isConnected() {
        return socket != null;
    }

    Socket socket() {
        return socket;
    }

    void connect(int port) throws IOException {
        use(new Socket("127.0.0.1", port));
    }

    /** Accepts a connection, which {@code user} uses from now on. */
    void acceptFor(ExchangePeer user) throws IOException {
        server.setSoTimeout(STEP_TIMEOUT_MILLIS);
        user.use(server.accept());
    }

    private void use(Socket newSocket) throws IOException {
        newSocket.setSoTimeout(STEP_TIMEOUT_MILLIS);
        newSocket.setTcpNoDelay(true);
        socket = newSocket;
    }

    int read() throws IOException {
        return socket.getInputStream().read();
    }

    String readLine() throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        for (int next = read(); next != '\n'; next = read()) {
            assertTrue(next >= 0, "the connection ended after: " + bytes);
            bytes.write(next);
        }
        String line = bytes.toString(UTF_8);
        return line.endsWith("\r") ? line.substring(0, line.length() - 1) : line;
    }

    String readText(int length) throws IOException {
        byte[] bytes = socket.getInputStream().readNBytes(length);
        assertEquals(length, bytes.length, "the connection ended early");
        return new String(bytes, UTF_8);
    }

    /** Reads the rest of a message's head; returns its content length, or 0 if it has none. */
    int readContentLength() throws IOException {
        int length = 0;
        for (String line = readLine(); !line.isEmpty(); line = readLine()) {
            length = line.startsWith(CONTENT_LENGTH)
                    ? Integer.parseInt(line.substring(CONTENT_LENGTH.length()))
                    : length;
        }
        return length;
    }

    String readChunk() throws IOException {
        String chunk = readText(readChunkLength());
        assertEquals("", readLine());
        return chunk;
    }

    private int readChunkLength() throws IOException {
        return Integer.parseInt(readLine(), 16);
    }

    /** Reads all chunks up to the empty last one; returns their total length. */
    int readAllChunks() throws IOException {
        int total = 0;
        for (int length = readChunkLength(); length > 0; length = readChunkLength()) {
            total += readText(length + 2).length() - 2;
        }
        readLine();
        return total;
    }

    /** Whether the connection has ended, in order or by a reset. */
    boolean hasEnded() {
        try {
            return read() < 0;
        } catch (SocketTimeoutException e) {
            return false;
        } catch (IOException e) {
            return true;
        }
    }

    /** Appends to the head that the next {@link #flush} sends. */
    void append(String text) throws IOException {
        headToSend.write(text.getBytes(UTF_8));
    }

    /** Whether the head has a placeholder for the length of a body that has not been given yet. */
    boolean awaitsBody() {
        return headToSend.toString(UTF_8).contains("@LEN");
    }

    void sendBody(String body) throws IOException {
        bodyToSend = body.getBytes(UTF_8);
        flush();
    }

    void sendChunk(String data) throws IOException {
        append(Integer.toHexString(data.getBytes(UTF_8).length) + "\r\n");
        append(data);
        append("\r\n");
        flush();
    }

    void flush() throws IOException {
        if (headToSend.size() + bodyToSend.length > 0) {
            String head = headToSend.toString(UTF_8).replace("@LEN", "" + bodyToSend.length);
            socket.getOutputStream().write(head.getBytes(UTF_8));
            socket.getOutputStream().write(bodyToSend);
            headToSend.reset();
            bodyToSend = new byte[0];
        }
    }

    /** Prepares the futures for the answer to a request that has been sent. */
    void expectAnswer() {
        begun = new CompletableFuture<>();
        outcome = new CompletableFuture<>();
    }

    CompletableFuture<String> begun() {
        return begun;
    }

    CompletableFuture<String> outcome() {
        return outcome;
    }

    String awaitBegun() throws Exception {
        return begun.get(STEP_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    String awaitOutcome() throws Exception {
        return outcome.get(STEP_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    void close() throws IOException {
        if (socket != null) {
            socket.close();
        }
        if (server != null) {
            server.close();
        }
    }
}
