package magpiehub.discovery;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import magpiehub.config.EndpointEntry;
import magpiehub.routing.Endpoint;
import magpiehub.routing.EndpointState;

/**
 * Decides which of a registry's changes are passed on. A complete list that removes much of the fleet at once
 * is doubted until a second read confirms it, and an endpoint that flaps is reported as draining while {@link
 * FlapDamper} suppresses it. {@link ListDelta}s go in, changes for the dispatcher come out.
 *
 * <p>A change that says that an endpoint drains or is gone is never delayed: new requests to such an endpoint
 * must end within 2 s.
 *
 * <p>A state machine without I/O and without a clock; an instance belongs to one thread.
 */
public final class MembershipDamping {
    /**
     * The thresholds.
     *
     * @param removalShare a complete list may remove this part of the fleet without a second read (0 to 1)
     * @param removalMin and always this many endpoints
     * @param confirmWithinMicros how soon a second read is to come; if it does not, it is requested again and
     *     the endpoints stay
     * @param halfLifeMicros the half-life of a flap's penalty; 0 turns damping off
     * @param suppressThreshold the penalty from which on an endpoint is suppressed
     * @param reuseThreshold the penalty below which it is used again
     * @param maxSuppressionMicros no endpoint is suppressed for longer after it last went away
     * @param maxDampedShare at most this part of the fleet is suppressed at once (0 to 1)
     */
    public record Settings(
            double removalShare,
            int removalMin,
            long confirmWithinMicros,
            long halfLifeMicros,
            double suppressThreshold,
            double reuseThreshold,
            long maxSuppressionMicros,
            double maxDampedShare) {}

    /**
     * Counts since the start.
     *
     * @param confirmationsRequired complete lists whose removals needed a second read
     * @param suppressed endpoints suppressed
     * @param exempted endpoints not suppressed because too much of the fleet was already
     */
    public record Statistics(long confirmationsRequired, long suppressed, long exempted) {}

    private final Settings settings;
    /** Each endpoint as the registry listed it last, with those held although a list does not name them. */
    private final Map<String, EndpointEntry> members = new HashMap<>();

    private final Set<String> heldIds = new HashSet<>();
    private final FlapDamper flaps;
    private long confirmByMicros = Long.MAX_VALUE;
    private boolean confirmationRequested;
    private long doubtedLists;

    /** Damping with these thresholds, over no endpoints yet. */
    public MembershipDamping(Settings settings) {
        this.settings = settings;
        this.flaps = new FlapDamper(settings);
    }

    /** Endpoints held although the last complete list does not name them. */
    public Collection<String> heldIds() {
        return heldIds;
    }

    /** Endpoints reported as draining because they flap. */
    public int suppressedCount() {
        return flaps.suppressedCount();
    }

    /** The counts so far. */
    public Statistics statistics() {
        return new Statistics(doubtedLists, flaps.dampedTotal(), flaps.sparedTotal());
    }

    /** Whether a second read is to be made now; true once for each request. */
    public boolean takeConfirmationRequest() {
        boolean requested = confirmationRequested;
        confirmationRequested = false;
        return requested;
    }

    /** When {@link #onTimer} is due next; {@link Long#MAX_VALUE} if never. */
    public long nextTimerMicros() {
        return Math.min(confirmByMicros, flaps.nextDueMicros());
    }

    /** All endpoints as they are to be reported. */
    public List<EndpointEntry> entries() {
        List<EndpointEntry> entries = new ArrayList<>(members.size());
        members.values().forEach(entry -> entries.add(reported(entry)));
        return entries;
    }

