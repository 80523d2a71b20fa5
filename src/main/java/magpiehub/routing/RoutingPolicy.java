package magpiehub.routing;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import magpiehub.routing.State.*;

/**
 * The decision module, one per node. What it deals in, its types, events and actions, is in the package comment.
 *
 * <p>The ordinary path: a request comes in ({@link #request}) and is admitted. Its key, the shared prefix's
 * id or else the session's, is looked up in the prefix table ({@link #place}). A known key goes to its deque
 * of warm replicas, in rotation. A new key takes the next ready replica under capacity, round-robin from a
 * place on the ring that its id gives, so that all nodes begin at the same place. The outcome
 * ({@link #outcome}) confirms the mapping; the least recently used mappings age out. Everything else in here
 * is an exception to that path and says at its place what it guards against; docs/design.md lists them.
 * No clock but the events', no randomness but the seed's, nothing shared with other nodes.
 */
public final class RoutingPolicy implements RoutingEvents {
    // ---- Settings: each with its unit and reason --------------------------------------------------------
    /** Replicas in one deque at most; a prefix that needs more is spread by session over the whole ring. */
    private static final int MOST_WARM = 8;
    /** A deque gets this many times the replicas that its prefix's share of the traffic would fill. */
    private static final double SPREAD = 4;
    /** Requests seen before shares of traffic are believed; until then keys are spread by session. */
    private static final double ENOUGH_SEEN = 30;
    /** Requests of one session within the time constant of shares from which it is a hot key. */
    private static final double HOT_SESSION = 5;
    /** Warm keys that one replica holds, for all nodes together; each node counts its part, but not fewer. */
    private static final int WARM_KEYS = 512;

    private static final int LEAST_KEYS = 16;
    /** Mappings kept at most (memory), and how long an unused one is believed warm (us). */
    private static final int MOST_MAPPINGS = 20_000;

    private static final long MAPPING_IDLE = 30_000_000;
    /** Replicas that a node keeps to where connections have a price. */
    private static final int CONNECTED = 6;
    /** Replicas looked at beyond the deque before the request settles for a busy one. */
    private static final int WALK = 6;
    /** A replica is passed over while it holds more than so many times the mean of this node's requests, and
     *  so many more: work piles up where a replica is slow, whatever makes it slow. */
    private static final double HEAPED = 2;

    private static final double HEAPED_MORE = 1.5;
    /** A replica is passed over while a request of this node has waited there for so long (us) without a
     *  first token: some five times what one takes that finds its tokens. */
    private static final long WAITS = 400_000;
    /** Part of a prefix's tokens below which it was not kept, and the least gap of drops for it (us). */
    private static final double FEW_KEPT = 0.5;

    private static final long MISS_GAP = 1_000_000;
    /** Weight of the newest answer in the part of tokens found kept: twenty answers tell of a release. */
    private static final double KEPT_WEIGHT = 0.05;
    /** Period of the node's one timer (us): finer than any time-out it serves. */
    private static final long SWEEP = 50_000;
    /** Time constant of traffic shares (us): a few sessions long. */
    private static final double SHARE_TAU = 20_000_000;
    /** A first token later than this many times the class's mean is a sign of a slow replica. */
    private static final double SLOW_RATIO = 4;
    /** Ejections: first length, longest (us), and the part of the fleet that may be out at once. */
    private static final long EJECT_FIRST = 2_000_000;

    private static final long EJECT_MOST = 16_000_000;
    private static final double MOST_EJECTED = 0.34;
    /** Broken attempts that eject; they count less with time (us) and with each answer served. */
    private static final double BREAKS = 1.5;

    private static final double BREAK_TAU = 4_000_000;
    private static final double BREAK_SERVED = 0.8;
    /** An answer that can't be read may come from any replica, and shows that this one is there. */
    private static final double SPOILT_COUNTS = 0.5;
    /** How long a replica that said 'full' is passed over (us), before jitter. */
    private static final long FULL_PAUSE = 300_000;
    /** Retry budget: earned per request, most saved, and the cost of an error that came at once. */
    private static final double RETRY_EARN = 0.15;

    private static final double RETRY_SAVED = 10;
    private static final double QUICK_ERROR = 0.25;
    /** Attempts for one request at most, whatever the site allows. */
    private static final int MOST_TRIES = 4;
    /** The golden section: its multiples, modulo 1, lie as far apart as any. */
    private static final double GOLDEN = 0.6180339887;
    /** Health check period (us) for a replica unheard of that long, over all nodes together. */
    private static final long CHECK_PERIOD = 10_000_000;
    /** Part of the keys that stay in the own zone where crossing has a price: the most, its steps up and
     *  down, and the ratios of first-token times, own to other zones, that move it. */
    private static final double STAY_MOST = 0.95;

    private static final double STAY_UP = 0.03;
    private static final double STAY_DOWN = 0.06;
    private static final double STAY_UP_BELOW = 1.1;
    private static final double STAY_DOWN_ABOVE = 1.3;
    /** Overload control: period (us), part of bad answers that begins it, and its steps up and down. */
    private static final long CONTROL = 500_000;

    private static final double SHED_AT = 0.3;
    /** Part of bad answers from which the fleet counts as short. */
    private static final double STRAINED_AT = 0.15;

    private static final double SHED_UP = 0.1;
    private static final double SHED_DOWN = 0.05;
    private static final double SHED_MOST = 0.8;
    /** A node that has sent nothing for so long (us) refuses nothing: answers alone tell of the end. */
    private static final long SHED_LONGEST = 2_000_000;

    // ---- State ------------------------------------------------------------------------------------------
    static final long NEVER = Long.MIN_VALUE;
    private RoutingSettings s;
    private final RoutingActions out;
    private long seed;
    private long now;

