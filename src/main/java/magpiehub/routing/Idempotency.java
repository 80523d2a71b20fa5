package magpiehub.routing;

/** What a repeat of a request does. */
public enum Idempotency {
    /** Harmless to repeat. */
    PURE,
    /** Repeats are dropped by one group of servers, for a time. */
    TOKEN,
    /** Never safe to repeat unless it is known that it did not run. */
    SIDE_EFFECT
}
