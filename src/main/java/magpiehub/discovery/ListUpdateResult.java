package magpiehub.discovery;

/**
 * The outcome of giving an update from the source to {@link EndpointListState}.
 *
 * @param outcome what became of the update
 * @param delta the changes to the list; null unless the outcome is {@link Outcome#APPLIED}
 * @param reason why, for the event log
 */
public record ListUpdateResult(Outcome outcome, ListDelta delta, String reason) {
    /** What became of an update. */
    public enum Outcome {
        /** It is now the list; the delta names the changes, of which there may be none. */
        APPLIED,
        /** It contained nothing new. */
        STALE,
        /** A complete list that is older than changes received since it was requested: true, but not applied. */
        SUPERSEDED,
        /** A complete list older than what was known when it was requested: a second read must confirm it. */
        LAGGING,
        /** It does not follow what is known: only a complete list helps. */
        RELIST_REQUIRED
    }

    static ListUpdateResult of(Outcome outcome, String reason) {
        return new ListUpdateResult(outcome, null, reason);
    }

    /** Whether the next call must read the complete list. */
    boolean requiresRelist() {
        return outcome == Outcome.RELIST_REQUIRED;
    }

    /** Whether the endpoint that served the watch is not one to read the list from. */
    boolean suspectsEndpoint() {
        return reason.equals(EndpointListState.WATCH_STALLED) || reason.equals(EndpointListState.COUNT_DIFFERS);
    }
}