    private final Map<String, Replica> replicas = new HashMap<>();
    private final List<Replica> fleet = new ArrayList<>();
    private Ring own = new Ring(List.of());
    private Ring wide = new Ring(List.of());
    private Ring all = new Ring(List.of());
    private double stay;
    private double stayMost;
    private double ownPace = 1;
    private double otherPace = 1;
    private int readyCount;
    private int ejectedCount;
    private int inflight;
    private final EndpointPollSchedule asking;
    private final Table mappings = new Table(MOST_WARM, MOST_MAPPINGS, MAPPING_IDLE);
    private long lastMiss;
    private long rotation;
    /** This node's requests, decayed over {@link #SHARE_TAU}. */
    private double seen;

    private long seenAt;
    private double sent;
    private long sentAt;
    private final Map<String, Held> held = new HashMap<>();
    private double retryBudget = RETRY_SAVED;
    // Per class, over all replicas: mean time to the first token and mean whole time (us).
    private double meanService;
    private double[] meanFirst = {};
    private double[] meanWhole = {};
    private final ZoneHealth zones;
    private int zoneCount;
    private boolean[] shutZones = new boolean[0];
    /** The place of the request in hand in its zones' work, 0 to 1: the same for a whole conversation. */
    private double standing;

    private long lastCheck;
    private int checkCursor;
    // Overload control; two places for each class, within and over the tenant's share.
    private double[] arrivals = {};
    private double[] shedPart = {};
    private double good;
    private double bad;
    private double shed;
    /** Part of the prompts' tokens found kept, over all replicas; the mean until it is decayed. */
    private double keptPart = 1;

    private int keptSeen = 1;
    private long lastControl;
    private double[] allowance = {};
    private long allowanceAt;
    private final long startedAt;
    /** Replicas that are ready, each by its warmth, and when that was summed. */
    private double warm;
    /** The same as a mean over {@link #SHARE_TAU}, as the work is that this node's traffic is taken from. */
    private double usual;

    private long warmAt = NEVER / 2;

    /** A node that has just started and knows nothing. */
    public RoutingPolicy(RoutingSettings settings, long seed, RoutingActions actions, long now) {
        this(settings, seed, actions, now, new ConnectFailureZoneHealth());
    }

    /** The same with what is known of zones. */
    public RoutingPolicy(RoutingSettings settings, long seed, RoutingActions actions, long now, ZoneHealth zones) {
        this.s = settings;
        this.out = actions;
        this.seed = seed;
        this.now = now;
        this.zones = zones;
        sized();
        stay = s.costs().crossZone() > 0 && s.zoneCount() > 1 ? 0.5 : 0;
        allowanceAt = now;
        startedAt = now;
        seenAt = now;
        sentAt = now;
        lastControl = now;
        lastCheck = now;
        lastMiss = now;
        // Discovery serves callers in turn: first calls spread out.
        asking = new EndpointPollSchedule(
                now + (long) (random() * Math.min(s.guarantees().pollWithin() / 2, 250_000L * s.instanceCount())));
        out.setTimer(now + SWEEP, 1);
    }

    private double random() {
        seed += 0x9e3779b97f4a7c15L;
        return (mix(seed) >>> 11) * 0x1.0p-53;
    }

    static long mix(long z) {
        long x = (z ^ (z >>> 30)) * 0xbf58476d1ce4e5b9L;
        x = (x ^ (x >>> 27)) * 0x94d049bb133111ebL;
        return x ^ (x >>> 31);
    }

    /** A clock that steps back is read as standing still. */
    private void at(long time) {
        now = Math.max(now, time);
    }

    @Override
    public void onSettings(long time, RoutingSettings settings) {
        at(time);
        s = settings;
        sized();
        rebuild();
    }

    /** Room for what the settings name; what has a place keeps it. */
    private void sized() {
        int n = Math.max(1, s.classes().size());
        meanFirst = Arrays.copyOf(meanFirst, n);
        meanWhole = Arrays.copyOf(meanWhole, n);
        arrivals = Arrays.copyOf(arrivals, 2 * n);
        shedPart = Arrays.copyOf(shedPart, 2 * n);
        allowance = Arrays.copyOf(allowance, s.tenants().size());
        zoneCount = Math.max(Math.max(1, zoneCount), s.zoneCount());
        zones.setZoneCount(zoneCount);
        shutZones = Arrays.copyOf(shutZones, zoneCount);
    }

    // ---- Fleet list -------------------------------------------------------------------------------------
    @Override
    public void onEndpoints(long time, EndpointListKind kind, List<Endpoint> servers) {
        at(time);
        if (kind == EndpointListKind.ERROR) {
            asking.failed(now, s.guarantees().pollWithin(), random());
            return;
        }
        if (kind != EndpointListKind.SAVED) {
            asking.told();
        }
        boolean changed = false;
        if (kind != EndpointListKind.CHANGES) {
            Set<String> listed = new HashSet<>();
            servers.forEach(e -> listed.add(e.id()));
            for (Replica r : fleet) {
                if (!listed.contains(r.id)) {
                    changed |= r.ready;
                    leave(r);
                    replicas.remove(r.id);
                }
            }
            fleet.removeIf(r -> !listed.contains(r.id));
        }
        for (Endpoint e : servers) {
            Replica r = replicas.get(e.id());
            if (r == null) {
                r = new Replica(e.id());
                replicas.put(e.id(), r);
                fleet.add(r);
            }
            boolean restarted = r.entry == null || e.onlineSince() > r.entry.onlineSince();
            // A live weight falls with the load: the most seen is the replica's size.
            double size = s.weightMeaning() == WeightMeaning.NONE
                    ? 1
                    : s.weightMeaning() == WeightMeaning.LIVE ? Math.max(r.size, e.weight()) : e.weight();
            boolean live = e.state() == EndpointState.LIVE;
            boolean resized = Math.abs(size - r.size) > 0.1 * r.size;
            changed |= r.entry == null || r.entry.zone() != e.zone() || r.ready != live || resized;
            r.size = resized ? size : r.size;
            r.entry = e;
            if (restarted && e.onlineSince() > 0) {
                release(r);
                startCold(r, e.onlineSince());
            }
            if (live) {
                r.ready = true;
            } else {
                leave(r);
            }
            if (e.state() == EndpointState.DEAD) {
                // A new engine has a new id: what has gone would be held, and walked over, for good.
                replicas.remove(r.id);
                fleet.remove(r);
                changed = true;
            }
        }
        if (changed) {
            rebuild();
        }
    }

