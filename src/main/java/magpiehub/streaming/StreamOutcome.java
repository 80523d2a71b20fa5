package magpiehub.streaming;

/** Why a stream ended. Counters and the log name the outcomes by their labels. */
public enum StreamOutcome {
    /** The client's socket has taken all of a complete stream. */
    COMPLETE("whole"),
    /** Not complete, but ended in order in the client's dialect: all that matters of it had come. */
    INCOMPLETE("incomplete"),
    /** The upstream sent an error event. */
    UPSTREAM_ERROR("engine_error"),
    /** The upstream's connection was lost, or what came on it can't be parsed. */
    UPSTREAM_DISCONNECTED("engine_broke"),
    /** The upstream was silent for longer than {@link StallDetector} allows. */
    UPSTREAM_STALLED("engine_stalled"),
    /** The client closed or reset its connection. */
    CLIENT_DISCONNECTED("reader_left"),
    /** The client's socket took nothing for longer than its class allows. */
    CLIENT_STALLED("reader_stuck"),
    /** The buffer budget was spent, and this client was lagging most. */
    CLIENT_LAGGING("reader_behind"),
    /** The routing policy ended it, for the client to ask for the rest on another replica. */
    MIGRATED("moved"),
    /** The router shut down. */
    SHUTDOWN("stopped"),
    /** The router itself failed. */
    INTERNAL_ERROR("fault");

    private final String label;
    private final String counter;

    StreamOutcome(String label) {
        this.label = label;
        this.counter = "streams_" + label;
    }

    /** Its name in the log. */
    public String label() {
        return label;
    }

    /** The name of the counter of streams that ended so. */
    public String counter() {
        return counter;
    }
}
