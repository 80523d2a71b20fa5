package magpiehub.discovery;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import magpiehub.config.EndpointEntry;
import magpiehub.routing.Endpoint;
import magpiehub.routing.EndpointState;

/**
 * What the fleet is taken to be, given what the registry says: it doubts whole lists that lose a large part
 * of the fleet at once, and engines that come and go. It is a plain state machine: changes of a {@link View}
 * go in, changes for the decision module come out. It owns the doubts. It must never delay a word that an
 * engine drains, or a change that says it is gone: new work to such an engine ends within 2 s of the word,
 * without exceptions, so that word is passed on in the same call.
 *
 * <p>Damping is route-flap damping as RFC 2439 describes it: each going away adds 1 to a penalty that halves
 * every {@code halfLife}; from {@code suppress} on an engine that returns is told as draining until the
 * penalty is below {@code reuse}.
 */
public final class Membership {
    /**
     * Times in microseconds.
     *
     * @param removalShare a whole list may remove this part of the fleet without a second read (0 to 1)
     * @param removalLeast and always this many engines
     * @param confirmWithin how soon a second read is to come; if it does not, it is asked for again, and the
     *     engines stay
     * @param halfLife the penalty's; 0 turns damping off
     * @param longest no engine is suppressed for longer after its last going away
     * @param dampedShare at most this part of the fleet is suppressed at once (0 to 1)
     */
    public record Options(
            double removalShare,
            int removalLeast,
            long confirmWithin,
            long halfLife,
            double suppress,
            double reuse,
            long longest,
            double dampedShare) {}

    private static final class Flap {
        double penalty;
        long at;
        /** When it is looked at next; other times queued for it are stale. */
        long due;

        boolean suppressed;
    }

    private record Due(long at, String id) {}

    private final Options options;
    /** The registry's word on each engine, with those held against a whole list. */
    private final Map<String, EndpointEntry> members = new HashMap<>();

    private final Set<String> held = new HashSet<>();
    private final Map<String, Flap> flaps = new HashMap<>();
    private final PriorityQueue<Due> dues = new PriorityQueue<>(java.util.Comparator.comparingLong(Due::at));
    private long confirmBy = Long.MAX_VALUE;
    private boolean asked;
    private int suppressed;
    private long doubts;
    private long damped;
    private long spared;

    public Membership(Options options) {
        this.options = options;
    }

    /** Engines held although the last whole list does not name them. */
    public Collection<String> held() {
        return held;
    }

    /** Engines told as draining because they come and go. */
    public int suppressed() {
        return suppressed;
    }

    /** Whole lists doubted, engines damped, and engines not damped for the share's sake, since the start. */
    public long[] figures() {
        return new long[] {doubts, damped, spared};
    }

    /** True once each time that a second read is due: the caller asks for a whole list now. */
    public boolean confirm() {
        boolean ask = asked;
        asked = false;
        return ask;
    }

    /** When {@link #due} wants to be called next; {@link Long#MAX_VALUE} if never. */
    public long next() {
        return Math.min(confirmBy, dues.isEmpty() ? Long.MAX_VALUE : dues.peek().at);
    }

    /** All engines as they are to be told. */
    public List<EndpointEntry> all() {
        List<EndpointEntry> all = new ArrayList<>(members.size());
        members.values().forEach(e -> all.add(told(e)));
        return all;
    }

    /**
     * Takes the view's changes over.
     *
     * @return what the module is to be told; engines that are gone are DEAD
     */
    public List<EndpointEntry> apply(View.Delta d, long now) {
        Map<String, EndpointEntry> out = new LinkedHashMap<>();
        for (EndpointEntry e : d.put()) {
            held.remove(e.endpoint().id());
            place(e, now, out);
        }
        boolean doubt = d.whole()
                && d.gone().size() > options.removalLeast
                && d.gone().size() > options.removalShare * members.size();
        for (String id : d.gone()) {
            if (doubt) {
                held.add(id);
            } else {
                drop(id, now, out);
            }
        }
        if (doubt) {
            doubts++;
            asked = true;
            confirmBy = now + options.confirmWithin;
        }
        if (held.isEmpty()) {
            confirmBy = Long.MAX_VALUE;
        }
        return new ArrayList<>(out.values());
    }