    /** Replicas remembered. */
    int known() {
        return fleet.size();
    }

    /** A draining or missing replica gets nothing new from this moment; deques drop it when they meet it. */
    private void leave(Replica r) {
        r.ready = false;
        release(r);
    }

    private void rebuild() {
        fleet.sort((a, b) -> a.hash != b.hash ? Long.compare(a.hash, b.hash) : a.id.compareTo(b.id));
        List<Replica> ready = new ArrayList<>();
        List<Replica> near = new ArrayList<>();
        int[] inZone = new int[zoneCount];
        double sum = 0;
        for (Replica r : fleet) {
            sum += r.size;
        }
        for (Replica r : fleet) {
            r.part = sum <= 0 ? 1 : Math.max(0.2, Math.min(4, r.size * fleet.size() / sum));
            if (r.ready) {
                ready.add(r);
                inZone[zone(r.entry.zone())]++;
                if (r.entry.zone() == s.ownZone()) {
                    near.add(r);
                }
            }
        }
        readyCount = ready.size();
        for (int z = 0; z < zoneCount; z++) {
            zones.setReplicaCount(now, z, inZone[z]);
        }
        warmAt = NEVER / 2;
        // A zone with few replicas keeps fewer keys; what others spill lands there too.
        double mean = 0;
        for (int n : inZone) {
            mean += Math.min(1, (double) n / Math.max(1, readyCount) * inZone.length);
        }
        mean /= inZone.length;
        stayMost = Math.min(STAY_MOST, mean * near.size() * inZone.length / Math.max(1, readyCount));
        stay = Math.min(stay, stayMost);
        all = new Ring(ready);
        wide = priced() ? new Ring(subset(ready, s.instanceIndex())) : all;
        own = near.isEmpty() ? wide : new Ring(priced() ? subset(near, s.instanceIndex() / inZone.length) : near);
    }

    private boolean priced() {
        return s.costs().connection() + s.costs().handshake() > 0;
    }

    /** Where connections have a price a node keeps to a few replicas. Its number picks them from a shuffle
     *  that a round of nodes shares, so that each replica belongs to as many nodes as the next. */
    private List<Replica> subset(List<Replica> from, int index) {
        int slices = Math.max(1, from.size() / CONNECTED);
        long round = mix(index / slices + 1);
        List<Replica> shuffled = new ArrayList<>(from);
        shuffled.sort((a, b) -> Long.compare(mix(a.hash ^ round), mix(b.hash ^ round)));
        int at = index % slices * CONNECTED;
        return shuffled.subList(at, slices == 1 ? from.size() : at + CONNECTED);
    }

    // ---- Prefix table -----------------------------------------------------------------------------------
    /** Replicas that a prefix's part of this node's traffic would keep warm. */
    private double need(Mapping m) {
        m.demand = m.demand * Math.exp((m.demandAt - now) / SHARE_TAU) + 1;
        m.demandAt = now;
        return seen < ENOUGH_SEEN ? Double.MAX_VALUE : SPREAD * m.demand / seen * readyCount;
    }

    // ---- Requests: admission, then the ordinary path ----------------------------------------------------
    @Override
    public void onRequest(long time, RoutingRequest r) {
        at(time);
        if (held.containsKey(r.id())) {
            return;
        }
        Held h = new Held(r, s.limits(), now);
        held.put(r.id(), h);
        seen = seen * Math.exp((seenAt - now) / SHARE_TAU) + 1;
        seenAt = now;
        retryBudget = Math.min(RETRY_SAVED, retryBudget + RETRY_EARN);
        // What came too late is no sign of overload, and no engine is asked for it.
        if (r.classIndex() < 0 || r.classIndex() >= s.classes().size() || r.deadline() <= now || !admit(r)) {
            turnAway(h);
        } else {
            place(h);
        }
    }

    /** Where crossing zones has a price, the part {@link #stay} of the keys goes round the own zone. */
    private Ring ringFor(Mapping m) {
        return stay > 0 && (mix(m == null ? rotation : m.place()) >>> 11) * 0x1.0p-53 < stay ? own : wide;
    }

    private int width(double need, Mapping m) {
        double part = (double) ringFor(m).replicas / Math.max(1, readyCount);
        return (int) Math.max(1, Math.min(Math.min(MOST_WARM, ringFor(m).replicas), Math.ceil(need * part)));
    }

    private void place(Held h) {
        RoutingRequest r = h.r;
        Mapping m = null;
        int most = 1;
        if (r.prefixId() != 0) {
            m = mappings.row(r.prefixId(), false, now);
            double need = need(m);
            most = width(need, m);
            if (need > MOST_WARM && r.sessionId() != 0) {
                // A prefix too heavy for a deque is warm everywhere; the session's own tokens decide.
                m = null;
                most = 1;
            }
        }
        if (m == null && r.sessionId() != 0) {
            m = mappings.row(r.sessionId(), true, now);
            double need = need(m);
            // No conversation comes this often: a hot key, which would drown the one replica it lives on.
            if (m.demand > HOT_SESSION) {
                most = width(need, m);
            }
        }
        h.mapping = m;
        sendOrTurnAway(h, choose(h, most));
    }

    private void sendOrTurnAway(Held h, Replica to) {
        if (to != null) {
            send(h, to);
        } else {
            turnAway(h);
        }
    }

