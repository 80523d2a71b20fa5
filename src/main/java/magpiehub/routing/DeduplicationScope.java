package magpiehub.routing;

/** The replicas among which repeats of a request with an idempotency key are recognised. */
public enum DeduplicationScope {
    /** All replicas of the fleet. */
    ALL,
    /** Those of one zone. */
    ZONE,
    /** Those of one cell. */
    CELL
}
