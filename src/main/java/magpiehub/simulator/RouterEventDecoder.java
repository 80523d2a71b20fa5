package magpiehub.simulator;

import magpiehub.config.Milliseconds;
import magpiehub.routing.AttemptOutcome;
import magpiehub.routing.EndpointListKind;
import magpiehub.routing.RoutingRequest;

/** Converts the fields of a message to one simulated router into a typed event. */
final class RouterEventDecoder {
    private RouterEventDecoder() {}

    /**
     * Decodes the event that the message represents.
     *
     * @throws MalformedMessageException if the message type is unknown, or a field is missing or has an unknown value
     */
    static RouterEvent decode(MessageFields fields) {
        return switch (fields.messageName()) {
            case "INGRESS" -> new RouterEvent.RequestArrived(request(fields));
            case "BEGUN" -> new RouterEvent.StreamStarted(
                    fields.requireRequestId(), fields.attempt, Milliseconds.toMicros(fields.durationMillis));
            case "ANSWER" -> attemptEnded(fields);
            case "ABANDONED" -> new RouterEvent.ClientGone(fields.requireRequestId());
            case "TICK_DUE" -> new RouterEvent.TimerFired(fields.timerToken);
            case "STATUS_BACK" -> new RouterEvent.HealthCheckEnded(
                    fields.requireReplicaId(),
                    outcome(fields),
                    Milliseconds.toMicros(fields.durationMillis),
                    fields.loadReport);
            case "MESSAGE" -> new RouterEvent.PeerMessageReceived(fields.sourcePeer, fields.payload);
            case "PEERS_KNOWN" -> new RouterEvent.EndpointsReceived(listKind(fields), fields.endpoints);
            default -> throw new MalformedMessageException(fields.messageName(), "unknown message");
        };
    }

    private static RoutingRequest request(MessageFields fields) {
        String id = fields.requireRequestId();
        long deadlineMicros = Milliseconds.toMicros(fields.requireDeadlineMillis());
        return new RoutingRequest(
                id,
                fields.classIndex,
                fields.tenantIndex,
                fields.sessionId,
                fields.prefixId,
                deadlineMicros,
                fields.predictedMillis,
                fields.promptTokens,
                fields.prefixTokens,
                fields.maxOutputTokens,
                fields.clientRetry,
                fields.write,
                fields.continuation);
    }

    private static RouterEvent attemptEnded(MessageFields fields) {
        return new RouterEvent.AttemptEnded(
                fields.requireRequestId(),
                fields.attempt,
                outcome(fields),
                Milliseconds.toMicros(fields.durationMillis),
                fields.settled,
                fields.cachedTokens,
                fields.loadReport);
    }

    private static AttemptOutcome outcome(MessageFields fields) {
        return switch (fields.outcomeCode) {
            case 0 -> AttemptOutcome.OK;
            case 1 -> AttemptOutcome.CANCELLED;
            case 4 -> AttemptOutcome.TIMEOUT;
            case 8 -> AttemptOutcome.FULL;
            case 9 -> AttemptOutcome.MOOT;
            case 10 -> AttemptOutcome.RESET;
            case 13 -> AttemptOutcome.ERROR;
            case 14 -> AttemptOutcome.CONNECT_FAILED;
            default -> throw fields.malformed("reason", "unknown outcome: " + fields.outcomeCode);
        };
    }

    private static EndpointListKind listKind(MessageFields fields) {
        String kind = fields.requireListKind();
        return switch (kind) {
            case "Partial" -> EndpointListKind.CHANGES;
            case "Complete" -> EndpointListKind.COMPLETE;
            case "Persisted" -> EndpointListKind.SAVED;
            case "Error" -> EndpointListKind.ERROR;
            default -> throw fields.malformed("kind", "unknown list kind: " + kind);
        };
    }
}