    /** The deque, then the ring from the key's place, then a busy replica of the deque, then pressure. */
    private Replica choose(Held h, int most) {
        Mapping m = h.mapping;
        Replica busy = null;
        long same = h.r.sessionId() != 0 ? h.r.sessionId() : h.r.id().hashCode();
        standing = (mix(same ^ 0x51ab3c7d90e2f614L) >>> 11) * 0x1.0p-53;
        Replica tried = trial(h);
        if (tried != null) {
            return tried;
        }
        for (int i = m == null ? -1 : m.size - 1; i >= 0; i--) {
            if (!m.deque[i].ready || i >= most) {
                m.drop(i);
            }
        }
        boolean known = m != null && m.size >= most;
        if (known || (m != null && m.size > 0 && !h.attempts.isEmpty())) {
            // A session enters the deque at its own place, so that its next turn finds its tokens there.
            boolean rotate = m.session || h.r.sessionId() == 0;
            int start = 0;
            for (int i = 1; i < m.size && !rotate; i++) {
                start = rank(h, m.deque[i]) > rank(h, m.deque[start]) ? i : start;
            }
            for (int k = 0; k < m.size; k++) {
                int i = (start + k) % m.size;
                Replica c = m.deque[i];
                if (allowed(h, c) && open(c)) {
                    if (rotate) {
                        System.arraycopy(m.deque, i + 1, m.deque, i, m.size - i - 1);
                        m.deque[m.size - 1] = c;
                    }
                    return c;
                }
                busy = busy == null && reachable(c) && allowed(h, c) ? c : busy;
            }
        }
        long hash = m != null ? m.place() : mix(rotation++);
        Ring ring = ringFor(m);
        Replica c = walk(ring, hash, h, known);
        if (c == null && ring != all) {
            c = walk(all, hash, h, known);
        }
        h.fallback = c == null || known || !h.attempts.isEmpty();
        if (!h.fallback && m != null) {
            m.join(c, most);
        }
        return c != null ? c : busy != null ? busy : pressure(h);
    }

    /** A session's own order of replicas: one that joins or leaves a deque moves its own sessions only. */
    private static long rank(Held h, Replica r) {
        return mix(h.r.sessionId() ^ r.hash);
    }

    private static boolean warm(Mapping m, Replica r) {
        return m != null && m.index(r) >= 0;
    }

    /** The next ready replica under capacity, in turn from the key's place on the ring. */
    private Replica walk(Ring ring, long hash, Held h, boolean known) {
        int capacity = Math.max(LEAST_KEYS, WARM_KEYS / s.instanceCount());
        int n = ring.at.length;
        int i = ring.from(hash);
        Replica last = null;
        for (int step = 0, looked = 0; step < n && looked < WALK; step++) {
            Replica c = ring.at[(i + step) % n];
            if (c != last) {
                last = c;
                looked++;
                if (open(c) && (known || c.keys < capacity) && !warm(h.mapping, c) && allowed(h, c)) {
                    return c;
                }
            }
        }
        return null;
    }

    /** Pressure: all are at capacity or busy. The owner of the least recently used mapping takes it, and that
     *  mapping is dropped; if that finds none, any ready replica, from a random place in one short walk. */
    private Replica pressure(Held h) {
        int looked = 0;
        for (Mapping o = mappings.oldest(); o != null && looked < WALK; o = o.newer, looked++) {
            for (int i = 0; i < o.size; i++) {
                Replica c = o.deque[i];
                if (reachable(c) && allowed(h, c)) {
                    o.drop(i);
                    return c;
                }
            }
        }
        int n = fleet.size();
        int from = (int) (random() * n);
        for (int i = 0; i < Math.min(n, 4 * WALK); i++) {
            Replica c = fleet.get((from + i) % n);
            if (c.ready && allowed(h, c)) {
                return c;
            }
        }
        return null;
    }

    /** May this request go there at all? Effects, earlier tries, and the budget of a cold replica. */
    private boolean allowed(Held h, Replica r) {
        for (Attempt a : h.attempts) {
            if (a.replica == r) {
                return false;
            }
        }
        return maySend(h, r) && coldAllows(r);
    }

    private boolean reachable(Replica r) {
        return r.ready && (!r.ejected || (now >= r.ejectedUntil && !r.trialOut)) && takes(r);
    }

    /** Is it open to ordinary traffic now: reachable, not full a moment ago, no heap of this node's work? */
    private boolean open(Replica r) {
        double mean = r.part * inflight / Math.max(1, readyCount);
        // While the fleet is short a key stays: elsewhere its tokens would be read anew and push the next one
        // over. Where few are found anyway, as after a release, a short queue is worth more than the place.
        return reachable(r)
                && ((strained() && keptPart >= FEW_KEPT)
                        || (!waits(r)
                                && now >= r.busyUntil
                                && r.inflight < r.limit
                                && r.inflight < HEAPED_MORE + HEAPED * mean));
    }

    /** Has this node asked it for something that should have begun by now? A first token tells of a slow
     *  replica only when it comes; until then everything of its keys would follow, from every node. */
    private boolean waits(Replica r) {
        while (!r.waiting.isEmpty() && (r.waiting.peek().done || r.waiting.peek().begun)) {
            r.waiting.poll();
        }
        return !r.waiting.isEmpty() && now - r.waiting.peek().sentAt > WAITS;
    }

    private void send(Held h, Replica r) {
        Attempt a = new Attempt(r, now);
        waits(r);
        r.waiting.add(a);
        h.attempts.add(a);
        h.open++;
        r.inflight++;
        inflight++;
        sent = sent * Math.exp((sentAt - now) / SHARE_TAU) + 1;
        sentAt = now;
        if (r.ejected && now >= r.ejectedUntil) {
            r.trialOut = true;
            a.trial = true;
        }
        if (r.coldSince != NEVER) {
            r.coldTokens--;
        }
        out.sendAttempt(h.r.id(), r.id, 0);
    }

