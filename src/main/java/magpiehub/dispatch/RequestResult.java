package magpiehub.dispatch;

/** How a request was answered; each result has a counter. */
enum RequestResult {
    /** An upstream's response was forwarded to its end. */
    SERVED("answered_served"),
    /** The response stream ended early, since its upstream failed. */
    BROKEN("answered_broken"),
    /** The response stream was ended so that the client requests the rest from another upstream. */
    MIGRATED("answered_moved"),
    /** The client closed its connection first. */
    ABANDONED("answered_abandoned"),
    /** Rejected without effects: the client may retry safely. */
    REJECTED("answered_refused"),
    /** Failed, possibly with effects. */
    FAILED("answered_failed");

    private final String counterName;

    RequestResult(String counterName) {
        this.counterName = counterName;
    }

    String counterName() {
        return counterName;
    }
}
