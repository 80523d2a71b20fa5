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
 * Decides which of a registry's changes are published. If a complete list removes a large share of the fleet at once,
 * the removed endpoints are held until a second read confirms the removal. An endpoint that flaps is reported as
 * draining while {@link FlapDamper} suppresses it. The input is {@link ListDelta}s, the output changes for the
 * dispatcher.
 *
 * <p>A change that reports an endpoint as draining or gone is never delayed, because new requests to such an endpoint
 * must stop within 2 s.
 *
 * <p>A state machine without I/O and without a clock; an instance belongs to one thread.
 */
public final class MembershipDamping {
    /**
     * The thresholds.
     *
     * @param maxUnconfirmedShare the share (0 to 1) of the fleet that a complete list may remove without a second read
     * @param maxUnconfirmedCount the number of endpoints that a complete list may always remove without a second read
     * @param confirmWithinMicros the time limit for a second read, after which it is requested again while the
     *     endpoints stay
     * @param halfLifeMicros the half-life of the flap penalty; 0 disables damping
     * @param suppressThreshold the penalty at which an endpoint is suppressed
     * @param reuseThreshold the penalty below which it is used again
     * @param maxSuppressionMicros the maximum time that an endpoint is suppressed after it last went away
     * @param maxSuppressedShare the maximum share of the fleet that is suppressed at once (0 to 1)
     */
    public record Settings(
            double maxUnconfirmedShare,
            int maxUnconfirmedCount,
            long confirmWithinMicros,
            long halfLifeMicros,
            double suppressThreshold,
            double reuseThreshold,
            long maxSuppressionMicros,
            double maxSuppressedShare) {}

    /**
     * Counters since the start.
     *
     * @param confirmationsRequired complete lists whose removals needed a second read
     * @param suppressed endpoints suppressed
     * @param exempted endpoints not suppressed because too much of the fleet was already
     */
    public record Statistics(long confirmationsRequired, long suppressed, long exempted) {}

    private final Settings settings;
    /** The entry of each endpoint as last listed by the registry, including held endpoints. */
    private final Map<String, EndpointEntry> members = new HashMap<>();

    private final Set<String> heldIds = new HashSet<>();
    private final FlapDamper flapDamper;
    private long confirmByMicros = Long.MAX_VALUE;
    private boolean confirmationRequested;
    private long confirmationsRequired;

    /** Creates the damping of an empty fleet with these thresholds. */
    public MembershipDamping(Settings settings) {
        this.settings = settings;
        this.flapDamper = new FlapDamper(settings);
    }

    /** The ids of endpoints that are held although the last complete list does not contain them. */
    public Collection<String> heldIds() {
        return heldIds;
    }

    /** The number of endpoints reported as draining because they flap. */
    public int suppressedCount() {
        return flapDamper.suppressedCount();
    }

    /** The counters since the start. */
    public Statistics statistics() {
        return new Statistics(confirmationsRequired, flapDamper.suppressedTotal(), flapDamper.exemptedTotal());
    }

    /** Whether a second read must be made now; returns true once per request. */
    public boolean takeConfirmationRequest() {
        boolean requested = confirmationRequested;
        confirmationRequested = false;
        return requested;
    }

    /** When {@link #onTimer} is due next; {@link Long#MAX_VALUE} if never. */
    public long nextTimerMicros() {
        return Math.min(confirmByMicros, flapDamper.nextDueMicros());
    }

    /** All endpoints as reported to the dispatcher. */
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
        boolean unconfirmed = requiresConfirmation(delta);
        for (String id : delta.removed()) {
            if (unconfirmed) {
                heldIds.add(id);
            } else {
                remove(id, nowMicros, changes);
            }
        }
        if (unconfirmed) {
            confirmationsRequired++;
            requestConfirmation(nowMicros);
        }
        clearDeadlineIfNothingIsHeld();
        return new ArrayList<>(changes.values());
    }

    /**
     * Applies a complete list that was requested after removals were held, whether or not it was the newest one.
     *
     * @param listedIds the ids of the endpoints in that list
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
        clearDeadlineIfNothingIsHeld();
        return new ArrayList<>(changes.values());
    }

    /** Requests a second read again if it is overdue, and returns the endpoints whose suppression has ended. */
    public List<EndpointEntry> onTimer(long nowMicros) {
        if (confirmByMicros <= nowMicros) {
            requestConfirmation(nowMicros);
        }
        List<EndpointEntry> changes = new ArrayList<>();
        for (String id : flapDamper.releaseDue(nowMicros)) {
            EndpointEntry entry = members.get(id);
            if (entry != null) {
                changes.add(entry);
            }
        }
        return changes;
    }

    /** Whether a complete list removes so many endpoints that a second read must confirm it. */
    private boolean requiresConfirmation(ListDelta delta) {
        int removed = delta.removed().size();
        return delta.complete()
                && removed > settings.maxUnconfirmedCount
                && removed > settings.maxUnconfirmedShare * members.size();
    }

    private void requestConfirmation(long nowMicros) {
        confirmationRequested = true;
        confirmByMicros = nowMicros + settings.confirmWithinMicros;
    }

    private void clearDeadlineIfNothingIsHeld() {
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
        flapDamper.recordDeparture(id, members.size() + 1, nowMicros);
    }

    private EndpointEntry reported(EndpointEntry entry) {
        return isLive(entry) && flapDamper.isSuppressed(entry.endpoint().id())
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
