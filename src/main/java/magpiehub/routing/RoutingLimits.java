package magpiehub.routing;

/** What the site permits. */
public record RoutingLimits(
        boolean cancel,
        boolean probes,
        boolean peers,
        boolean parallel,
        boolean retryAfter,
        int mostAttempts,
        int mostHeld,
        long maxRetryAfter,
        long connectTimeout) {}
