package magpiehub.upstream;

import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The endpoints by id. Service discovery updates them before the dispatcher hears of a change, and a connection asks
 * right before it writes a request, so that nothing is written to an endpoint that has begun to drain after the
 * routing decision.
 *
 * <p>Safe for use from any thread.
 */
final class UpstreamEndpoints {
    private final Map<String, UpstreamEndpoint> endpoints = new ConcurrentHashMap<>();
    /** From this time on nothing may be sent by the list, which may be out of date. */
    private volatile long validUntilMicros = Long.MAX_VALUE;

    /** The endpoint with this id, or null if there is none. */
    UpstreamEndpoint find(String id) {
        return endpoints.get(id);
    }

    /** The endpoint with this id if a request may be written to it now; null if not. */
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

    /** Adds or changes an endpoint; without an address the one known so far stays. */
    void update(String id, String hostPort, boolean acceptsRequests) {
        endpoints.compute(id, (key, previous) -> UpstreamEndpoint.updated(previous, hostPort, acceptsRequests));
    }

    /** Removes an endpoint; the map would grow with each one that there ever was. */
    void remove(String id) {
        endpoints.remove(id);
    }

    /** Removes all endpoints but these. */
    void retain(Set<String> ids) {
        endpoints.keySet().retainAll(ids);
    }
}
