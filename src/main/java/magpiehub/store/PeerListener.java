package magpiehub.store;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import magpiehub.concurrent.DaemonThreads;
import magpiehub.http.Sockets;
import magpiehub.telemetry.EventLog;

/**
 * Accepts connections of peers and operators, and reads their messages. Each connection has its own thread. A malformed
 * line closes the connection that sent it; other connections are not affected.
 */
final class PeerListener {
    /** Handles the messages of all connections; called from several threads at once. */
    interface Receiver {
        /** Handles a message. It may block its connection. */
        void receive(StoreMessage message) throws InterruptedException;

        /** Waits until the writes received so far are likely to outlive this process. */
        void awaitReplicated() throws InterruptedException;

        /** Sends all entries to a connection that has requested them. */
        void sendSnapshot(OutputStream out) throws IOException;
    }

    private final ServerSocket server = new ServerSocket();
    private final Receiver receiver;
    private final EventLog log;
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
    private final Thread acceptThread;
    private volatile boolean isClosed;

    /**
     * Binds the listener and starts to accept connections.
     *
     * @param receiver handles the messages
     */
    PeerListener(InetSocketAddress listenAddress, Receiver receiver, EventLog log) throws IOException {
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
            boolean hasOperatorWrite = false;
            StoreMessageReader reader = new StoreMessageReader(connection.getInputStream());
            for (StoreMessage message = reader.read(); message != null; message = reader.read()) {
                handle(message, connection);
                hasOperatorWrite |= message instanceof StoreMessage.OperatorWrite;
            }
            if (hasOperatorWrite) {
                // The end of the connection tells the operator that the writes have been accepted.
                receiver.awaitReplicated();
            }
        } catch (IOException | RuntimeException | OutOfMemoryError e) {
            log.count("store_link_failures");
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            connections.remove(connection);
        }
    }

    private void handle(StoreMessage message, Socket connection) throws IOException, InterruptedException {
        if (message instanceof StoreMessage.SnapshotRequest) {
            receiver.sendSnapshot(connection.getOutputStream());
        } else {
            receiver.receive(message);
        }
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
