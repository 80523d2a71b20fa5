package magpiehub.routing;

import java.util.List;

/**
 * The events that the host reports to the routing policy, all on one thread. {@code now} is the host's clock in
 * microseconds, {@code took} the time since the attempt or health check was sent. Events of unknown requests, attempts
 * or replicas are ignored.
 */
public interface RoutingEvents {
    /** An endpoint list has arrived; {@code endpoints} is empty for {@link EndpointListKind#ERROR}. */
    void onEndpoints(long now, EndpointListKind kind, List<Endpoint> endpoints);

    /** The endpoint list may be used until {@code validUntil}; without this event there is no limit. */
    void onEndpointListValidity(long now, long validUntil);

    /** A client's request has arrived; it must get exactly one final answer. */
    void onRequest(long now, RoutingRequest request);

    /** The first token of an attempt has arrived; its stream is forwarded to the client from now on. */
    void onStreamStarted(long now, String id, int attempt, long took);

    /**
     * An attempt has ended.
     *
     * @param settled whether the client has got its answer or needs none
     * @param cachedTokens prompt tokens that the replica found in its cache, -1 if it did not report it
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

    /** The client has disconnected; no answer is due any more. */
    void onClientDisconnected(long now, String id);

    /** A timer set by {@link RoutingActions#setTimer} has fired. */
    void onTimer(long now, long token);

    /** A health check has ended; {@code load} is null if the answer contained no load report. */
    void onHealthCheckEnded(long now, String replica, AttemptOutcome outcome, long took, LoadReport load);

    /** New settings apply from now on. Classes and tenants keep their indexes; new ones are appended. */
    void onSettings(long now, RoutingSettings settings);

    /** Another router has sent a message. */
    void onPeerMessage(long now, int peer, byte[] payload);
}
