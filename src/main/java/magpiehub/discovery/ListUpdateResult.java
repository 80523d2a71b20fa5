package magpiehub.discovery;

/**
 * The result of applying an update from the source to {@link EndpointListState}.
 *
 * @param outcome whether the update was applied, or why not
 * @param delta the changes to the list; null unless the outcome is {@link Outcome#APPLIED}
 * @param reason the reason, for the event log
 */
public record ListUpdateResult(Outcome outcome, ListDelta delta, String reason) {
    /** Whether an update was applied, or why not. */
    public enum Outcome {
        /** It was applied; the delta contains the changes, of which there may be none. */
        APPLIED,
        /** It contained nothing new. */
        STALE,
        /** A complete list that is correct but older than changes received since it was requested; not applied. */
        SUPERSEDED,
        /** A complete list older than the known list was when it was requested; a second read must confirm it. */
        LAGGING,
        /** It does not continue the known list; a complete list must be read. */
        RELIST_REQUIRED
    }

    static ListUpdateResult of(Outcome outcome, String reason) {
        return new ListUpdateResult(outcome, null, reason);
    }

    /** Whether the next call must read the complete list. */
    boolean requiresRelist() {
        return outcome == Outcome.RELIST_REQUIRED;
    }

    /** Whether the registry endpoint that served the watch should not be used to read the list. */
    boolean suspectsEndpoint() {
        return reason.equals(EndpointListState.WATCH_STALLED) || reason.equals(EndpointListState.COUNT_DIFFERS);
    }
}
