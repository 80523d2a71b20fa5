package magpiehub.routing;

/**
 * A class of requests with common objectives. Times are in microseconds.
 *
 * @param name the class's name in settings and headers
 * @param idempotency what a repeated request does
 * @param deduplicationScope which replicas recognise a repeated request of {@link Idempotency#IDEMPOTENT_WITH_KEY}
 * @param deduplicationWindow how long they remember its key
 * @param stream whether answers are streamed
 * @param latencyObjective wanted time to the first token, without the part that grows with the prompt
 * @param latencyObjectivePer1000Tokens what 1,000 prompt tokens add to it
 * @param latencyObjectiveStretch factor that the site names beside the objective; no decision uses it
 * @param deadline time that a request has if it names none
 * @param tokenIntervalObjective wanted time between tokens
 * @param priorityWeight value of a timely answer; under overload the least value for its service time is shed first
 * @param lateAnswerValue part of the value that an answer after the objective keeps, from 0 to 1
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

    /** Wanted time to the first token of a prompt of so many tokens, in microseconds. */
    double firstTokenObjective(double promptTokens) {
        return latencyObjective + latencyObjectivePer1000Tokens * promptTokens / 1000;
    }
}
