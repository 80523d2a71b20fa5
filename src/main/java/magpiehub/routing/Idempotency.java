package magpiehub.routing;

/** The effect of executing a request twice, which decides where a retry may be sent. */
public enum Idempotency {
    /** A repeat is harmless. */
    IDEMPOTENT,
    /** Replicas of one {@link DeduplicationScope} recognize its key and drop repeats for a limited time. */
    IDEMPOTENT_WITH_KEY,
    /** Safe to repeat only if it is certain that no earlier attempt was executed. */
    NOT_IDEMPOTENT
}
