package magpiehub.downstream;

import java.io.IOException;
import java.net.Socket;
import magpiehub.http.Sockets;

/**
 * Accepts connections until the listening socket is closed, and evicts idle ones when capacity runs short. {@link #run}
 * occupies a thread of its own.
 */
final class ConnectionAcceptor {
    /** How long accepting pauses before it looks again whether a connection was closed. */
    private static final long EXHAUSTED_POLL_MILLIS = 50;

    private final ListenerSocket listenerSocket;
    private final ListenerServices services;
    private final IdleEviction eviction;
    private final FirstByteWatcher firstByteWatcher;

    ConnectionAcceptor(
            ListenerSocket listenerSocket,
            ListenerServices services,
            IdleEviction eviction,
            FirstByteWatcher firstByteWatcher) {
        this.listenerSocket = listenerSocket;
        this.services = services;
        this.eviction = eviction;
        this.firstByteWatcher = firstByteWatcher;
    }

    /**
     * Accepts until the socket is closed. Out of descriptors or threads, the connections that are open go on, and
     * accepting is tried again.
     */
    void run() {
        while (!listenerSocket.isClosed()) {
            Socket accepted = null;
            try {
                accepted = listenerSocket.accept();
                configure(accepted);
                eviction.makeRoom();
                startConnection(accepted);
                services.eventLog().count("clients_accepted");
                awaitRoom();
            } catch (IOException | OutOfMemoryError e) {
                handleFailure(accepted, e);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private void configure(Socket accepted) throws IOException {
        accepted.setTcpNoDelay(true);
        int sendBufferBytes = services.streams().limits().sendBufferBytes();
        if (sendBufferBytes > 0) {
            accepted.setSendBufferSize(sendBufferBytes);
        }
    }

    /** Starts a connection. Over capacity, a client still gets an answer that says so. */
    private void startConnection(Socket accepted) {
        boolean overCapacity = !services.connections().hasRoom();
        if (overCapacity) {
            services.eventLog().count("clients_shed");
        }
        ClientConnection connection = new ClientConnection(accepted, overCapacity, services);
        connection.start();
        if (!services.connections().isCrowded()) {
            connection.startReader();
        } else if (!connection.startReaderIfReadable()) {
            firstByteWatcher.watch(connection);
        }
    }

    private void awaitRoom() throws InterruptedException {
        while (services.connections().isExhausted() && !listenerSocket.isClosed()) {
            services.connections().awaitRemoval(EXHAUSTED_POLL_MILLIS);
            eviction.makeRoom();
        }
    }

    private void handleFailure(Socket accepted, Throwable failure) {
        if (listenerSocket.isClosed()) {
            return;
        }
        services.eventLog().count("accept_failures");
        services.eventLog().log("accept-failure", "error", failure.toString());
        if (accepted != null) {
            Sockets.closeQuietly(accepted);
        }
    }
}
