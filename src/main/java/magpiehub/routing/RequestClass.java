package magpiehub.routing;

/**
 * A class of requests with common objectives. Times are in microseconds.
 *
 * @param name the class's name in settings and headers
 * @param idempotency the effect of a repeated request
 * @param deduplicationScope which replicas recognize a repeated request of {@link Idempotency#IDEMPOTENT_WITH_KEY}
 * @param deduplicationWindow how long these replicas remember its key
 * @param stream whether answers are streamed
 * @param latencyObjective objective for the time to first token, without the share that depends on the prompt
 * @param latencyObjectivePer1000Tokens time that 1,000 prompt tokens add to it
 * @param latencyObjectiveStretch factor that the site gives with the objective; no decision uses it
 * @param deadline default deadline of a request, relative to its arrival
 * @param tokenIntervalObjective objective for the time between tokens
 * @param priorityWeight value of a timely answer; under overload the lowest value per service time is shed first
 * @param lateAnswerValue fraction of the value that an answer after the objective keeps, from 0 to 1
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
        double lateAnswerValue) {

    /** Returns the objective for the time to first token of a prompt with that many tokens. */
    double firstTokenObjective(double promptTokens) {
        return latencyObjective + latencyObjectivePer1000Tokens * promptTokens / 1000;
    }
}
