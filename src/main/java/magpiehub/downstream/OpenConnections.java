package magpiehub.downstream;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** The connections of a listener that are not closed yet. Any thread. */
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

    /** Waits until a connection is removed, for the given time at most. */
    @SuppressWarnings("WaitNotInLoop") // The caller tests its condition again.
    void awaitRemoval(long timeoutMillis) throws InterruptedException {
        synchronized (connections) {
            connections.wait(timeoutMillis);
        }
    }

    /** Whether one more connection is served. */
    boolean hasRoom() {
        return capacity.hasRoom(connections.size());
    }

    /** Whether accepting has to pause until a connection is closed. */
    boolean isExhausted() {
        return capacity.isExhausted(connections.size());
    }

    /** Whether there are so many connections that each answer is its connection's last. */
    boolean isCrowded() {
        return capacity.isCrowded(connections.size());
    }
}
