package magpiehub.discovery;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import magpiehub.config.EndpointEntry;
import magpiehub.discovery.ListUpdateResult.Outcome;

/**
 * Builds one endpoint list from the complete lists, changes and positions that a source reports, and decides
 * which of them are current. Each set of changes is applied once and in order, and two histories of the source
 * are never mixed. The list has a version of its own that grows by one with each set of changes.
 *
 * <p>A state machine without I/O and without a clock; an instance belongs to one thread.
 */
public final class EndpointListState {
    /** The reason where a watch has not delivered what a check saw: its endpoint is not one to rely on. */
    static final String WATCH_STALLED = "the watch is mute";

    /** The reason where the source keeps having another number of keys than the list. */
    static final String COUNT_DIFFERS = "the count differs";

    /** Complete lists in a row that must agree on an older position before it is believed. */
    private static final int READS_TO_GO_BACK = 2;

    private final EndpointIndex index = new EndpointIndex();
    private ListPosition position = ListPosition.NONE;
    private long version;
    private long duplicateChanges;
    private boolean relistRequired;
    /** Complete lists in a row that were older than what was known when they were requested. */
    private int laggingLists;
    /** The newest revision that the last check saw, while the watch has not delivered it; -1 for none. */
    private long expectedRevision = -1;
    /** The position at which the last check saw another number of keys; null if it did not. */
    private ListPosition countDifferedAt;

    /** The position of this list in its source's history. */
    public ListPosition position() {
        return position;
    }

    /** The version of the list, which grows by one with each set of changes. */
    public long version() {
        return version;
    }

    /** Endpoints in the list. */
    public int size() {
        return index.size();
    }

    /** Keys that the source has, with those that can't be read. */
    public int keyCount() {
        return index.keyCount();
    }

    /** Single changes that were received again and dropped. */
    public long duplicateChanges() {
        return duplicateChanges;
    }

    /** Whether the next call must read the complete list. */
    public boolean requiresRelist() {
        return relistRequired || !position.isKnown();
    }

    /** Keys whose entries can't be read, with the reason; they are left out of the list. */
    public Map<String, String> unreadableKeys() {
        return index.unreadableKeys();
    }

    /** An endpoint by its id, or null. */
    public EndpointEntry get(String id) {
        return index.get(id);
    }

    /** The complete list, in no order. */
    public List<EndpointEntry> entries() {
        return index.entries();
    }

    /** Whether the last check saw what the watch has not delivered yet. */
    public boolean isBehindSource() {
        return expectedRevision > position.revision() || countDifferedAt != null;
    }

    /** Restores a list from before this start. It is used until the source answers, and has no position. */
    public ListDelta restore(List<ListItem> items) {
        return replaceAll(items, false);
    }

    /** Restores a list with its position, so that changes may follow it: the platform's list. */
    public ListDelta restore(List<ListItem> items, ListPosition at) {
        position = at;
        return restore(items);
    }

    /**
     * Applies a complete list.
     *
     * @param at the source's position when the list was read
     * @param requestedAt this list's position when the complete list was requested, where the source never
     *     answers with less than it had then; null where it may, and then an older list is just stale
     * @param trusted whether the list counts whatever its position: the first answer of another source
     */
    public ListUpdateResult applyCompleteList(
            ListPosition at, ListPosition requestedAt, List<ListItem> items, boolean trusted) {
        boolean known = position.isKnown();
        boolean older = known && at.revision() < position.revision();
        boolean historyChanged = known && (!at.history().equals(position.history()) || hasOlderTerm(at));
        if (!trusted && older && !historyChanged) {
            ListUpdateResult rejection = rejectOlderList(at, requestedAt);
            if (rejection != null) {
                return rejection;
            }
            historyChanged = true;
        }
        historyChanged |= trusted && older;
        laggingLists = 0;
        relistRequired = false;
        expectedRevision = -1;
        countDifferedAt = null;
        position = at;
        ListDelta delta = replaceAll(items, historyChanged);
        return new ListUpdateResult(Outcome.APPLIED, delta, historyChanged ? "another history" : "");
    }

    /** Why a complete list older than this one is not applied; null if it is, as another history. */
    private ListUpdateResult rejectOlderList(ListPosition at, ListPosition requestedAt) {
        if (requestedAt == null) {
            return ListUpdateResult.of(Outcome.STALE, "older than the list");
        }
        if (!requestedAt.history().equals(at.history()) || at.revision() >= requestedAt.revision()) {
            laggingLists = 0;
            return ListUpdateResult.of(Outcome.SUPERSEDED, "changes came meanwhile");
        }
        // One endpoint that lags is no restart with older data; reads in a row that agree are.
        if (++laggingLists < READS_TO_GO_BACK) {
            return ListUpdateResult.of(Outcome.LAGGING, "position " + at.revision() + " after " + position.revision());
        }
        return null;
    }

    /** Applies changes up to a position. Those that were received before are dropped one by one. */
    public ListUpdateResult applyChanges(ListPosition to, List<ListItem> items) {
        ListUpdateResult mismatch = checkHistory(to);
        if (mismatch != null) {
            return mismatch;
        }
        if (relistRequired) {
            return ListUpdateResult.of(Outcome.RELIST_REQUIRED, "a whole list is due");
        }
        if (to.revision() < position.revision()) {
            duplicateChanges += items.size();
            return ListUpdateResult.of(Outcome.STALE, "older than the list");
        }
        Map<String, EndpointEntry> before = new LinkedHashMap<>();
        for (ListItem item : items) {
            if (item.modRevision() != 0 && item.modRevision() <= position.revision()) {
                duplicateChanges++;
            } else {
                index.apply(item, before);
            }
        }
        position = new ListPosition(to.history(), Math.max(position.term(), to.term()), to.revision());
        laggingLists = 0;
        return new ListUpdateResult(Outcome.APPLIED, delta(before, false, false), "");
    }