    // ---- Attempts and failover --------------------------------------------------------------------------
    @Override
    public void onStreamStarted(long time, String id, int n, long took) {
        at(time);
        Held h = held.get(id);
        if (h == null || n < 0 || n >= h.attempts.size() || h.streaming) {
            return;
        }
        h.attempts.get(n).begun = true;
        h.streaming = true;
        firstToken(h, h.attempts.get(n), took);
        cancelOthers(h);
    }

    private void cancelOthers(Held h) {
        for (int i = 0; i < h.attempts.size() && h.limits.allowsCancellation(); i++) {
            Attempt a = h.attempts.get(i);
            if (!a.done && !a.begun) {
                out.cancelAttempt(h.r.id(), i);
            }
        }
    }

    @Override
    public void onAttemptEnded(
            long time, String id, int n, AttemptOutcome o, long took, boolean settled, long kept, LoadReport load) {
        at(time);
        Held h = held.get(id);
        if (h == null || n < 0 || n >= h.attempts.size() || h.attempts.get(n).done) {
            return;
        }
        Attempt a = h.attempts.get(n);
        a.done = true;
        h.open--;
        a.replica.inflight--;
        inflight--;
        if (a.trial) {
            a.replica.trialOut = false;
        }
        if (priced() && a.replica.inflight == 0 && !own.holds(a.replica) && !wide.holds(a.replica)) {
            out.closeIdleConnections(a.replica.id);
        }
        if (!o.neverRan && h.mayHaveRun == null) {
            h.mayHaveRun = a;
        }
        judge(h, a, o, took);
        reported(a.replica, load);
        if (o == AttemptOutcome.OK && h.fallback && h.mapping != null && !h.mapping.session && a.replica.ready) {
            // A served fallback or pressure pick joins the deque, whose back entry goes.
            h.mapping.join(a.replica, Math.max(1, h.mapping.size));
        }
        if (o == AttemptOutcome.OK && kept >= 0 && h.r.promptTokens() > 0) {
            keptPart += (Math.min(1, kept / h.r.promptTokens()) - keptPart) * Math.max(KEPT_WEIGHT, 1.0 / ++keptSeen);
        }
        if (o == AttemptOutcome.OK && kept >= 0 && warm(h.mapping, a.replica)) {
            missed(h, a, kept);
        }
        if (settled || h.over) {
            end(h);
        } else if (h.open == 0) {
            sendOrTurnAway(h, mayRetry(h, a, o, took) ? choose(h, h.width()) : null);
        }
    }

    /** A mapped prefix of which few tokens were kept drops the replica, but never on a first serve, and few
     *  in a second: when kept tokens are lost all at once, the places of the keys are still right. */
    private void missed(Held h, Attempt a, long kept) {
        Mapping m = h.mapping;
        if (m.settledAt == NEVER) {
            m.settledAt = now;
        } else if (!m.session
                && a.sentAt >= m.settledAt
                && kept < FEW_KEPT * h.r.prefixTokens()
                && now - lastMiss >= MISS_GAP) {
            lastMiss = now;
            m.drop(m.index(a.replica));
        }
    }

    private void end(Held h) {
        h.over = true;
        if (h.open == 0) {
            held.remove(h.r.id());
        }
    }

    private boolean mayRetry(Held h, Attempt a, AttemptOutcome o, long took) {
        if (h.streaming
                || o == AttemptOutcome.MOOT
                || (o == AttemptOutcome.CANCELLED && !a.givenUp)
                || h.r.deadline() - now < SWEEP
                || h.attempts.size() >= Math.min(MOST_TRIES, h.mostAttempts(s.limits()))) {
            return false;
        }
        RequestClass c = s.classes().get(h.r.classIndex());
        if (now - h.arrived > aim(c, h.r) && c.lateAnswerValue() <= 0) {
            return false;
        }
        // While the fleet is short, a full replica's request waits with its client: its tokens are kept
        // there, and elsewhere it would be read anew and push the next replica over.
        if (o == AttemptOutcome.FULL && strained()) {
            return false;
        }
        // At a zone that is lost nothing runs: what is given up there costs nobody a second time.
        double cost = o == AttemptOutcome.CONNECT_FAILED || a.givenUp
                ? 0
                : o != AttemptOutcome.FULL && took < SWEEP ? QUICK_ERROR : 1;
        if (retryBudget < cost) {
            return false;
        }
        retryBudget -= cost;
        return true;
    }

    private static double aim(RequestClass c, RoutingRequest r) {
        return c.latencyObjective() + c.latencyObjectivePer1000Tokens() * r.promptTokens() / 1000;
    }

    /** Rule 2: what an earlier attempt did, or may still do, decides where another may go. */
    private boolean maySend(Held h, Replica to) {
        RequestClass c = s.classes().get(h.r.classIndex());
        if (h.open > 0 && !h.limits.allowsParallelAttempts()) {
            return false;
        }
        if (c.idempotency() == Idempotency.IDEMPOTENT) {
            return true;
        }
        Attempt first = h.mayHaveRun;
        for (Attempt a : h.attempts) {
            first = !a.done && (first == null || a.sentAt < first.sentAt) ? a : first;
        }
        if (first == null) {
            return true;
        }
        if (c.idempotency() == Idempotency.NOT_IDEMPOTENT || now - first.sentAt >= c.deduplicationWindow()) {
            return false;
        }
        Endpoint was = first.replica.entry;
        return c.deduplicationScope() == DeduplicationScope.ALL
                || (c.deduplicationScope() == DeduplicationScope.ZONE && to.entry.zone() == was.zone())
                || (c.deduplicationScope() == DeduplicationScope.CELL && to.entry.cell() == was.cell());
    }

    /** Whether a request may be answered as refused now, whatever became of its attempts. */
    public boolean mayReject(String id) {
        return !held.containsKey(id) || mayReject(held.get(id));
    }

