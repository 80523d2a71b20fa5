package magpiehub.store;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import magpiehub.concurrent.DaemonThreads;
import magpiehub.http.Sockets;
import magpiehub.telemetry.EventLog;

/**
 * Accepts connections of peers and operators, and reads their messages. Each connection has its own thread. A malformed
 * line closes the connection that sent it; other connections are not affected.
 */
final class PeerListener {
    private static final int READ_BUFFER_BYTES = 4096;

    private final ServerSocket server = new ServerSocket();
    private final Consumer<StoreMessage> receiver;
    private final EventLog log;
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
    private final Thread acceptThread;
    private volatile boolean isClosed;

    /**
     * Binds the listener and starts to accept connections.
     *
     * @param receiver receives each message; called from several threads at once
     */
    PeerListener(InetSocketAddress listenAddress, Consumer<StoreMessage> receiver, EventLog log) throws IOException {
        this.receiver = receiver;
        this.log = log;
        server.setReuseAddress(true);
        server.bind(listenAddress);
        acceptThread = DaemonThreads.newThread("store-accept", this::acceptConnections);
        acceptThread.start();
    }

    /** The port to which the listener is bound. */
    int port() {
        return server.getLocalPort();
    }

    private void acceptConnections() {
        while (!isClosed) {
            try {
                Socket connection = server.accept();
                connections.add(connection);
                connection.setTcpNoDelay(true);
                DaemonThreads.newThread("store-reader", () -> readMessages(connection))
                        .start();
            } catch (IOException | OutOfMemoryError e) {
                // OutOfMemoryError is thrown if no further thread can be started.
                log.count("store_link_failures");
            }
        }
    }

    private void readMessages(Socket connection) {
        try (connection) {
            InputStream in = new BufferedInputStream(connection.getInputStream(), READ_BUFFER_BYTES);
            for (byte[] line = readLine(in); line != null; line = readLine(in)) {
                receiver.accept(StoreMessageCodec.decode(line));
            }
        } catch (IOException | RuntimeException | OutOfMemoryError e) {
            log.count("store_link_failures");
        } finally {
            connections.remove(connection);
        }
    }

    /** Returns the next line without its line feed; null at the end of the input. An incomplete line is dropped. */
    private static byte[] readLine(InputStream in) throws IOException {
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

    /** Closes the listener and all connections. The port is free once this returns. */
    void close() {
        isClosed = true;
        try {
            server.close();
            // The kernel frees the port only once the accepting thread has returned from its system call.
            acceptThread.join();
        } catch (IOException e) {
            // The listener can't be used any more in this case either.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        connections.forEach(Sockets::closeQuietly);
    }
}
