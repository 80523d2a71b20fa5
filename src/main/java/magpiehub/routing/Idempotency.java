package magpiehub.routing;

/** What a repeat of a request does. */
public enum Idempotency {
    /** Harmless to repeat. */
    IDEMPOTENT,
    /** Repeats are dropped by one group of servers, for a time. */
    IDEMPOTENT_WITH_KEY,
    /** Never safe to repeat unless it is known that it did not run. */
    NOT_IDEMPOTENT
}
