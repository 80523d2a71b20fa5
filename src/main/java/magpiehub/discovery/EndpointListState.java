package magpiehub.discovery;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import magpiehub.config.EndpointEntry;
import magpiehub.discovery.ListUpdateResult.Outcome;

/**
 * Maintains one endpoint list from the complete lists, changes and positions that a source reports, and decides
 * which of them are current. Each set of changes is applied once and in order, and data from two histories of the
 * source is never mixed. The list has its own version, which is incremented with each set of changes.
 *
 * <p>A state machine without I/O and without a clock; an instance belongs to one thread.
 */
public final class EndpointListState {
    /** The reason if a watch has not delivered changes that a check saw, so that its endpoint is not reliable. */
    static final String WATCH_STALLED = "the watch has stalled";

    /** The reason if the number of keys at the source differs from the list's in two checks in a row. */
    static final String COUNT_DIFFERS = "the number of keys differs";

    /** Consecutive complete lists with an older position after which an older one is applied. */
    private static final int READS_TO_ACCEPT_OLDER = 2;

    private final EndpointIndex index = new EndpointIndex();
    private ListPosition position = ListPosition.NONE;
    private long version;
    private long duplicateChanges;
    private boolean relistRequired;
    /** Consecutive complete lists that were older than this list was when they were requested. */
    private int laggingLists;
    /** The newest revision that the last check saw, which the watch may not have delivered yet; -1 for none. */
    private long expectedRevision = -1;
    /** This list's position when the last check saw a different number of keys; null if it saw the same number. */
    private ListPosition countDifferedAt;

    /** The position of this list in its source's history. */
    public ListPosition position() {
        return position;
    }

    /** The version of the list, which is incremented with each set of changes. */
    public long version() {
        return version;
    }

    /** The number of endpoints in the list. */
    public int size() {
        return index.size();
    }

    /** The number of keys at the source, including unreadable ones. */
    public int keyCount() {
        return index.keyCount();
    }

    /** The number of changes that were received more than once and dropped. */
    public long duplicateChanges() {
        return duplicateChanges;
    }

    /** Whether the next call must read the complete list. */
    public boolean requiresRelist() {
        return relistRequired || !position.isKnown();
    }

    /** Keys whose entries can't be read, each with the reason; they are not in the list. */
    public Map<String, String> unreadableKeys() {
        return index.unreadableKeys();
    }

    /** The endpoint with this id, or null if there is none. */
    public EndpointEntry get(String id) {
        return index.get(id);
    }

    /** All endpoints, in no particular order. */
    public List<EndpointEntry> entries() {
        return index.entries();
    }

    /** Whether the last check saw changes that the watch has not delivered yet. */
    public boolean isBehindSource() {
        return expectedRevision > position.revision() || countDifferedAt != null;
    }

    /** Restores a list saved before this start. It has no position and is used until the source responds. */
    public ListDelta restore(List<ListItem> items) {
        return replaceAll(items, false);
    }

    /** Restores a list with its position, so that later changes can be applied to it: the platform's list. */
    public ListDelta restore(List<ListItem> items, ListPosition at) {
        position = at;
        return restore(items);
    }

    /**
     * Applies a complete list.
     *
     * @param at the source's position when the list was read
     * @param requestedAt this list's position when the complete list was requested, if the source never returns a list
     *     that is older than its position at that time; null if it may, so that an older list is merely stale
     * @param trusted whether the list is applied regardless of its position: the first response of another source
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
        return new ListUpdateResult(Outcome.APPLIED, delta, historyChanged ? "history changed" : "");
    }

    /** The reason for rejecting a complete list that is older than this one; null to apply it as a new history. */
    private ListUpdateResult rejectOlderList(ListPosition at, ListPosition requestedAt) {
        if (requestedAt == null) {
            return ListUpdateResult.of(Outcome.STALE, "older than the list");
        }
        if (!requestedAt.history().equals(at.history()) || at.revision() >= requestedAt.revision()) {
            laggingLists = 0;
            return ListUpdateResult.of(Outcome.SUPERSEDED, "newer changes were received since the request");
        }
        // A single older list may come from a lagging registry endpoint; consecutive ones mean that the registry was
        // restarted with older data.
        if (++laggingLists < READS_TO_ACCEPT_OLDER) {
            return ListUpdateResult.of(Outcome.LAGGING, describeOlder(at));
        }
        return null;
    }

