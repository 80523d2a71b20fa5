package magpiehub.routing;

/** What an attempt or a health check tells of a replica. */
public enum ZoneEvidence {
    /** It answered: a first token or anything whole. */
    ANSWERED,
    /** Nothing there. */
    NO_CONNECTION,
    /** The connection ended under a request. */
    BROKEN,
    /** Nothing said for long against what is usual. */
    SILENCE,
    /** An error at once: it is there. */
    ERROR
}
