package magpiehub.upstream;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

/**
 * The idle connections by endpoint, in the order in which they became idle. Confined to the dispatcher's thread.
 */
final class IdleConnections {
    private final Map<String, ArrayDeque<UpstreamConnection>> byEndpoint = new HashMap<>();

    /** Adds a connection that has become idle. */
    void add(UpstreamConnection connection) {
        byEndpoint
                .computeIfAbsent(connection.endpointId(), id -> new ArrayDeque<>())
                .addLast(connection);
    }

    /** Removes a connection; returns false if it is not idle. */
    boolean remove(UpstreamConnection connection) {
        ArrayDeque<UpstreamConnection> connections = byEndpoint.get(connection.endpointId());
        return connections != null && connections.remove(connection);
    }

    /** Removes and returns the most recently used connection whose socket is quiet, or null if there is none. */
    UpstreamConnection takeReusable(String endpointId) {
        ArrayDeque<UpstreamConnection> connections = byEndpoint.get(endpointId);
        if (connections == null) {
            return null;
        }
        for (Iterator<UpstreamConnection> newestFirst = connections.descendingIterator(); newestFirst.hasNext(); ) {
            UpstreamConnection connection = newestFirst.next();
            if (connection.progress().isQuiet()) {
                newestFirst.remove();
                return connection;
            }
        }
        return null;
    }

    /** Removes and returns the longest idle connection of the endpoint with the most idle ones, or null if none. */
    UpstreamConnection takeEvictionCandidate() {
        ArrayDeque<UpstreamConnection> largest = null;
        for (ArrayDeque<UpstreamConnection> connections : byEndpoint.values()) {
            largest = largest == null || connections.size() > largest.size() ? connections : largest;
        }
        return largest == null ? null : largest.pollFirst();
    }

    /** Removes and returns the longest idle connection to an endpoint, or null if there is none. */
    UpstreamConnection takeOldest(String endpointId) {
        ArrayDeque<UpstreamConnection> connections = byEndpoint.get(endpointId);
        return connections == null ? null : connections.poll();
    }

    /** Removes the entry of an endpoint whose connections have all been taken. */
    void removeEndpoint(String endpointId) {
        byEndpoint.remove(endpointId);
    }

    /** A copy of the ids of all endpoints that have an entry, with idle connections or without. */
    List<String> endpointIds() {
        return List.copyOf(byEndpoint.keySet());
    }
}