    private boolean mayReject(Held h) {
        if (h.r.classIndex() < 0 || h.r.classIndex() >= s.classes().size() || (h.open == 0 && h.mayHaveRun == null)) {
            return true;
        }
        RequestClass c = s.classes().get(h.r.classIndex());
        return c.idempotency() == Idempotency.IDEMPOTENT
                || (c.idempotency() == Idempotency.IDEMPOTENT_WITH_KEY
                        && c.deduplicationScope() == DeduplicationScope.ALL);
    }

    /** The final answer when there is nothing better: refused if a retry is harmless, else failed. */
    private void turnAway(Held h) {
        if (mayReject(h)) {
            out.reject(h.r.id(), 0);
        } else {
            out.fail(h.r.id());
        }
        end(h);
    }

    @Override
    public void onClientGone(long time, String id) {
        at(time);
        Held h = held.get(id);
        if (h != null) {
            end(h);
            cancelOthers(h);
        }
    }

    // ---- Health -----------------------------------------------------------------------------------------
    private void firstToken(Held h, Attempt a, long took) {
        int c = h.r.classIndex();
        double mean = meanFirst[c] == 0 ? took : meanFirst[c];
        meanFirst[c] = learnt(mean, (double) took);
        a.replica.heard = now;
        // A late answer that still earns a part is bad by the rest only.
        double worth =
                took <= aim(s.classes().get(c), h.r) ? 1 : s.classes().get(c).lateAnswerValue();
        good += worth;
        bad += 1 - worth;
        double ratio = took / Math.max(20_000, mean);
        told(a.replica, ZoneEvidence.ANSWERED, took, ratio);
        overdue(a.replica, ratio);
        if (a.replica.entry.zone() == s.ownZone()) {
            ownPace += (Math.min(4, ratio) - ownPace) * 0.03;
        } else {
            otherPace += (Math.min(4, ratio) - otherPace) * 0.1;
        }
        if (a.trial && a.replica.slow <= SLOW_RATIO) {
            release(a.replica);
        }
    }

    /** A mean with one more value, of which an outlier counts as four times the mean at most. */
    private static double learnt(double m, double v) {
        return m + (Math.min(v, 4 * m) - m) * 0.05;
    }

    /** Relative slowness: what all replicas share cancels out, so a shared cause ejects none. */
    private void overdue(Replica r, double ratio) {
        r.slow += (Math.min(10, ratio) - r.slow) * 0.4;
        if (r.slow > SLOW_RATIO) {
            eject(r, false);
        }
    }

    /** A report is stale and noisy. One where requests wait is passed over for as long as a full one; its
     *  time of service counts against the fleet's like a first token's, unless it is cold and thus slow
     *  anyway. */
    private void reported(Replica r, LoadReport l) {
        if (l == null) {
            return;
        }
        if (l.queue() >= 1) {
            r.busyUntil = Math.max(r.busyUntil, now + FULL_PAUSE);
        }
        if (l.latencyMs() > 0 && r.coldSince == NEVER) {
            meanService = learnt(meanService == 0 ? l.latencyMs() : meanService, l.latencyMs());
            overdue(r, l.latencyMs() / meanService);
        }
    }

    private void judge(Held h, Attempt a, AttemptOutcome o, long took) {
        Replica r = a.replica;
        switch (o) {
            case OK -> {
                r.breaks *= BREAK_SERVED;
                if (r.inflight + 1 >= r.limit) {
                    r.limit += 1 / r.limit;
                }
                double mean = meanWhole[h.r.classIndex()] == 0 ? took : meanWhole[h.r.classIndex()];
                meanWhole[h.r.classIndex()] = learnt(mean, (double) took);
                // A stream that takes long tells of a slow replica too, but answers differ in length.
                if (took > SLOW_RATIO * mean) {
                    r.slow += (Math.min(10, took / mean) - r.slow) * 0.25;
                }
            }
            case FULL -> {
                bad++;
                r.limit = Math.max(1, Math.min(r.limit, r.inflight + 1) * 0.8);
                r.busyUntil = now + (long) (FULL_PAUSE * (0.5 + random()));
            }
            case ERROR -> eject(r, false);
            case RESET -> {
                told(r, ZoneEvidence.BROKEN, took, 1);
                broken(r, 1);
            }
            case SPOILT -> broken(r, SPOILT_COUNTS);
            case CONNECT_FAILED -> {
                if (r.ready) {
                    unreachable(r, took);
                }
            }
            case TIMEOUT -> {
                bad++;
                told(r, ZoneEvidence.SILENCE, took, 1);
                overdue(r, 10);
            }
            default -> {}
        }
        if (o == AttemptOutcome.OK || o == AttemptOutcome.FULL || o == AttemptOutcome.ERROR) {
            r.heard = now;
            told(r, o == AttemptOutcome.ERROR ? ZoneEvidence.ERROR : ZoneEvidence.ANSWERED, took, 1);
        }
    }

    /** One break tells of the request or of the wire as often as of the replica; two soon after each other,
     *  with little served in between, tell of the replica. */
    private void broken(Replica r, double counts) {
        r.breaks = r.breaks * Math.exp((r.brokeAt - now) / BREAK_TAU) + counts;
        r.brokeAt = now;
        if (r.breaks >= BREAKS) {
            eject(r, false);
        }
    }

    private void told(Replica r, ZoneEvidence sign, long took, double ratio) {
        zones.recordEvidence(now, zone(r.entry.zone()), r.id, sign, took, ratio);
    }

    private void unreachable(Replica r, long took) {
        told(r, ZoneEvidence.NO_CONNECTION, took, 1);
        eject(r, true);
    }

    private int zone(int z) {
        return z >= 0 && z < zoneCount ? z : 0;
    }

    private boolean takes(Replica r) {
        return zones.accepts(now, zone(r.entry.zone()), standing);
    }

