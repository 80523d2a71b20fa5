package magpiehub.discovery;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;

/**
 * Suppresses endpoints that flap, using route flap damping as described in RFC 2439. Each time an endpoint goes
 * away, 1 is added to its penalty, which decays by half every half-life. An endpoint whose penalty reaches the suppress
 * threshold is suppressed until the penalty has decayed below the reuse threshold.
 *
 * <p>A state machine without I/O and without a clock; an instance belongs to one thread.
 */
final class FlapDamper {
    /** The record of an endpoint is dropped once its penalty has decayed below this value. */
    private static final double MIN_PENALTY = 0.1;

    private static final class FlapRecord {
        /** The penalty at {@link #updatedAtMicros}, from which it decays. */
        double penalty;

        long updatedAtMicros;
        /** When the record is next due; other queue entries for it are obsolete. */
        long dueAtMicros;

        boolean suppressed;
    }

    private record Due(long atMicros, String id) {}

    private final MembershipDamping.Settings settings;
    private final Map<String, FlapRecord> records = new HashMap<>();
    private final PriorityQueue<Due> queue = new PriorityQueue<>(Comparator.comparingLong(Due::atMicros));
    private int suppressedCount;
    private long suppressedTotal;
    private long exemptedTotal;

    FlapDamper(MembershipDamping.Settings settings) {
        this.settings = settings;
    }

    /** The number of endpoints suppressed now. */
    int suppressedCount() {
        return suppressedCount;
    }

    /** The number of suppressions since the start. */
    long suppressedTotal() {
        return suppressedTotal;
    }

    /** How often an endpoint was not suppressed because too much of the fleet already was. */
    long exemptedTotal() {
        return exemptedTotal;
    }

    boolean isSuppressed(String id) {
        FlapRecord flap = records.get(id);
        return flap != null && flap.suppressed;
    }

    /** When {@link #releaseDue} is due next; {@link Long#MAX_VALUE} if never. */
    long nextDueMicros() {
        return queue.isEmpty() ? Long.MAX_VALUE : queue.peek().atMicros;
    }

    /** Records that a live endpoint went away; {@code fleetSize} includes that endpoint. */
    void recordDeparture(String id, int fleetSize, long nowMicros) {
        if (settings.halfLifeMicros() == 0) {
            return;
        }
        FlapRecord flap = records.get(id);
        if (flap == null) {
            flap = new FlapRecord();
            records.put(id, flap);
            schedule(id, flap, nowMicros + settings.halfLifeMicros());
        }
        flap.penalty = Math.min(maxPenalty(), decayedPenalty(flap, nowMicros) + 1);
        flap.updatedAtMicros = nowMicros;
        if (!flap.suppressed && flap.penalty >= settings.suppressThreshold()) {
            suppress(id, flap, fleetSize);
        }
    }

    private void suppress(String id, FlapRecord flap, int fleetSize) {
        if (suppressedCount + 1 > settings.maxSuppressedShare() * fleetSize) {
            exemptedTotal++;
            return;
        }
        flap.suppressed = true;
        suppressedCount++;
        suppressedTotal++;
        schedule(id, flap, decayedBelowMicros(flap, settings.reuseThreshold()));
    }

    /** Ends the suppressions that are due and returns the ids of the endpoints that may be used again. */
    List<String> releaseDue(long nowMicros) {
        List<String> released = new ArrayList<>();
        while (!queue.isEmpty() && queue.peek().atMicros <= nowMicros) {
            Due due = queue.poll();
            FlapRecord flap = records.get(due.id);
            if (flap == null || flap.dueAtMicros != due.atMicros) {
                continue;
            }
            double penalty = decayedPenalty(flap, nowMicros);
            if (flap.suppressed && penalty < settings.reuseThreshold()) {
                flap.suppressed = false;
                suppressedCount--;
                released.add(due.id);
            }
            if (penalty < MIN_PENALTY) {
                records.remove(due.id);
            } else {
                double next = flap.suppressed ? settings.reuseThreshold() : MIN_PENALTY;
                schedule(due.id, flap, decayedBelowMicros(flap, next));
            }
        }
        return released;
    }

    private void schedule(String id, FlapRecord flap, long atMicros) {
        flap.dueAtMicros = atMicros;
        queue.add(new Due(atMicros, id));
    }

    /** The penalty that decays to the reuse threshold within the maximum suppression time. */
    private double maxPenalty() {
        return settings.reuseThreshold()
                * Math.pow(2, (double) settings.maxSuppressionMicros() / settings.halfLifeMicros());
    }

    private double decayedPenalty(FlapRecord flap, long nowMicros) {
        return flap.penalty * Math.pow(0.5, (double) (nowMicros - flap.updatedAtMicros) / settings.halfLifeMicros());
    }

    /** When a penalty will have decayed below a threshold. */
    private long decayedBelowMicros(FlapRecord flap, double threshold) {
        double halfLives = Math.max(0, Math.log(flap.penalty / threshold) / Math.log(2));
        return flap.updatedAtMicros + 1 + (long) Math.ceil(settings.halfLifeMicros() * halfLives);
    }
}
