package magpiehub.streaming;

/** What goes wrong with a stream. The id of a request ends with its name, which the scripted upstream reads. */
enum StreamFault {
    NONE,
    PAUSES,
    BYTE_A_SECOND,
    STOPS_READING,
    LEAVES,
    RESETS,
    BEFORE_TOKEN,
    BEFORE_USAGE,
    BEFORE_DONE,
    BEFORE_LAST_CHUNK,
    DRIBBLES,
    COMMENTS,
    BREAKS,
    LARGE;

    /** The fault that a request's id names behind its hyphen. */
    static StreamFault ofRequestId(String id) {
        return valueOf(id.substring(id.indexOf('-') + 1));
    }

    /** Whether the client gets all of the stream. */
    boolean allowsCompletion() {
        return this == NONE || this == PAUSES || this == LARGE;
    }
}