    /**
     * Applies changes to the list.
     *
     * @return the changes to report; endpoints that are gone are {@link EndpointState#DEAD}
     */
    public List<EndpointEntry> apply(ListDelta delta, long nowMicros) {
        Map<String, EndpointEntry> changes = new LinkedHashMap<>();
        for (EndpointEntry entry : delta.put()) {
            heldIds.remove(entry.endpoint().id());
            put(entry, nowMicros, changes);
        }
        boolean doubted = isDoubtful(delta);
        for (String id : delta.removed()) {
            if (doubted) {
                heldIds.add(id);
            } else {
                remove(id, nowMicros, changes);
            }
        }
        if (doubted) {
            doubtedLists++;
            requestConfirmation(nowMicros);
        }
        forgetDeadlineIfNothingIsHeld();
        return new ArrayList<>(changes.values());
    }

    /**
     * Applies a complete list that was requested after the doubt arose, whether or not it was the newest one.
     *
     * @param listedIds the endpoints that it names
     * @return the changes to report
     */
    public List<EndpointEntry> applyConfirmation(Set<String> listedIds, long nowMicros) {
        Map<String, EndpointEntry> changes = new LinkedHashMap<>();
        for (String id : List.copyOf(heldIds)) {
            if (!listedIds.contains(id)) {
                heldIds.remove(id);
                remove(id, nowMicros, changes);
            }
        }
        forgetDeadlineIfNothingIsHeld();
        return new ArrayList<>(changes.values());
    }

    /** Requests a second read again if it is overdue, and returns endpoints that need no damping any more. */
    public List<EndpointEntry> onTimer(long nowMicros) {
        if (confirmByMicros <= nowMicros) {
            requestConfirmation(nowMicros);
        }
        List<EndpointEntry> changes = new ArrayList<>();
        for (String id : flaps.releaseDue(nowMicros)) {
            EndpointEntry entry = members.get(id);
            if (entry != null) {
                changes.add(entry);
            }
        }
        return changes;
    }

    /** Whether a complete list removes so much that it needs a second read. */
    private boolean isDoubtful(ListDelta delta) {
        int removed = delta.removed().size();
        return delta.complete() && removed > settings.removalMin && removed > settings.removalShare * members.size();
    }

    private void requestConfirmation(long nowMicros) {
        confirmationRequested = true;
        confirmByMicros = nowMicros + settings.confirmWithinMicros;
    }

    private void forgetDeadlineIfNothingIsHeld() {
        if (heldIds.isEmpty()) {
            confirmByMicros = Long.MAX_VALUE;
        }
    }

    private void put(EndpointEntry entry, long nowMicros, Map<String, EndpointEntry> changes) {
        String id = entry.endpoint().id();
        if (entry.endpoint().state() == EndpointState.DEAD) {
            remove(id, nowMicros, changes);
            return;
        }
        EndpointEntry old = members.put(id, entry);
        if (old != null && isLive(old) && !isLive(entry)) {
            recordDeparture(id, nowMicros);
        }
        changes.put(id, reported(entry));
    }

    private void remove(String id, long nowMicros, Map<String, EndpointEntry> changes) {
        EndpointEntry old = members.remove(id);
        if (old == null) {
            return;
        }
        if (isLive(old)) {
            recordDeparture(id, nowMicros);
        }
        changes.put(id, withState(old, EndpointState.DEAD));
    }

    private void recordDeparture(String id, long nowMicros) {
        flaps.recordDeparture(id, members.size() + 1, nowMicros);
    }

    private EndpointEntry reported(EndpointEntry entry) {
        return isLive(entry) && flaps.isSuppressed(entry.endpoint().id())
                ? withState(entry, EndpointState.DRAINING)
                : entry;
    }

    private static boolean isLive(EndpointEntry entry) {
        return entry.endpoint().state() == EndpointState.LIVE;
    }

    private static EndpointEntry withState(EndpointEntry entry, EndpointState state) {
        Endpoint old = entry.endpoint();
        Endpoint changed =
                new Endpoint(old.id(), old.zone(), old.machineType(), old.cell(), state, old.weight(), old.startedAt());
        return new EndpointEntry(changed, entry.address());
    }
}
