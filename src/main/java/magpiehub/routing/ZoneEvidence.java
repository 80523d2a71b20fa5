package magpiehub.routing;

/** What an attempt or a health check shows of the replica that it went to. */
public enum ZoneEvidence {
    /** It answered: a first token, a complete answer or a rejection. */
    ANSWERED,
    /** No connection could be opened. */
    NO_CONNECTION,
    /** The connection was lost under a request. */
    BROKEN,
    /** No first token for long, compared with what is usual. */
    SILENCE,
    /** It answered with an error, so it can be reached. */
    ERROR
}