    /**
     * Checks the position of a source whose watch has opened, or that has answered any other call, against this
     * list's.
     */
    public ListUpdateResult checkPosition(ListPosition of) {
        ListUpdateResult mismatch = checkHistory(of);
        if (mismatch != null) {
            return mismatch;
        }
        if (of.revision() < position.revision()) {
            // A member that lags, or a registry restarted with older data: a watch would wait for the future.
            return requireRelist("position " + of.revision() + " after " + position.revision());
        }
        return ListUpdateResult.of(Outcome.STALE, "");
    }

    /**
     * Checks what the source had at this list's position, before a watch resumes from there. Guards against a
     * registry that was restored from older data and has since passed this position: its revisions go on, but
     * the changes in between were others.
     *
     * @param of the source's position now
     * @param resumeAt the position that the source was asked about
     * @param lastChanged the keys that had changed last by then, the latest first, with their entries: one
     *     alone may be the same in two histories, such as an entry that nobody can read
     * @param count keys in the list then
     */
    public ListUpdateResult checkResume(
            ListPosition of, ListPosition resumeAt, List<ListItem> lastChanged, long count) {
        ListUpdateResult result = checkPosition(of);
        // A new term alone is no step: the answer itself may have reported it.
        boolean sameStep = resumeAt.history().equals(position.history()) && resumeAt.revision() == position.revision();
        if (result.requiresRelist() || !sameStep) {
            return result;
        }
        return hadSameChanges(lastChanged, count)
                ? result
                : requireRelist("different history at revision " + resumeAt.revision());
    }

    private boolean hadSameChanges(List<ListItem> lastChanged, long count) {
        ListItem lastHere = index.lastChangeInForce();
        boolean same = count == keyCount();
        if (lastChanged.isEmpty()) {
            same &= count == 0;
        } else {
            same &= lastHere != null
                    && lastHere.modRevision() == lastChanged.get(0).modRevision();
        }
        for (ListItem item : lastChanged) {
            same &= index.contains(item);
        }
        return same;
    }

    /**
     * Checks what the source has beside an open watch. Guards against a watch that stays open and delivers
     * nothing: what one check saw must have been delivered by the next.
     *
     * @param of the source's position
     * @param requestedAt this list's position when the check was sent: it may have passed the answer since
     * @param newestRevision the newest revision of any key in the list, as far as the source says
     * @param count keys in the list; -1 where the source does not say
     */
    public ListUpdateResult checkWatch(ListPosition of, ListPosition requestedAt, long newestRevision, long count) {
        ListUpdateResult result = of.revision() < requestedAt.revision() ? checkPosition(of) : checkHistory(of);
        if (result != null && result.requiresRelist()) {
            return result;
        }
        boolean stalled = expectedRevision > position.revision();
        boolean countDiffers = count >= 0 && count != keyCount();
        boolean countStillDiffers = countDiffers && position.equals(countDifferedAt);
        expectedRevision = newestRevision;
        countDifferedAt = countDiffers ? position : null;
        if (stalled || countStillDiffers) {
            return requireRelist(stalled ? WATCH_STALLED : COUNT_DIFFERS);
        }
        return ListUpdateResult.of(Outcome.STALE, "");
    }

    /** Notes that the source no longer has the changes that would follow this list's position. */
    public void markCompacted() {
        relistRequired = true;
    }

    /** Checks that a position is of this list's history, and takes over a newer term; null if it is. */
    private ListUpdateResult checkHistory(ListPosition of) {
        if (position.isKnown() && !of.history().equals(position.history())) {
            return requireRelist("another history");
        }
        if (hasOlderTerm(of)) {
            return requireRelist("an older term");
        }
        if (of.term() > position.term()) {
            position = new ListPosition(position.history(), of.term(), position.revision());
        }
        return null;
    }

    /** Whether a position is of an older term; a source that does not name its term in each answer is not. */
    private boolean hasOlderTerm(ListPosition of) {
        return of.term() != 0 && of.term() < position.term();
    }

    private ListUpdateResult requireRelist(String reason) {
        relistRequired = true;
        return ListUpdateResult.of(Outcome.RELIST_REQUIRED, reason);
    }

    private ListDelta replaceAll(List<ListItem> items, boolean historyChanged) {
        return delta(index.replaceAll(items), true, historyChanged);
    }

    private ListDelta delta(Map<String, EndpointEntry> before, boolean complete, boolean historyChanged) {
        List<EndpointEntry> put = new ArrayList<>();
        List<String> removed = new ArrayList<>();
        before.forEach((id, old) -> {
            EndpointEntry now = index.get(id);
            if (now == null && old != null) {
                removed.add(id);
            } else if (now != null && !now.equals(old)) {
                put.add(now);
            }
        });
        if (!put.isEmpty() || !removed.isEmpty()) {
            version++;
        }
        return new ListDelta(version, complete, historyChanged, put, removed);
    }
}
