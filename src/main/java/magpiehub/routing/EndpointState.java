package magpiehub.routing;

/** State of a replica in the endpoint list. */
public enum EndpointState {
    /** Accepts requests. */
    LIVE,
    /** Finishes its requests and accepts no new ones. */
    DRAINING,
    /** Removed for good; a replacement has a new id. */
    DEAD
}
