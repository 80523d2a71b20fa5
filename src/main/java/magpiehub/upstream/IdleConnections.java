package magpiehub.upstream;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

/**
 * The idle connections, by endpoint, in the order in which they became idle. Belongs to the dispatcher's thread.
 */
final class IdleConnections {
    /**
     * How long a connection rests between two requests. What an upstream wrongly sends after a complete response has
     * arrived by then and ends the connection; it can't be taken for the response to the next request.
     */
    static final long MIN_REST_MICROS = 20_000;

    private final Map<String, ArrayDeque<UpstreamConnection>> byEndpoint = new HashMap<>();

    /** Adds a connection that has become idle. */
    void add(UpstreamConnection connection) {
        byEndpoint
                .computeIfAbsent(connection.endpointId(), id -> new ArrayDeque<>())
                .addLast(connection);
    }

    /** Removes a connection. Returns false if it is not idle. */
    boolean remove(UpstreamConnection connection) {
        ArrayDeque<UpstreamConnection> connections = byEndpoint.get(connection.endpointId());
        return connections != null && connections.remove(connection);
    }

    /** Removes and returns the connection last used of those that have rested, or null if there is none. */
    UpstreamConnection takeRested(String endpointId, long nowMicros) {
        ArrayDeque<UpstreamConnection> connections = byEndpoint.get(endpointId);
        if (connections == null) {
            return null;
        }
        for (Iterator<UpstreamConnection> newestFirst = connections.descendingIterator(); newestFirst.hasNext(); ) {
            UpstreamConnection connection = newestFirst.next();
            if (nowMicros - connection.releasedAtMicros() >= MIN_REST_MICROS) {
                newestFirst.remove();
                return connection;
            }
        }
        return null;
    }

    /** Removes and returns the longest idle connection of the endpoint with most of them, or null if there is none. */
    UpstreamConnection takeFromLargest() {
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

    /** Forgets an endpoint whose connections have been taken. */
    void removeEndpoint(String endpointId) {
        byEndpoint.remove(endpointId);
    }

    /** The endpoints that have had idle connections since they were last removed; a copy. */
    List<String> endpointIds() {
        return List.copyOf(byEndpoint.keySet());
    }
}
