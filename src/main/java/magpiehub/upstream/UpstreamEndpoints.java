package magpiehub.upstream;

import java.util.Map;
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
    /** From this time on no requests may be sent, because the endpoint list may be out of date. */
    private volatile long validUntilMicros = Long.MAX_VALUE;

    /** The endpoint with this id, or null if there is none. */
    UpstreamEndpoint find(String id) {
        return endpoints.get(id);
    }

    /** The endpoint with this id if a request may be sent to it now, or null. */
    UpstreamEndpoint findUsable(String id, long nowMicros) {
        UpstreamEndpoint endpoint = endpoints.get(id);
        boolean usable = endpoint != null && endpoint.isUsable() && nowMicros < validUntilMicros;
        return usable ? endpoint : null;
    }

    void setValidUntil(long micros) {
        validUntilMicros = micros;
    }

    /** Whether the endpoint is known and accepts requests. */
    boolean acceptsRequests(String id) {
        UpstreamEndpoint endpoint = endpoints.get(id);
        return endpoint != null && endpoint.acceptsRequests();
    }

    /** Adds or updates an endpoint; if the address is null, the known one is kept. */
    void update(String id, String hostPort, boolean acceptsRequests) {
        endpoints.compute(id, (key, previous) -> UpstreamEndpoint.updated(previous, hostPort, acceptsRequests));
    }

    /** Removes an endpoint, so that the map doesn't grow without bound. */
    void remove(String id) {
        endpoints.remove(id);
    }

    /** Removes all endpoints except these. */
    void retain(Set<String> ids) {
        endpoints.keySet().retainAll(ids);
    }
}
