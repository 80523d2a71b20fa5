package magpiehub.routing;

/** How one attempt ended. */
public enum AttemptOutcome {
    OK(false),
    ERROR(false),
    FULL(true),
    TIMEOUT(false),
    CONNECT_FAILED(true),
    RESET(false),
    CANCELLED(false),
    MOOT(true),
    /** An answer came that can't be read. */
    SPOILT(false);

    /** True if the outcome proves that the attempt never ran. */
    public final boolean neverRan;

    AttemptOutcome(boolean neverRan) {
        this.neverRan = neverRan;
    }
}