    /** Applies changes up to a position. Each change that was already received is dropped. */
    public ListUpdateResult applyChanges(ListPosition to, List<ListItem> items) {
        ListUpdateResult mismatch = checkHistory(to);
        if (mismatch != null) {
            return mismatch;
        }
        if (relistRequired) {
            return ListUpdateResult.of(Outcome.RELIST_REQUIRED, "a complete list is required first");
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
     * Compares this list's position with that of the source, as reported when a watch opens or by any other response.
     */
    public ListUpdateResult checkPosition(ListPosition of) {
        ListUpdateResult mismatch = checkHistory(of);
        if (mismatch != null) {
            return mismatch;
        }
        if (of.revision() < position.revision()) {
            // A lagging cluster member, or a registry restarted with older data: a watch from this list's position
            // would deliver nothing until the source has reached it.
            return requireRelist(describeOlder(of));
        }
        return ListUpdateResult.of(Outcome.STALE, "");
    }

    /**
     * Compares this list with the source's state at the same position, before a watch resumes from there. Detects a
     * registry that was restored from older data and has since passed this position: its revisions continue, but the
     * changes in between differ.
     *
     * @param of the source's current position
     * @param resumeAt the position whose state the source was asked for
     * @param lastChanged the most recently changed keys at that position, the latest first, with their entries. A
     *     single one may be the same in two histories, for example an unreadable entry
     * @param count the number of keys at that position
     */
    public ListUpdateResult checkResume(
            ListPosition of, ListPosition resumeAt, List<ListItem> lastChanged, long count) {
        ListUpdateResult result = checkPosition(of);
        // The terms may differ: this response itself may have reported a new one.
        boolean samePosition =
                resumeAt.history().equals(position.history()) && resumeAt.revision() == position.revision();
        if (result.requiresRelist() || !samePosition) {
            return result;
        }
        return hadSameChanges(lastChanged, count)
                ? result
                : requireRelist("different history at revision " + resumeAt.revision());
    }

    private boolean hadSameChanges(List<ListItem> lastChanged, long count) {
        ListItem lastHere = index.lastChangeInEffect();
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
     * Checks the source's state while a watch is open. Detects a watch that stays open but delivers nothing: changes
     * that one check saw must have been delivered by the next check.
     *
     * @param of the source's position
     * @param requestedAt this list's position when the check was sent; the list may have advanced beyond the response
     *     since
     * @param newestRevision the newest revision of any key in the list, as far as the source reports it
     * @param count the number of keys in the list; -1 if the source does not report it
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

    /** Records that the source has compacted the changes that follow this list's position. */
    public void markCompacted() {
        relistRequired = true;
    }

    /** Checks that a position is in this list's history and adopts a newer term; returns null if it is. */
    private ListUpdateResult checkHistory(ListPosition of) {
        if (position.isKnown() && !of.history().equals(position.history())) {
            return requireRelist("history changed");
        }
        if (hasOlderTerm(of)) {
            return requireRelist("term " + of.term() + " is older than " + position.term());
        }
        if (of.term() > position.term()) {
            position = new ListPosition(position.history(), of.term(), position.revision());
        }
        return null;
    }

    /** Whether a position has an older term; false if the source did not report its term. */
    private boolean hasOlderTerm(ListPosition of) {
        return of.term() != 0 && of.term() < position.term();
    }

    private String describeOlder(ListPosition of) {
        return "revision " + of.revision() + " is older than " + position.revision();
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
