package magpiehub.routing;

/** State of a replica as the endpoint list has it. */
public enum EndpointState {
    /** Takes requests. */
    LIVE,
    /** Serves what it has and takes nothing new. */
    DRAINING,
    /** Gone; a new replica has a new id. */
    DEAD
}
