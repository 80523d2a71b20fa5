package magpiehub.dispatch;

import java.util.List;
import magpiehub.routing.Endpoint;
import magpiehub.routing.EndpointListKind;

/** All upstreams, as the dispatcher sees them. Called on the dispatcher's thread only; must not block it. */
public interface UpstreamFleet {
    /**
     * Starts an attempt. Its progress is reported by {@link RequestDispatcher#streamStarted} and its end, exactly once,
     * by {@link RequestDispatcher#attemptEnded}. If this method throws, the attempt has not started.
     */
    AttemptHandle startAttempt(Attempt attempt);

    /** Sends a health check, which is answered by one call of {@link RequestDispatcher#probeCompleted}. */
    void probe(String endpointId);

    /** Closes the idle connections to an endpoint. */
    void closeIdleConnections(String endpointId);

    /** Reports an endpoint list, before the routing policy sees it. */
    void updateEndpoints(EndpointListKind kind, List<Endpoint> endpoints);
}
