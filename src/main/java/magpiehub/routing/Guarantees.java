package magpiehub.routing;

/**
 * Limits of the site's rules that every router observes on its own. Times are in microseconds.
 *
 * @param answerSlack time after a request's deadline within which its final answer must be given
 * @param pollWithin time within which the endpoint list must be requested
 * @param warmUpDuration time that a replica takes from its start to full capacity
 * @param overloadWindow length of the window in which traffic to a warming replica is counted; too much traffic
 *     within one window makes the replica fail
 * @param overloadFactor multiple of a warming replica's capacity at which it fails
 * @param initialCapacity fraction of its capacity that a replica has when it starts, from 0 to 1
 * @param stopSendingWithin time after which nothing may be sent to a draining replica
 */
public record Guarantees(
        long answerSlack,
        long pollWithin,
        long warmUpDuration,
        long overloadWindow,
        double overloadFactor,
        double initialCapacity,
        long stopSendingWithin) {}
