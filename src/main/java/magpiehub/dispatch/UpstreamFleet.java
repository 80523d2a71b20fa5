package magpiehub.dispatch;

import java.util.List;
import magpiehub.routing.Endpoint;
import magpiehub.routing.EndpointListKind;

/** The port to the upstreams. Called on the dispatcher's thread only; must not block. */
public interface UpstreamFleet {
    /**
     * Starts an attempt. The start of its response stream is reported to {@link RequestDispatcher#streamStarted} and
     * its end, exactly once, to {@link RequestDispatcher#attemptEnded}. If this method throws, the attempt has not
     * started.
     */
    AttemptHandle startAttempt(Attempt attempt);

    /** Sends a health check, whose result is reported to {@link RequestDispatcher#healthCheckEnded}. */
    void sendHealthCheck(String endpointId);

    /** Closes the idle connections to an endpoint. */
    void closeIdleConnections(String endpointId);

    /** Passes an update of the endpoint list, before the routing policy receives it. */
    void updateEndpoints(EndpointListKind kind, List<Endpoint> endpoints);
}