    /**
     * A whole list that was asked for after the doubt arose, whether or not it was the newest word.
     *
     * @param ids the engines that it names
     */
    public List<EndpointEntry> confirmed(Set<String> ids, long now) {
        Map<String, EndpointEntry> out = new LinkedHashMap<>();
        for (String id : List.copyOf(held)) {
            if (!ids.contains(id)) {
                held.remove(id);
                drop(id, now, out);
            }
        }
        if (held.isEmpty()) {
            confirmBy = Long.MAX_VALUE;
        }
        return new ArrayList<>(out.values());
    }

    /** What has come due: second reads to ask for again, and engines that may return. */
    public List<EndpointEntry> due(long now) {
        if (confirmBy <= now) {
            asked = true;
            confirmBy = now + options.confirmWithin;
        }
        Map<String, EndpointEntry> out = new LinkedHashMap<>();
        while (!dues.isEmpty() && dues.peek().at <= now) {
            Due d = dues.poll();
            String id = d.id;
            Flap f = flaps.get(id);
            if (f == null || f.due != d.at) {
                continue;
            }
            double p = decayed(f, now);
            if (f.suppressed && p < options.reuse) {
                f.suppressed = false;
                suppressed--;
                EndpointEntry e = members.get(id);
                if (e != null) {
                    out.put(id, e);
                }
            }
            if (p < 0.1) {
                flaps.remove(id);
            } else {
                schedule(id, f, f.suppressed ? below(f, options.reuse) : below(f, 0.1));
            }
        }
        return new ArrayList<>(out.values());
    }

    private void place(EndpointEntry e, long now, Map<String, EndpointEntry> out) {
        String id = e.endpoint().id();
        if (e.endpoint().state() == EndpointState.DEAD) {
            drop(id, now, out);
            return;
        }
        EndpointEntry old = members.put(id, e);
        if (old != null
                && old.endpoint().state() == EndpointState.LIVE
                && e.endpoint().state() != EndpointState.LIVE) {
            wentAway(id, now);
        }
        out.put(id, told(e));
    }

    private void drop(String id, long now, Map<String, EndpointEntry> out) {
        EndpointEntry old = members.remove(id);
        if (old == null) {
            return;
        }
        if (old.endpoint().state() == EndpointState.LIVE) {
            wentAway(id, now);
        }
        out.put(id, with(old, EndpointState.DEAD));
    }

    private EndpointEntry told(EndpointEntry e) {
        Flap f = flaps.get(e.endpoint().id());
        return f != null && f.suppressed && e.endpoint().state() == EndpointState.LIVE
                ? with(e, EndpointState.DRAINING)
                : e;
    }

    private static EndpointEntry with(EndpointEntry e, EndpointState state) {
        Endpoint s = e.endpoint();
        return new EndpointEntry(
                new Endpoint(s.id(), s.zone(), s.kind(), s.cell(), state, s.weight(), s.onlineSince()), e.address());
    }

    // ---- Damping --------------------------------------------------------------------------------------
    private void wentAway(String id, long now) {
        if (options.halfLife == 0) {
            return;
        }
        Flap f = flaps.get(id);
        if (f == null) {
            f = new Flap();
            flaps.put(id, f);
            schedule(id, f, now + options.halfLife);
        }
        // Guards against a penalty that keeps an engine out longer than the longest time.
        double most = options.reuse * Math.pow(2, (double) options.longest / options.halfLife);
        f.penalty = Math.min(most, decayed(f, now) + 1);
        f.at = now;
        if (!f.suppressed && f.penalty >= options.suppress) {
            if (suppressed + 1 > options.dampedShare * (members.size() + 1)) {
                spared++;
                return;
            }
            f.suppressed = true;
            suppressed++;
            damped++;
            schedule(id, f, below(f, options.reuse));
        }
    }

    private void schedule(String id, Flap f, long at) {
        f.due = at;
        dues.add(new Due(at, id));
    }

    private double decayed(Flap f, long now) {
        return f.penalty * Math.pow(0.5, (double) (now - f.at) / options.halfLife);
    }

    /** When a penalty will have fallen below a limit (us). */
    private long below(Flap f, double limit) {
        return f.at + 1 + (long) Math.ceil(options.halfLife * Math.max(0, Math.log(f.penalty / limit) / Math.log(2)));
    }
}
