package magpiehub.discovery;

/** How a call to a registry endpoint failed. */
public enum EndpointFailure {
    /** An active connection was lost or a connect failed; other routers have probably lost theirs at the same time. */
    CONNECTION_LOST,
    /** An idle connection was lost, which is detected late: part of the reconnect spread has already elapsed. */
    IDLE_CONNECTION_LOST,
    /** The endpoint stopped responding, which each router detects at a different time. */
    TIMEOUT,
    /** The endpoint returned an error: the others are used immediately, and only this one backs off. */
    ERROR_RESPONSE
}
