package magpiehub.routing;

/** Outcome of an attempt or a health check. The constants' names are part of counter names. */
public enum AttemptOutcome {
    /** Answered completely. */
    OK(false),
    /** The replica answered with an error. */
    ERROR(false),
    /** The replica rejected it for lack of capacity. */
    FULL(true),
    /** No answer arrived before the timeout. */
    TIMEOUT(false),
    /** No connection could be opened. */
    CONNECT_FAILED(true),
    /** The connection was lost before the answer was complete. */
    RESET(false),
    /** Cancelled by this router or by its client. */
    CANCELLED(false),
    /** Not executed, since the request no longer needed the attempt, or it could not be written in time. */
    MOOT(true),
    /** The response was malformed. */
    SPOILT(false);

    private final boolean neverExecuted;

    AttemptOutcome(boolean neverExecuted) {
        this.neverExecuted = neverExecuted;
    }

    /** Returns whether the outcome proves that the attempt was not executed, so that a retry is safe. */
    public boolean wasNeverExecuted() {
        return neverExecuted;
    }
}
