package magpiehub.upstream;

/** What the events of a response stream say about its end, independently of the HTTP framing around them. */
enum StreamEnd {
    /** The stream has sent {@code data: [DONE]}. */
    DONE("done"),
    /** A choice has its finish reason, or the usage has come behind the choices; {@code [DONE]} has not. */
    FINISHED("finished"),
    /** The events don't tell: none has an end, and none says that there is more to come. */
    UNKNOWN("unknown"),
    /** There is no event, the last one is cut, or a choice waits for its finish reason. */
    MISSING("missing");

    private final String label;

    StreamEnd(String label) {
        this.label = label;
    }

    /** The name in log events and counters. */
    String label() {
        return label;
    }

    /**
     * Whether a stream with complete framing is complete.
     *
     * @param expectsDone whether the upstream ends its streams with {@code [DONE]}
     */
    boolean isComplete(boolean expectsDone) {
        return switch (this) {
            case DONE -> true;
            case FINISHED, UNKNOWN -> !expectsDone;
            case MISSING -> false;
        };
    }
}
