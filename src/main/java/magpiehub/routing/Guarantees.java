package magpiehub.routing;

/**
 * Figures of the site's rules that every router keeps to by itself. Times are in microseconds.
 *
 * @param answerSlack time after a request's deadline by which its final answer must have been given
 * @param pollWithin time within which the endpoint list must have been asked for
 * @param warmUpDuration how long a replica takes from its start to full capacity
 * @param overloadWindow the time over which traffic to a warming replica is counted: too much of it within one
 *     window makes the replica fail
 * @param overloadFactor the multiple of a warming replica's capacity that makes it fail
 * @param initialCapacity the part of its capacity that a replica has when it starts, from 0 to 1
 * @param stopSendingWithin time within which a draining replica must no longer be sent anything
 */
public record Guarantees(
        long answerSlack,
        long pollWithin,
        long warmUpDuration,
        long overloadWindow,
        double overloadFactor,
        double initialCapacity,
        long stopSendingWithin) {}
