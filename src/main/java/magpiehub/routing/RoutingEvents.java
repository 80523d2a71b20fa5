package magpiehub.routing;

import java.util.List;

/** What a node may be told. {@code load} is null where no report came. */
public interface RoutingEvents {
    /** Discovery's word on the servers; {@code servers} is empty for {@link EndpointListKind#ERROR}. */
    void onEndpoints(long now, EndpointListKind kind, List<Endpoint> servers);

    /** A client's request has come; exactly one final answer is owed. */
    void onRequest(long now, RoutingRequest request);

    /** A stream has started: the attempt belongs to the client now. */
    void onStreamStarted(long now, String id, int attempt, long took);

    /** An attempt has ended; {@code settled} if the request is over. {@code kept} is -1 if not told. */
    void onAttemptEnded(
            long now,
            String id,
            int attempt,
            AttemptOutcome outcome,
            long took,
            boolean settled,
            long kept,
            LoadReport load);

    /** The client is gone; nothing more is owed. */
    void onClientGone(long now, String id);

    /** A timer set by {@link Actions#timer} has come due. */
    void onTimer(long now, long token);

    /** A probe has come back. */
    void onProbeResult(long now, String server, AttemptOutcome outcome, long took, LoadReport load);

    /** Other settings hold from now on. Classes and tenants keep their places, new ones come behind. */
    void onSettings(long now, RoutingSettings settings);

    /** Another node of the tier has sent a message. */
    void onPeerMessage(long now, int peer, byte[] payload);
}
