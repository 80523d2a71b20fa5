package magpiehub.streaming;

/** How a stream ended. Counters and log events use the labels of the outcomes. */
public enum StreamOutcome {
    /** The stream was complete and the client's socket accepted all of it. */
    COMPLETE("whole"),
    /** Not complete, but all content was forwarded, and the response ended properly in the client's protocol. */
    INCOMPLETE("incomplete"),
    /** The upstream sent an error event. */
    UPSTREAM_ERROR("engine_error"),
    /** The connection to the upstream was lost, or the response could not be parsed. */
    UPSTREAM_DISCONNECTED("engine_broke"),
    /** The upstream was silent for longer than allowed, see {@link FlowController#silenceDeadline}. */
    UPSTREAM_STALLED("engine_stalled"),
    /** The client closed or reset its connection. */
    CLIENT_DISCONNECTED("reader_left"),
    /** The client's socket accepted nothing for longer than its class allows. */
    CLIENT_STALLED("reader_stuck"),
    /** The buffer budget was exhausted, and this client lagged most. */
    CLIENT_LAGGING("reader_behind"),
    /** The routing policy ended the stream so that the client resumes it on another replica. */
    MIGRATED("moved"),
    /** The router shut down. */
    SHUTDOWN("stopped"),
    /** An internal error of the router. */
    INTERNAL_ERROR("fault");

    private final String label;
    private final String counterName;

    StreamOutcome(String label) {
        this.label = label;
        this.counterName = "streams_" + label;
    }

    /** The name of the outcome in log events. */
    public String label() {
        return label;
    }

    /** The name of the counter of streams with this outcome. */
    public String counterName() {
        return counterName;
    }
}
