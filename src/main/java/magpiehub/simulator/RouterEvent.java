package magpiehub.simulator;

import java.util.List;
import magpiehub.routing.AttemptOutcome;
import magpiehub.routing.Endpoint;
import magpiehub.routing.EndpointListKind;
import magpiehub.routing.LoadReport;
import magpiehub.routing.RoutingEvents;
import magpiehub.routing.RoutingRequest;

/** An event that the simulator sends to one simulated router. Durations are in microseconds. */
sealed interface RouterEvent {
    /** Delivers the event to the router's policy as occurring at {@code nowMicros}. */
    void deliverTo(RoutingEvents policy, long nowMicros);

    /** A client's request has arrived. */
    record RequestArrived(RoutingRequest request) implements RouterEvent {
        @Override
        public void deliverTo(RoutingEvents policy, long nowMicros) {
            policy.onRequest(nowMicros, request);
        }
    }

    /** The first token of an attempt has arrived. */
    record StreamStarted(String requestId, int attempt, long durationMicros) implements RouterEvent {
        @Override
        public void deliverTo(RoutingEvents policy, long nowMicros) {
            policy.onStreamStarted(nowMicros, requestId, attempt, durationMicros);
        }
    }

    /**
     * An attempt has ended.
     *
     * @param settled whether the request is finished for its client
     * @param cachedTokens prompt tokens that the replica found in its cache, -1 if unknown
     * @param loadReport the replica's load report, or null if there was none
     */
    record AttemptEnded(
            String requestId,
            int attempt,
            AttemptOutcome outcome,
            long durationMicros,
            boolean settled,
            long cachedTokens,
            LoadReport loadReport)
            implements RouterEvent {
        @Override
        public void deliverTo(RoutingEvents policy, long nowMicros) {
            policy.onAttemptEnded(
                    nowMicros, requestId, attempt, outcome, durationMicros, settled, cachedTokens, loadReport);
        }
    }

    /** The client has disconnected. */
    record ClientGone(String requestId) implements RouterEvent {
        @Override
        public void deliverTo(RoutingEvents policy, long nowMicros) {
            policy.onClientDisconnected(nowMicros, requestId);
        }
    }

    /** A timer has fired. */
    record TimerFired(long token) implements RouterEvent {
        @Override
        public void deliverTo(RoutingEvents policy, long nowMicros) {
            policy.onTimer(nowMicros, token);
        }
    }

    /** A health check has ended; {@code loadReport} is null if there was none. */
    record HealthCheckEnded(String replicaId, AttemptOutcome outcome, long durationMicros, LoadReport loadReport)
            implements RouterEvent {
        @Override
        public void deliverTo(RoutingEvents policy, long nowMicros) {
            policy.onHealthCheckEnded(nowMicros, replicaId, outcome, durationMicros, loadReport);
        }
    }

    /** Another simulated router has sent a message. */
    record PeerMessageReceived(int peer, byte[] payload) implements RouterEvent {
        @Override
        public void deliverTo(RoutingEvents policy, long nowMicros) {
            policy.onPeerMessage(nowMicros, peer, payload);
        }
    }

    /** An endpoint list has arrived. */
    record EndpointsReceived(EndpointListKind kind, List<Endpoint> endpoints) implements RouterEvent {
        @Override
        public void deliverTo(RoutingEvents policy, long nowMicros) {
            policy.onEndpoints(nowMicros, kind, endpoints);
        }
    }
}
