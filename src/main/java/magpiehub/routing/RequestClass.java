package magpiehub.routing;

/**
 * A class of requests.
 *
 * @param aim wanted time to the first token; {@code aimPer1000} is added for each 1,000 prompt tokens
 * @param window how long servers remember a keyed request
 */
public record RequestClass(
        String name,
        Idempotency idempotency,
        DeduplicationScope deduplicationScope,
        long deduplicationWindow,
        boolean stream,
        long latencyObjective,
        long latencyObjectivePer1000Tokens,
        double latencyObjectiveStretch,
        long deadline,
        long tokenIntervalObjective,
        double priorityWeight,
        double lateAnswerValue) {}
