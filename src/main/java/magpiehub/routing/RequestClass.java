package magpiehub.routing;

/**
 * A class of requests.
 *
 * @param aim wanted time to the first token; {@code aimPer1000} is added for each 1,000 prompt tokens
 * @param window how long servers remember a keyed request
 */
public record RequestClass(
        String name,
        Idempotency effect,
        DeduplicationScope group,
        long window,
        boolean stream,
        long aim,
        long aimPer1000,
        double aimStretch,
        long deadline,
        long tokenAim,
        double worth,
        double lateShare) {}
