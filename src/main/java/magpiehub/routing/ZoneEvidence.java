package magpiehub.routing;

/** Evidence about a replica from an attempt or a health check. */
public enum ZoneEvidence {
    /** It answered: a first token, a complete answer or a rejection. */
    ANSWERED,
    /** No connection could be opened. */
    NO_CONNECTION,
    /** The connection was lost during a request. */
    CONNECTION_LOST,
    /** No first token arrived for much longer than usual. */
    SILENCE,
    /** It answered with an error, so it is reachable. */
    ERROR
}
