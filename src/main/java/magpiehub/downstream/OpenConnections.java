package magpiehub.downstream;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** The connections of a listener that have not been closed. Thread-safe. */
final class OpenConnections {
    private final Set<ClientConnection> connections = ConcurrentHashMap.newKeySet();
    private final ConnectionCapacity capacity;

    OpenConnections(ConnectionCapacity capacity) {
        this.capacity = capacity;
    }

    /** All connections; iterating is safe while connections come and go. */
    Set<ClientConnection> all() {
        return connections;
    }

    int size() {
        return connections.size();
    }

    void add(ClientConnection connection) {
        connections.add(connection);
    }

    void remove(ClientConnection connection) {
        connections.remove(connection);
        synchronized (connections) {
            connections.notifyAll();
        }
    }

    /** Waits until a connection is removed, but no longer than the timeout. */
    @SuppressWarnings("WaitNotInLoop") // The caller checks its condition again.
    void awaitRemoval(long timeoutMillis) throws InterruptedException {
        synchronized (connections) {
            connections.wait(timeoutMillis);
        }
    }

    /** Whether one more connection can be served. */
    boolean hasFreeCapacity() {
        return capacity.hasFreeCapacity(connections.size());
    }

    /** Whether accepting must pause until a connection is closed. */
    boolean isExhausted() {
        return capacity.isExhausted(connections.size());
    }

    /** Whether the soft limit is exceeded, so that each response is the last on its connection. */
    boolean exceedsSoftLimit() {
        return capacity.exceedsSoftLimit(connections.size());
    }
}
