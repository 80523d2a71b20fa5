package magpiehub.routing;

import java.util.List;

/**
 * What the host tells the routing policy. All calls come on one thread. {@code now} is the host's clock in
 * microseconds, {@code took} the time since the attempt or health check was sent. Events about requests, attempts
 * or replicas that are not known are ignored.
 */
public interface RoutingEvents {
    /** An endpoint list has come; {@code endpoints} is empty for {@link EndpointListKind#ERROR}. */
    void onEndpoints(long now, EndpointListKind kind, List<Endpoint> endpoints);

    /** Until when the endpoint list may be used; without this event, for good. */
    void onEndpointListValidity(long now, long validUntil);

    /** A client's request has come; exactly one final answer is owed. */
    void onRequest(long now, RoutingRequest request);

    /** The first token of an attempt has come; its stream is passed on to the client from now on. */
    void onStreamStarted(long now, String id, int attempt, long took);

    /**
     * An attempt has ended.
     *
     * @param settled whether the request is over for its client
     * @param cachedTokens prompt tokens that the replica found in its cache, -1 if it did not say
     * @param load the replica's load report, null if there was none
     */
    void onAttemptEnded(
            long now,
            String id,
            int attempt,
            AttemptOutcome outcome,
            long took,
            boolean settled,
            long cachedTokens,
            LoadReport load);

    /** The client has disconnected; no answer is owed any more. */
    void onClientDisconnected(long now, String id);

    /** A timer set by {@link RoutingActions#setTimer} has fired. */
    void onTimer(long now, long token);

    /** A health check has ended; {@code load} is null if it brought no load report. */
    void onHealthCheckEnded(long now, String replica, AttemptOutcome outcome, long took, LoadReport load);

    /** Other settings hold from now on. Classes and tenants keep their places, new ones follow them. */
    void onSettings(long now, RoutingSettings settings);

    /** Another router has sent a message. */
    void onPeerMessage(long now, int peer, byte[] payload);
}
