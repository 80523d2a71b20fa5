package magpiehub.routing;

/** EndpointState of a server as the list has it. */
public enum EndpointState {
    LIVE,
    DRAINING,
    DEAD
}
