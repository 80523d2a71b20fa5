package magpiehub.routing;

/** The replicas that recognize a repeated request by its idempotency key. */
public enum DeduplicationScope {
    /** All replicas of the fleet. */
    ALL,
    /** The replicas of one zone. */
    ZONE,
    /** The replicas of one cell. */
    CELL
}
