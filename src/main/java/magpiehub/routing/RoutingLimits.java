package magpiehub.routing;

/**
 * What the site permits.
 *
 * @param allowsCancellation whether an attempt may be cancelled
 * @param allowsHealthChecks whether replicas may be probed
 * @param allowsPeerMessages whether routers may send messages to each other
 * @param allowsParallelAttempts whether one request may have two attempts open at once
 * @param sendsRetryAfter whether a rejection may name a time to come back
 * @param maxAttempts attempts for one request at most
 * @param maxInFlight requests in flight at most
 * @param maxRetryAfter longest time to come back that may be named, in microseconds
 * @param connectTimeout time for opening a connection, in microseconds
 */
public record RoutingLimits(
        boolean allowsCancellation,
        boolean allowsHealthChecks,
        boolean allowsPeerMessages,
        boolean allowsParallelAttempts,
        boolean sendsRetryAfter,
        int maxAttempts,
        int maxInFlight,
        long maxRetryAfter,
        long connectTimeout) {}
