package magpiehub.discovery;

/** How a call to a registry endpoint failed. */
public enum EndpointFailure {
    /** A connection in use broke, or none could be made: other routers have likely lost theirs just now. */
    CONNECTION_LOST,
    /** The same, noticed late by an idle connection: part of the reconnect spread has passed already. */
    IDLE_CONNECTION_LOST,
    /** The endpoint stopped answering, which each router notices at a time of its own. */
    TIMEOUT,
    /** The endpoint answered with an error: the others are used at once, and only this one backs off. */
    ERROR_RESPONSE
}
