package magpiehub.admin;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.function.UnaryOperator;
import magpiehub.concurrent.DaemonThreads;
import magpiehub.http.Sockets;
import magpiehub.telemetry.EventLog;

/**
 * The server for operator commands: each connection sends one line, receives a one-line response, and is closed.
 *
 * <p>Each connection has its own thread, so a slow client doesn't delay others. The number of connections and the bytes
 * read from each are limited; if a connection exceeds the limit, the oldest one is closed.
 */
public final class AdminServer {
    /** Most connections that may be open at the same time. */
    static final int MAX_CONNECTIONS = 24;

    /** Connections that the kernel may queue until they are accepted. */
    private static final int ACCEPT_BACKLOG = 128;

    /** How long a client may take to close its side after the response was sent. */
    private static final int LINGER_TIMEOUT_MILLIS = 500;

    private final ServerSocket server = new ServerSocket();
    private final UnaryOperator<String> commandHandler;
    private final EventLog log;
    /** Open connections, the oldest first. Guarded by its own lock. */
    private final Set<Socket> connections = new LinkedHashSet<>();

    /**
     * Binds the listener. It does not accept connections until {@link #start}.
     *
     * @param commandHandler returns the response to a command line; called from several threads at once
     */
    public AdminServer(InetSocketAddress listenAddress, UnaryOperator<String> commandHandler, EventLog log)
            throws IOException {
        this.commandHandler = commandHandler;
        this.log = log;
        server.setReuseAddress(true);
        server.bind(listenAddress, ACCEPT_BACKLOG);
    }

    /** The port to which the listener is bound. */
    public int port() {
        return server.getLocalPort();
    }

    /** Starts a thread that accepts connections. */
    public void start() {
        DaemonThreads.newThread("console", this::acceptConnections).start();
    }

    private void acceptConnections() {
        while (!server.isClosed()) {
            Socket accepted = null;
            try {
                accepted = server.accept();
                register(accepted);
                Socket connection = accepted;
                DaemonThreads.newThread("console-caller", () -> serve(connection))
                        .start();
            } catch (IOException | OutOfMemoryError e) {
                // OutOfMemoryError is thrown if no further thread can be started.
                log.count("console_accept_failures");
                if (accepted != null) {
                    close(accepted);
                }
            }
        }
    }

    /** Adds a connection, and closes the oldest one if the limit is exceeded. */
    private void register(Socket connection) {
        Socket oldest = null;
        synchronized (connections) {
            connections.add(connection);
            if (connections.size() > MAX_CONNECTIONS) {
                oldest = connections.iterator().next();
                connections.remove(oldest);
            }
        }
        if (oldest != null) {
            log.count("console_callers_shed");
            Sockets.closeQuietly(oldest);
        }
    }

    private void close(Socket connection) {
        synchronized (connections) {
            connections.remove(connection);
        }
        Sockets.closeQuietly(connection);
    }

    private void serve(Socket connection) {
        try {
            connection.setTcpNoDelay(true);
            String response = respond(connection);
            connection.getOutputStream().write((response + "\n").getBytes(StandardCharsets.UTF_8));
            connection.shutdownOutput();
            discardInput(connection);
        } catch (IOException e) {
            // The client closed the connection, or it was closed as the oldest one.
        } finally {
            close(connection);
        }
    }

    private String respond(Socket connection) throws IOException {
        try {
            return commandHandler.apply(CommandLineReader.read(connection));
        } catch (MalformedCommandLineException e) {
            log.count("console_malformed");
            return AdminResponses.failure(e.getMessage());
        } catch (RuntimeException | OutOfMemoryError e) {
            log.count("console_exceptions");
            log.log("console-exception", "error", e.toString());
            return AdminResponses.failure("internal error");
        }
    }

    /** Discards remaining input: closing with unread input would reset the connection and lose the response. */
    private static void discardInput(Socket connection) throws IOException {
        byte[] discarded = new byte[256];
        long deadlineNanos = System.nanoTime() + LINGER_TIMEOUT_MILLIS * 1_000_000L;
        int count = 0;
        while (count >= 0 && System.nanoTime() < deadlineNanos) {
            connection.setSoTimeout(LINGER_TIMEOUT_MILLIS);
            count = connection.getInputStream().read(discarded);
        }
    }
}