    /** Where zones are planned for: silence is told while it lasts, what waits at a zone that gets nothing is
     *  given up early, and health checks ask what too few requests would tell late. */
    private void planZones() {
        zones.advance(now);
        if (!zones.plansFailover()) {
            return;
        }
        double usual = Arrays.stream(meanFirst).max().orElse(0);
        long silent = Math.max(WAITS, (long) (SLOW_RATIO * usual));
        for (Replica r : fleet) {
            for (Attempt a : r.waiting) {
                if (!a.done && !a.begun && !a.silent && now - a.sentAt > silent) {
                    a.silent = true;
                    told(r, ZoneEvidence.SILENCE, now - a.sentAt, 1);
                }
            }
        }
        for (Held h : List.copyOf(held.values())) {
            for (int n = 0; n < h.attempts.size(); n++) {
                Attempt a = h.attempts.get(n);
                long shut = zones.closedSince(zone(a.zone));
                if (shut != Long.MAX_VALUE
                        && !a.done
                        && !a.givenUp
                        && !h.streaming
                        && (a.silent || a.sentAt < shut)
                        && s.limits().allowsCancellation()) {
                    a.givenUp = true;
                    out.cancelAttempt(h.r.id(), n);
                }
            }
        }
        for (int z = 0; z < zoneCount; z++) {
            boolean shut = zones.closedSince(z) != Long.MAX_VALUE;
            if (shutZones[z] && !shut) {
                backInReach(z);
            }
            shutZones[z] = shut;
            int checks = !s.limits().allowsHealthChecks()
                    ? 0
                    : zones.acquireHealthChecks(z) + (zones.acquireTrial(now, z) ? 1 : 0);
            for (int i = 0; checks > 0 && i < fleet.size(); i++) {
                Replica r = fleet.get(checkCursor++ % fleet.size());
                if (r.ready && zone(r.entry.zone()) == z) {
                    out.probe(r.id);
                    checks--;
                }
            }
        }
    }

    /** What was learnt of its replicas while nothing reached them says nothing now. */
    private void backInReach(int z) {
        for (Replica r : fleet) {
            if (r.ready && zone(r.entry.zone()) == z) {
                release(r);
            }
        }
    }

    /** One request goes where nothing else does, if that is due and health checks can't. */
    private Replica trial(Held h) {
        boolean may = zones.plansFailover() && !s.limits().allowsHealthChecks() && h.attempts.isEmpty();
        for (int z = 0; may && z < zoneCount; z++) {
            int from = (int) (random() * fleet.size());
            for (int i = 0; zones.closedSince(z) != Long.MAX_VALUE && i < fleet.size(); i++) {
                Replica r = fleet.get((from + i) % fleet.size());
                if (r.ready && zone(r.entry.zone()) == z && allowed(h, r)) {
                    if (zones.acquireTrial(now, z)) {
                        return r;
                    }
                    break;
                }
            }
        }
        return null;
    }

    /** Takes a replica out for a time that grows with its strikes; a part of the fleet at most, unless it
     *  can't be reached at all. When the time is over, one request is let through as a trial. */
    private void eject(Replica r, boolean always) {
        if (!r.ready
                || (r.ejected && now < r.ejectedUntil)
                || (!r.ejected && !always && ejectedCount + 1 > MOST_EJECTED * readyCount)) {
            return;
        }
        ejectedCount += r.ejected ? 0 : 1;
        r.ejected = true;
        r.trialOut = false;
        long length = Math.min(EJECT_MOST, EJECT_FIRST << Math.min(r.strikes++, 4));
        r.ejectedUntil = now + (long) (length * (0.75 + 0.5 * random()));
    }

    private void release(Replica r) {
        ejectedCount -= r.ejected ? 1 : 0;
        r.ejected = false;
        r.slow = 1;
        r.strikes = 0;
        r.trialOut = false;
        zones.forgetReplica(r.id);
    }

    @Override
    public void onProbeResult(long time, String server, AttemptOutcome o, long took, LoadReport load) {
        at(time);
        Replica r = replicas.get(server);
        if (r != null && o == AttemptOutcome.OK) {
            r.heard = now;
            reported(r, load);
            if (zones.plansFailover()) {
                told(r, ZoneEvidence.ANSWERED, took, 1);
            }
        }
        if (r != null && (o == AttemptOutcome.CONNECT_FAILED || o == AttemptOutcome.RESET)) {
            unreachable(r, took);
        }
        if (r != null && o == AttemptOutcome.TIMEOUT && zones.plansFailover()) {
            told(r, ZoneEvidence.SILENCE, took, 1);
        }
    }

    /** Probes only replicas unheard of for a period, so that gateways times replicas stays small. */
    private void healthCheck() {
        if (!s.limits().allowsHealthChecks()
                || fleet.isEmpty()
                || now - lastCheck < CHECK_PERIOD * s.instanceCount() / fleet.size()) {
            return;
        }
        lastCheck = now;
        for (int i = 0; i < 2 * WALK; i++) {
            Replica r = fleet.get(checkCursor++ % fleet.size());
            if (r.ready && !r.ejected && now - r.heard > CHECK_PERIOD) {
                r.heard = now;
                out.probe(r.id);
                return;
            }
        }
    }

    // ---- Cold start -------------------------------------------------------------------------------------
    /** Rule 4: a replica that has just started gets a part of a warm one's traffic, by its capacity now. */
    private void startCold(Replica r, long since) {
        r.coldSince = since;
        // Where a node's part is under one request, nodes have places evenly spread.
        r.coldPlace = s.instanceIndex() / (double) s.instanceCount() + (mix(since ^ r.hash) >>> 11) * 0x1.0p-53;
        r.coldAt = NEVER;
        r.limit = 64;
    }

    /** Part of its capacity that a replica has by now, by the least that the site promises. */
    private double warmth(Replica r) {
        double start = s.guarantees().initialCapacity();
        double age = (double) (now - r.coldSince) / Math.max(1, s.guarantees().warmUpDuration());
        return r.coldSince == NEVER || age >= 1 ? 1 : start + (1 - start) * Math.max(0, age);
    }

