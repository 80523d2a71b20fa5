package magpiehub.routing;

/** What happens if a request is executed twice; it decides where a retry may go. */
public enum Idempotency {
    /** Repeating it is harmless. */
    IDEMPOTENT,
    /** Replicas of one {@link DeduplicationScope} recognise its key and drop repeats, for a limited time. */
    IDEMPOTENT_WITH_KEY,
    /** Never safe to repeat unless it is known that no earlier attempt was executed. */
    NOT_IDEMPOTENT
}
