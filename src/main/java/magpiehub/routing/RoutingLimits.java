package magpiehub.routing;

/**
 * The site's limits on what a router may do.
 *
 * @param allowsCancellation whether an attempt may be cancelled
 * @param allowsHealthChecks whether health checks may be sent
 * @param allowsPeerMessages whether routers may send messages to each other
 * @param allowsParallelAttempts whether one request may have two attempts open at once
 * @param sendsRetryAfter whether a rejection may contain a retry-after time
 * @param maxAttempts maximum number of attempts per request
 * @param maxInFlight maximum number of requests in flight
 * @param maxRetryAfter longest retry-after time, in microseconds
 * @param connectTimeout timeout for opening a connection, in microseconds
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