    /** The same for all that are ready, in replicas; while many are cold, each one's due is larger, by a
     *  factor of two at most. Summed once a sweep. */
    private double warmth() {
        if (now - warmAt >= SWEEP) {
            warmAt = now;
            warm = 0;
            for (Replica r : fleet) {
                warm += r.ready ? warmth(r) : 0;
            }
            usual = usual == 0 ? warm : usual + (warm - usual) * SWEEP / SHARE_TAU;
        }
        return Math.max(warm, 0.5 * readyCount);
    }

    /** What all nodes send together counts, and none knows more than its own part. Each earns its part of the
     *  replica's due by what it sends itself, up to its part of the budget of one window, and sends where
     *  that lies over a place between 0 and 1, another one for each node and window: of thirty that come in
     *  one moment with a third of a request each, ten go. At first it counts as one that has sent for long.
     */
    private boolean coldAllows(Replica r) {
        if (r.coldSince == NEVER) {
            return true;
        }
        double part = warmth(r);
        if (part >= 1) {
            r.coldSince = NEVER;
            return true;
        }
        // By what was sent, not asked: under overload clients ask several times over. A node that has just
        // started has sent for a short time only: by the whole time constant it would count as idle.
        double perTime = sent / (SHARE_TAU * -Math.expm1(Math.min(-0.1, (startedAt - now) / SHARE_TAU)));
        double due = part * r.part / Math.max(1, Math.max(warmth(), usual));
        // Half way, by the multiple, between the bare due, with which it idles while the warm ones drown, and
        // what fells it, and not nearer to that than the root of a half; as far below the due within the
        // first window, when one burst may spend the budget.
        double factor = s.guarantees().overloadFactor();
        long window = (now - r.coldSince) / Math.max(1, s.guarantees().overloadWindow());
        double care = due * Math.min(Math.sqrt(window == 0 ? 1 / factor : factor), Math.sqrt(0.5) * factor);
        // A node that sees few spreads its keys by session: no key can lead all nodes to one replica.
        double most = seen < ENOUGH_SEEN
                ? care * readyCount
                : factor * due * perTime * s.guarantees().overloadWindow();
        r.coldTokens = Math.min(
                Math.min(1, most),
                r.coldAt == NEVER ? care * readyCount : r.coldTokens + care * perTime * (now - r.coldAt));
        r.coldAt = now;
        return r.coldTokens > (r.coldPlace + GOLDEN * window) % 1;
    }

    // ---- Fairness and overload --------------------------------------------------------------------------
    /** Under overload, the work that brings least worth for the time it holds a replica is refused first. */
    private boolean admit(RoutingRequest r) {
        int k = 2 * r.classIndex() + (overShare(r.tenantIndex()) ? 1 : 0);
        arrivals[k]++;
        // The rest of a stream that broke or was moved has cost most of its work already.
        return r.continuation() || shedPart[k] <= 0 || now - sentAt >= SHED_LONGEST || random() >= shedPart[k];
    }

    /** Beyond its allowance a tenant's work is worth little; each node counts its part of the allowance. */
    private boolean overShare(int tenant) {
        for (int i = 0; i < allowance.length; i++) {
            double perS = s.tenants().get(i).quotaPerSecond() / s.instanceCount();
            allowance[i] = Math.min(2 * perS + 2, allowance[i] + perS * (now - allowanceAt) / 1e6);
        }
        allowanceAt = now;
        if (tenant < 0 || tenant >= allowance.length || s.tenants().get(tenant).quotaPerSecond() <= 0) {
            return false;
        }
        return allowance[tenant] < 1 || allowance[tenant]-- < 1;
    }

    private boolean strained() {
        return bad > STRAINED_AT * (good + bad) && bad > 2;
    }

    private double worth(int k) {
        return s.classes().get(k / 2).priorityWeight()
                * (k % 2 == 1 ? s.overQuotaWeight() : 1)
                / Math.max(50_000, meanWhole[k / 2]);
    }

    private void control() {
        double total = good + bad;
        shed = total < 4 || bad <= SHED_AT * total
                ? Math.max(0, shed - SHED_DOWN)
                : Math.min(SHED_MOST, shed + SHED_UP);
        if (s.costs().crossZone() > 0 && s.zoneCount() > 1) {
            stay = Math.max(
                    0,
                    Math.min(
                            stayMost,
                            stay
                                    + (ownPace > STAY_DOWN_ABOVE * otherPace
                                            ? -STAY_DOWN
                                            : ownPace < STAY_UP_BELOW * otherPace ? STAY_UP : 0)));
        }
        good *= 0.5;
        bad *= 0.5;
        Arrays.fill(shedPart, 0);
        double left = shed * Arrays.stream(arrivals).sum();
        while (left > 0) {
            int least = -1;
            for (int k = 0; k < 2 * s.classes().size(); k++) {
                if (shedPart[k] == 0 && (least < 0 || worth(k) < worth(least))) {
                    least = k;
                }
            }
            if (least < 0) {
                break;
            }
            shedPart[least] = arrivals[least] <= 0 ? 1 : Math.min(1, left / arrivals[least]);
            left -= arrivals[least];
        }
        for (int k = 0; k < arrivals.length; k++) {
            arrivals[k] *= 0.9;
        }
    }

    // ---- The timer --------------------------------------------------------------------------------------
    @Override
    public void onTimer(long time, long token) {
        at(time);
        if (token != 1) {
            return;
        }
        out.setTimer(now + SWEEP, 1);
        if (s.subscribesToEndpoints() && asking.due(now, s.guarantees().pollWithin())) {
            out.watch();
        }
        warmth();
        planZones();
        healthCheck();
        if (now - lastControl >= CONTROL) {
            lastControl = now;
            control();
        }
    }

    @Override
    public void onPeerMessage(long time, int peer, byte[] payload) {
        at(time);
    }
}
