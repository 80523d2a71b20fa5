package magpiehub.downstream;

import java.io.IOException;
import java.net.Socket;
import magpiehub.http.Sockets;

/**
 * Accepts connections until the listening socket is closed, and evicts idle ones when capacity is short. {@link #run}
 * occupies a thread of its own.
 */
final class ConnectionAcceptor {
    /** How often a paused acceptor checks whether a connection was closed. */
    private static final long EXHAUSTED_POLL_MILLIS = 50;

    private final ListenerSocket listenerSocket;
    private final ListenerServices services;
    private final IdleEviction eviction;
    private final FirstByteWatcher firstByteWatcher;
    private final AcceptBackoff backoff = new AcceptBackoff();

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
     * Accepts until the socket is closed. If accepting fails, for example for lack of descriptors or threads, open
     * connections continue, and accepting is retried after a pause.
     */
    void run() {
        while (!listenerSocket.isClosed()) {
            Socket accepted = null;
            try {
                accepted = listenerSocket.accept();
                backoff.recordAccepted();
                configure(accepted);
                eviction.evictExcess();
                startConnection(accepted);
                services.eventLog().count("clients_accepted");
                awaitCapacity();
            } catch (IOException | RuntimeException | OutOfMemoryError e) {
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

    /** Starts a connection. Over capacity, the client still gets a response that says so. */
    private void startConnection(Socket accepted) {
        boolean overCapacity = !services.connections().hasFreeCapacity();
        if (overCapacity) {
            services.eventLog().count("clients_shed");
        }
        ClientConnection connection = new ClientConnection(accepted, overCapacity, services);
        connection.start();
        if (!services.connections().exceedsSoftLimit()) {
            connection.startReader();
        } else if (!connection.startReaderIfReadable()) {
            firstByteWatcher.watch(connection);
        }
    }

    private void awaitCapacity() throws InterruptedException {
        while (services.connections().isExhausted() && !listenerSocket.isClosed()) {
            services.connections().awaitRemoval(EXHAUSTED_POLL_MILLIS);
            eviction.evictExcess();
        }
    }

    private void handleFailure(Socket accepted, Throwable failure) {
        if (listenerSocket.isClosed()) {
            return;
        }
        services.eventLog().count("accept_failures");
        long pauseMillis = backoff.recordFailure();
        long failures = backoff.takeFailuresToLog(services.clock().micros());
        if (failures > 0) {
            services.eventLog().log("accept-failure", "error", failure.toString(), "failures", Long.toString(failures));
        }
        if (accepted != null) {
            Sockets.closeQuietly(accepted);
        }
        pause(pauseMillis);
    }

    /** Pauses, but at most until a connection ends, which may have released the missing resource. */
    private void pause(long millis) {
        try {
            services.connections().awaitRemoval(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
