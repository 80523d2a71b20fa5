package magpiehub.upstream;

import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The endpoints by id. Service discovery updates them before it notifies the dispatcher of a change, and a connection
 * checks them immediately before it writes a request, so that no request is sent to an endpoint that began to drain
 * after the routing decision.
 *
 * <p>Thread-safe.
 */
final class UpstreamEndpoints {
    private final Map<String, UpstreamEndpoint> endpoints = new ConcurrentHashMap<>();
    /**
     * The id of the endpoint that was listed last at each address. An endpoint listed there before has gone, whether or
     * not the list says so yet: what is sent to the address reaches the other process.
     */
    private final Map<String, String> ownersByAddress = new ConcurrentHashMap<>();
    /** From this time on no requests may be sent, because the endpoint list may be out of date. */
    private volatile long validUntilMicros = Long.MAX_VALUE;

    /** The endpoint with this id, or null if there is none. */
    UpstreamEndpoint find(String id) {
        return endpoints.get(id);
    }

    /** The endpoint with this id if a request may be sent to it now, or null. */
    UpstreamEndpoint findUsable(String id, long nowMicros) {
        UpstreamEndpoint endpoint = endpoints.get(id);
        boolean usable =
                endpoint != null && endpoint.isUsable() && ownsAddress(id, endpoint) && nowMicros < validUntilMicros;
        return usable ? endpoint : null;
    }

    void setValidUntil(long micros) {
        validUntilMicros = micros;
    }

    /** Whether the endpoint is known and accepts requests. */
    boolean acceptsRequests(String id) {
        UpstreamEndpoint endpoint = endpoints.get(id);
        return endpoint != null && endpoint.acceptsRequests() && ownsAddress(id, endpoint);
    }

    private boolean ownsAddress(String id, UpstreamEndpoint endpoint) {
        return endpoint.hostPort() == null
                || ownersByAddress.getOrDefault(endpoint.hostPort(), id).equals(id);
    }

    /** Adds or updates an endpoint; if the address is null, the known one is kept. Called by one thread. */
    void update(String id, String hostPort, boolean acceptsRequests) {
        UpstreamEndpoint previous = endpoints.get(id);
        UpstreamEndpoint updated = UpstreamEndpoint.updated(previous, hostPort, acceptsRequests);
        String previousHostPort = previous == null ? null : previous.hostPort();
        if (!Objects.equals(previousHostPort, updated.hostPort())) {
            disownAddress(id, previousHostPort);
            ownersByAddress.put(updated.hostPort(), id);
        }
        endpoints.put(id, updated);
    }

    private void disownAddress(String id, String hostPort) {
        if (hostPort != null) {
            ownersByAddress.remove(hostPort, id);
        }
    }

    /** Removes an endpoint, so that the maps don't grow without bound. */
    void remove(String id) {
        UpstreamEndpoint removed = endpoints.remove(id);
        if (removed != null) {
            disownAddress(id, removed.hostPort());
        }
    }

    /** Removes all endpoints except these. */
    void retain(Set<String> ids) {
        for (String id : endpoints.keySet()) {
            if (!ids.contains(id)) {
                remove(id);
            }
        }
    }
}
