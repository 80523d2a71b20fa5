package magpiehub.routing;

/** What the site permits. */
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
