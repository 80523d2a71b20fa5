package magpiehub.discovery;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import magpiehub.concurrent.ActorThreadPool;
import magpiehub.concurrent.Mailbox;
import magpiehub.concurrent.MonotonicClock;
import magpiehub.config.Config;
import magpiehub.config.EndpointEntry;
import magpiehub.config.SiteSettings;
import magpiehub.dispatch.RequestDispatcher;
import magpiehub.streaming.StreamLimits;
import magpiehub.streaming.Streams;
import magpiehub.telemetry.EventLog;
import magpiehub.upstream.UpstreamPool;

/**
 * The proof of the registry client: views and whole clients follow a stand-in that changes, compacts, breaks
 * and goes back in time as a seed says, and everything they are told is held against the truth. It owns the
 * bounds. It must never count what it has not seen.
 *
 * <p>{@code RegistryProof SEED [ENGINES CHANGES VIEWS WHOLE]}; the last line says ok or short.
 */
public final class RegistryProof {
    private static final long S = 1_000_000;
    /** Lags above this are logged, with the fault at the time. */
    private static final long LATE = 2_400_000;

    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();
    private static final MonotonicClock CLOCK = MonotonicClock.SYSTEM;
    /** Each change's number in the order of the truth stands in its entry's cell. */
    private static final String ENTRY =
            "{\"host_port\":\"127.0.0.1:%d\",\"phase\":\"%s\",\"cell\":%d,\"locality\":\"a\"}";

    /** What an engine became: the number in its cell, 0 if it is gone, and when (us). */
    private record Change(int cell, long at) {}

    /** The truth of one dialect's registry, with the times of all that it became. */
    private static final class Truth {
        final FakeRegistry registry;
        final Map<String, List<Change>> changes = new ConcurrentHashMap<>();
        final Map<String, Integer> now = new HashMap<>();
        /** Cells written before the last restore may come back by it. */
        volatile int restoredAt;
        /** While no endpoint answers, nobody can follow: when that last ended. */
        volatile long reachableAt;

        volatile long wentDownAt = Long.MAX_VALUE;
        volatile String phase = "";
        int cell;

        Truth(FakeRegistry registry) {
            this.registry = registry;
        }

        void became(String id, int value) {
            if (!Integer.valueOf(value).equals(now.put(id, value))) {
                changes.computeIfAbsent(id, k -> java.util.Collections.synchronizedList(new ArrayList<>()))
                        .add(new Change(value, CLOCK.micros()));
            }
        }

        void put(String id, String phase, int port) {
            cell++;
            became(id, cell); // Before anyone can be told.
            registry.put(id, String.format(ENTRY, port, phase, cell));
        }

        void delete(String id) {
            became(id, 0);
            registry.delete(id);
        }

        /** After a restore everything is as the registry says now. */
        void restored() {
            Map<String, Integer> is = state(registry.snapshot(Long.MAX_VALUE, FakeRegistry.PREFIX));
            for (String id : List.copyOf(now.keySet())) {
                became(id, is.getOrDefault(id, 0));
            }
        }
    }

    private static Map<String, Integer> state(Map<String, FakeRegistry.Version> all) {
        Map<String, Integer> m = new TreeMap<>();
        all.forEach((k, v) -> {
            String s = new String(v.value(), StandardCharsets.UTF_8);
            int at = s.indexOf("\"cell\":");
            if (at >= 0) {
                m.put(
                        k.substring(FakeRegistry.PREFIX.length()),
                        Integer.parseInt(s.substring(at + 7, s.indexOf(',', at))));
            }
        });
        return m;
    }

    /** What was found amiss, over all clients. */
    private static final AtomicLong MISSED = new AtomicLong();

    private static final AtomicLong REPEATED = new AtomicLong();
    private static final AtomicLong REGRESSED = new AtomicLong();
    /** Whole views held against the truth at their own position. */
    private static final AtomicLong SAMPLES = new AtomicLong();

    /** One client and the check of all that its view tells. */
    private static final class Follower implements RegistryClientObserver, EventLog {
        final Truth truth;
        final RegistryClient registry;
        final Map<String, Integer> has = new HashMap<>();
        /** The highest cell that was ever told, and how much of the truth's changes has been seen. */
        final Map<String, Integer> highest = new HashMap<>();

        final Map<String, Integer> seen = new HashMap<>();
        final List<Long> lags = new ArrayList<>();
        final List<Thread> threads = java.util.Collections.synchronizedList(new ArrayList<>());
        final Map<String, LongCount> counts = new ConcurrentHashMap<>();
        final StringBuffer logged = new StringBuffer();
        volatile long position;
        volatile long firstCallAfter = Long.MAX_VALUE;
        volatile long firstCall;
        private final int salt;
        private final long startedAt = CLOCK.micros();
        private int deltas;
        /** What the checks themselves cost (ns of CPU): no part of a client's. */
        volatile long checking;

        Follower(Truth truth, DiscoverySettings options, long seed, boolean whole) throws Exception {
            this.truth = truth;
            this.salt = (int) (seed % 40);
            if (!whole) {
                registry = new RegistryClient(options, Rig.site(), (kind, list) -> {}, CLOCK, this, seed);
                registry.observe(this);
                registry.start(null, null);
                return;
            }
            // A whole client: membership, the module and its engines, as a router has them.
            SiteSettings site = Config.site(Config.facts(
                    ("{\"zones\":[\"a\"],\"machineTypes\":[\"m\"]," + "\"classes\":[{\"name\":\"c\"}]}")
                            .getBytes(UTF_8),
                    "settings"));
            UpstreamPool engines = new UpstreamPool(
                    site,
                    64,
                    CLOCK,
                    this,
                    new ActorThreadPool(),
                    new Streams(StreamLimits.none(site.settings().classes(), 64 << 20), site, CLOCK, this));
            registry = new RegistryClient(options, () -> site, engines, CLOCK, this, seed);
            RequestDispatcher module = new RequestDispatcher(site.settings(), seed, CLOCK, engines, registry, this);
            engines.module(module);
            registry.observe(this);
            registry.start(module, null);
            Mailbox.thread("module", module::run).start();
        }

        @Override
        public void updated(EndpointListState v, ListUpdateResult r, boolean watched) {
            long before = THREADS.getCurrentThreadCpuTime();
            check(v, r);
            checking += THREADS.getCurrentThreadCpuTime() - before;
        }

        private synchronized void check(EndpointListState v, ListUpdateResult r) {
            if (r.delta() == null) {
                return;
            }
            position = v.position().revision();
            long now = CLOCK.micros();
            for (EndpointEntry e : r.delta().put()) {
                String id = e.server().id();
                int cell = e.server().cell();
                Integer had = has.put(id, cell);
                if (had != null && had == cell) {
                    REPEATED.incrementAndGet();
                }
                // Only a registry that went back may tell what was before.
                int top = highest.merge(id, cell, Math::max);
                if (cell < top && top > truth.restoredAt) {
                    REGRESSED.incrementAndGet();
                    log("regressed", "engine", id, "cell", cell + " after " + top, "fault", truth.phase);
                }
                caughtUp(id, had == null ? 0 : had, cell, now);
            }
            for (String id : r.delta().removed()) {
                Integer had = has.remove(id);
                if (had == null) {
                    REPEATED.incrementAndGet();
                }
                caughtUp(id, had == null ? 0 : had, 0, now);
            }
            if (++deltas % 40 == salt % 40 && now - truth.reachableAt > 3 * S) {
                sample(position);
            }
        }

        /** The whole view against what the registry had at the view's position. Not soon after a restore:
         *  then the position may be of the history before. */
        private void sample(long at) {
            Map<String, Integer> then;
            synchronized (truth.registry) {
                if (CLOCK.micros() - truth.reachableAt <= 3 * S || truth.registry.revision < at) {
                    return;
                }
                then = state(truth.registry.snapshot(at, FakeRegistry.PREFIX));
            }
            SAMPLES.incrementAndGet();
            int n = differences(then);
            if (n > 0) {
                MISSED.addAndGet(n);
                log("sample-failed", "position", Long.toString(at), "differs", Integer.toString(n));
            }
        }

        /** All changes of an engine up to the one told have now been made up for. Where the truth came back
         *  to what this view had (by a restore), what was before that was made up for then. */
        private void caughtUp(String id, int had, int cell, long now) {
            List<Change> all = truth.changes.get(id);
            if (all == null) {
                REGRESSED.incrementAndGet(); // An engine that never was.
                return;
            }
            int start = seen.getOrDefault(id, 0);
            int to = -1;
            synchronized (all) {
                for (int i = start; i < all.size(); i++) {
                    start = all.get(i).cell == had ? i + 1 : start;
                }
                for (int i = start; i < all.size() && to < 0; i++) {
                    to = all.get(i).cell == cell ? i : -1;
                }
                for (int i = start; i <= to; i++) {
                    long since = Math.max(Math.max(all.get(i).at, startedAt), truth.reachableAt);
                    if (truth.wentDownAt > now) {
                        lags.add(Math.max(0, now - since));
                        if (now - since > LATE && logged.length() < 100_000) {
                            log("late", "engine", id, "ms", Long.toString((now - since) / 1000), "fault", truth.phase);
                        }
                    }
                }
            }
            seen.put(id, to < 0 ? start : to + 1);
        }

        /** Engines in which this view still differs from the truth, in its quiet. */
        synchronized int differences(Map<String, Integer> is) {
            int n = 0;
            for (Map.Entry<String, Integer> e : is.entrySet()) {
                n += e.getValue().equals(has.get(e.getKey())) ? 0 : 1;
            }
            for (String id : has.keySet()) {
                n += is.containsKey(id) ? 0 : 1;
            }
            return n;
        }

        @Override
        public void connecting(RegistryCallKind kind, String endpoint) {
            long now = CLOCK.micros();
            if (now > firstCallAfter && firstCall == 0 && kind != RegistryCallKind.CHECK) {
                firstCall = now - firstCallAfter;
            }
        }

        @Override
        public void threadStarting(Thread thread) {
            threads.add(thread);
        }

        @Override
        public void count(String name) {
            counts.computeIfAbsent(name, k -> new LongCount()).n++;
        }

        @Override
        public void log(String what, String... pairs) {
            if (logged.length() < 200_000) {
                logged.append(CLOCK.micros() / 1000)
                        .append(' ')
                        .append(what)
                        .append(' ')
                        .append(String.join(" ", pairs))
                        .append('\n');
            }
        }
    }

    private static final class LongCount {
        long n;
    }

    /** The rival: reads the whole list each second, and applies it. */
    private static final class Poller extends Thread {
        private final RegistryProtocol driver;
        private final FakeRegistry registry;
        final AtomicLong bytes = new AtomicLong();
        volatile long cpuNanos;
        volatile boolean over;

        Poller(RegistryProtocol driver, FakeRegistry registry) {
            this.driver = driver;
            this.registry = registry;
            setDaemon(true);
        }

        @Override
        public void run() {
            EndpointListState view = new EndpointListState();
            RegistryConnection wire = null;
            for (int i = 0; !over; i++) {
                long next = System.nanoTime() + 1_000_000_000L;
                try {
                    if (wire == null || wire.isClosed()) {
                        wire = new RegistryConnection(
                                registry.addresses().get(i % registry.endpoints.size()), null, CLOCK, bytes);
                        wire.connect(800);
                        wire.setReadTimeout(800);
                    }
                    driver.readList(wire, new RegistryEventListener() {
                        @Override
                        public void onWatchOpened(ListPosition header) {}

                        @Override
                        public void onCompleteList(ListPosition to, List<ListItem> items) {
                            view.applyCompleteList(to, view.position(), items, true);
                        }

                        @Override
                        public void onChanges(ListPosition to, List<ListItem> items) {}

                        @Override
                        public void onWatchResumed(ListPosition of, List<ListItem> last, long count) {}

                        @Override
                        public void onCompacted(String why) {}

                        @Override
                        public void onPositionChecked(ListPosition of, long newest, long count) {}
                    });
                } catch (IOException | InterruptedException | RuntimeException e) {
                    if (wire != null) {
                        wire.close();
                    }
                }
                cpuNanos = THREADS.getCurrentThreadCpuTime();
                while (!over && System.nanoTime() < next) {
                    java.util.concurrent.locks.LockSupport.parkNanos(
                            Math.max(1, Math.min(100_000_000, next - System.nanoTime())));
                }
            }
        }
    }

    // ---- The script -----------------------------------------------------------------------------------
    /** Changes and faults as a seed says; every kind of fault comes at least once. */
    private static final class Script {
        private final Truth truth;
        private final FakeRegistry registry;
        private final SplittableRandom random;
        private final int engines;
        private final boolean etcd;
        private final List<Follower> followers;
        private final List<Long> spreads = new ArrayList<>();
        private int made;

        Script(Truth truth, long seed, int engines, boolean etcd, List<Follower> followers) {
            this.truth = truth;
            this.registry = truth.registry;
            this.random = new SplittableRandom(seed);
            this.engines = engines;
            this.etcd = etcd;
            this.followers = followers;
        }

        /** Changes, 25 at a time in one moment. */
        private void burst(int n) {
            for (int i = 0; i < n; i += 25) {
                synchronized (registry) {
                    for (int k = i; k < Math.min(n, i + 25); k++) {
                        change();
                    }
                }
                pause(30);
            }
        }

        private void change() {
            String id = "e" + random.nextInt(engines);
            int what = random.nextInt(20);
            made++;
            if (what == 0) {
                truth.delete(id);
            } else if (what == 1) {
                // Gone and back under its id at another address, inside one burst.
                truth.delete(id);
                truth.put(id, "Ready", 1 + random.nextInt(60_000));
                made++;
            } else if (what == 2) {
                registry.put("broken", "{\"host_port\":" + random.nextInt());
            } else {
                truth.put(id, what < 6 ? "Terminating" : "Ready", 1 + random.nextInt(60_000));
            }
        }

        private FakeRegistryEndpoint any() {
            return registry.endpoints.get(random.nextInt(registry.endpoints.size()));
        }

        private static void pause(long ms) {
            long end = System.nanoTime() + ms * 1_000_000;
            while (System.nanoTime() < end) {
                java.util.concurrent.locks.LockSupport.parkNanos(end - System.nanoTime());
            }
        }

        private void down() {
            truth.wentDownAt = CLOCK.micros();
            registry.endpoints.forEach(e -> e.fault(FakeRegistry.Fault.DOWN));
        }

        private void up() {
            truth.reachableAt = CLOCK.micros();
            truth.wentDownAt = Long.MAX_VALUE;
            registry.endpoints.forEach(e -> e.fault(FakeRegistry.Fault.NONE));
        }

        void run(int changes) {
            int kinds = 14;
            List<Integer> order = new ArrayList<>();
            for (int i = 0; i < kinds; i++) {
                order.add(i);
            }
            for (int i = kinds - 1; i > 0; i--) {
                java.util.Collections.swap(order, i, random.nextInt(i + 1));
            }
            // Out of a calm: what is measured then is how routers that lost it together come back.
            java.util.Collections.swap(order, 0, order.indexOf(kinds - 1));
            long old = registry.revision;
            int each = Math.max(1, changes / kinds);
            for (int kind : order) {
                burst(each / 2);
                truth.phase = Integer.toString(kind);
                fault(kind, old, each / 4);
                truth.phase += "+";
                burst(Math.min(changes - made, each - each / 2 - each / 4));
                pause(100 + random.nextInt(250));
            }
            burst(Math.max(0, changes - made));
            registry.endpoints.forEach(e -> e.fault(FakeRegistry.Fault.NONE));
            registry.endpoints.forEach(e -> e.revisionsBehind = 0);
        }

        private void fault(int kind, long old, int during) {
            FakeRegistryEndpoint e = any();
            switch (kind) {
                case 0 -> registry.cutAll();
                case 1 -> { // In the middle of whatever is written next: a line, a chunk, a letter.
                    registry.endpoints.forEach(x -> x.cutAfterBytes = 1 + random.nextInt(4000));
                    burst(during);
                }
                case 2 -> { // Compacted while nobody could watch.
                    down();
                    burst(during);
                    registry.compact();
                    pause(200);
                    up();
                }
                case 3 -> restore(
                        old + random.nextInt(Math.max(1, (int) (registry.revision - old))), registry.cluster, 0);
                case 4 -> restore(
                        registry.revision - Math.min(registry.revision - 1, 50),
                        Long.toString(random.nextLong(1, 1L << 60)),
                        registry.revision + 500);
                case 5 -> {
                    e.fault(FakeRegistry.Fault.SILENT);
                    burst(during);
                    pause(1800);
                    e.fault(FakeRegistry.Fault.NONE);
                }
                case 6 -> {
                    e.fault(FakeRegistry.Fault.MUTE);
                    burst(during);
                    pause(1800);
                    e.fault(FakeRegistry.Fault.NONE);
                }
                case 7 -> {
                    registry.electLeader();
                    burst(during);
                }
                case 8 -> {
                    e.fault(etcd ? FakeRegistry.Fault.UNAUTHORISED : FakeRegistry.Fault.NO_LEADER);
                    burst(during);
                    pause(500);
                    e.fault(FakeRegistry.Fault.NONE);
                }
                case 9 -> {
                    e.fault(FakeRegistry.Fault.REFUSING);
                    burst(during);
                    pause(500);
                    e.fault(FakeRegistry.Fault.NONE);
                }
                case 10 -> { // One that lags, and breaks that lead to it.
                    e.revisionsBehind = 40;
                    burst(during);
                    registry.cutAll();
                    pause(500);
                    e.revisionsBehind = 0;
                    burst(1);
                }
                case 11 -> { // A list's pages across a compaction.
                    registry.etcd.betweenPages = () -> {
                        registry.etcd.betweenPages = () -> {};
                        registry.put("broken", "?");
                        registry.compact();
                    };
                    registry.cutAll();
                }
                case 12 -> {
                    e.delayMillis = 200;
                    burst(during);
                    pause(300);
                    e.delayMillis = 0;
                }
                default -> { // All lose it together.
                    long at = CLOCK.micros();
                    followers.forEach(f -> {
                        f.firstCall = 0;
                        f.firstCallAfter = at;
                    });
                    down();
                    up();
                    burst(during);
                    pause(2100);
                    followers.forEach(f -> spreads.add(f.firstCall));
                }
            }
        }

        private void restore(long to, String cluster, long rev) {
            truth.wentDownAt = CLOCK.micros();
            registry.endpoints.forEach(e -> e.fault(FakeRegistry.Fault.DOWN));
            synchronized (registry) {
                truth.restoredAt = truth.cell;
                registry.restore(to, cluster, rev == 0 ? to : rev);
                truth.restored();
            }
            up();
        }
    }

    // ---- One dialect ----------------------------------------------------------------------------------
    private static final class Result {
        final Map<String, String> figures = new TreeMap<>();
        final List<String> bad = new ArrayList<>();
    }

    private static DiscoverySettings options(String kind, FakeRegistry registry, boolean whole, Path list)
            throws IOException {
        String json = "{\"kind\":\"" + kind + "\",\"endpoints\":[\"" + String.join("\",\"", registry.addresses())
                + "\"],\"prefix\":\"" + FakeRegistry.PREFIX + "\",\"service\":\"engines\""
                + (whole ? ",\"list_file\":\"" + list + "\"" : "") + "}";
        return DiscoverySettings.of(Config.facts(json.getBytes(UTF_8), "registry.json"), Path.of("."));
    }

    private static Result dialect(boolean etcd, long seed, int engines, int changes, int views, int whole, long settle)
            throws Exception {
        Result r = new Result();
        Path folder = Files.createTempDirectory("proof-registry");
        FakeRegistry registry = new FakeRegistry(3);
        registry.etcd.eventsPerFragment = 10;
        Truth truth = new Truth(registry);
        for (int i = 0; i < engines; i++) {
            truth.put("e" + i, "Ready", 1 + i % 60_000);
        }
        List<Follower> followers = new ArrayList<>();
        for (int i = 0; i < views + whole; i++) {
            String kind = etcd ? "etcd" : i % 2 == 0 ? "consul-health" : "consul-kv";
            followers.add(new Follower(
                    truth,
                    options(kind, registry, i >= views, folder.resolve("list" + i)),
                    seed * 1000 + i,
                    i >= views));
        }
        DiscoverySettings o = options(etcd ? "etcd" : "consul-health", registry, false, null);
        EndpointEntryParser entries = EndpointEntryParser.strict(Rig.site(), 0);
        Poller poller = new Poller(
                etcd
                        ? new EtcdProtocol(o.prefix(), o.pageSize(), null, null, entries)
                        : ConsulProtocol.forHealth(o.service(), o.blockingQueryMicros(), null, entries),
                registry);
        poller.start();
        long started = CLOCK.micros();
        settle(truth, followers, 2 * settle);
        long firstList = CLOCK.micros() - started;
        Script script = new Script(truth, seed, engines, etcd, followers);
        script.run(changes);
        settle(truth, followers, settle);
        // With nothing to tell: what watching costs when nothing changes.
        long quietBytes = -total(followers.subList(0, views));
        long quietPoll = -poller.bytes.get();
        Script.pause(1000);
        quietBytes += total(followers.subList(0, views));
        quietPoll += poller.bytes.get();
        poller.over = true;
        long cpu = 0;
        long bytes = 0;
        for (Follower f : followers.subList(0, views)) {
            bytes += f.registry.bytesRead();
            cpu -= f.checking;
            for (Thread t : f.threads) {
                cpu += Math.max(0, THREADS.getThreadCpuTime(t.getId()));
            }
        }
        List<Long> lags = new ArrayList<>();
        int different = 0;
        Map<String, Integer> is = state(registry.snapshot(Long.MAX_VALUE, FakeRegistry.PREFIX));
        for (Follower f : followers) {
            synchronized (f) {
                lags.addAll(f.lags);
            }
            int d = f.differences(is);
            different += d;
            boolean late = f.logged.indexOf(" late ") >= 0;
            late |= f.logged.indexOf(" regressed ") >= 0;
            if ((d > 0 || late || f.logged.indexOf("sample-failed") >= 0) && System.getenv("PROOF_LOG") != null) {
                StringBuilder counts = new StringBuilder("counts");
                f.counts.forEach(
                        (k, v) -> counts.append(' ').append(k).append('=').append(v.n));
                System.err.println(counts + "\n" + f.logged);
            }
            f.registry.stop();
        }
        MISSED.addAndGet(different);
        long[] sorted = lags.stream().mapToLong(l -> l / 1000).sorted().toArray();
        long[] spread =
                script.spreads.stream().mapToLong(l -> l / 1000).sorted().toArray();
        String n = etcd ? "etcd" : "consul";
        long p50 = sorted[sorted.length / 2];
        long p99 = sorted[(int) (sorted.length * 0.99)];
        long max = sorted[sorted.length - 1];
        long width = spread[(int) (spread.length * 0.95)] - spread[(int) (spread.length * 0.05)];
        r.figures.put(n + "_changes", Integer.toString(script.made));
        r.figures.put(n + "_lag_ms", p50 + "/" + p99 + "/" + max);
        r.figures.put(n + "_spread_ms", Long.toString(width));
        r.figures.put(n + "_first_list_ms", Long.toString(firstList / 1000));
        r.figures.put(
                n + "_bytes_of_poll",
                String.format(java.util.Locale.ROOT, "%.3f", (double) bytes / views / Math.max(1, poller.bytes.get())));
        r.figures.put(
                n + "_quiet_bytes_of_poll",
                String.format(java.util.Locale.ROOT, "%.4f", (double) quietBytes / views / Math.max(1, quietPoll)));
        r.figures.put(
                n + "_cpu_of_poll",
                String.format(java.util.Locale.ROOT, "%.3f", (double) cpu / views / Math.max(1, poller.cpuNanos)));
        if (max >= 3000) {
            r.bad.add(n + " lag");
        }
        // Measured where enough of them lost it together to have a spread.
        if (spread[0] <= 0 || (followers.size() >= 50 && width < 750)) {
            r.bad.add(n + " spread");
        }
        registry.close();
        return r;
    }

    private static long total(List<Follower> followers) {
        return followers.stream().mapToLong(f -> f.registry.bytesRead()).sum();
    }

    /** Waits until no view differs, or the time is over. */
    private static void settle(Truth truth, List<Follower> followers, long most) {
        long end = CLOCK.micros() + most;
        Map<String, Integer> is = state(truth.registry.snapshot(Long.MAX_VALUE, FakeRegistry.PREFIX));
        while (CLOCK.micros() < end && followers.stream().anyMatch(f -> f.differences(is) > 0)) {
            Script.pause(50);
        }
    }

    /** What a run came to: the proof's line, the bounds that did not hold, and what was missed, repeated and
     *  regressed together. */
    record Outcome(String line, List<String> bad, long wrong) {}

    /** Plays the script in both dialects; at its end views have so long to agree with the truth (us). */
    static Outcome run(long seed, int engines, int changes, int views, int whole, long settle) throws Exception {
        List<String> bad = new ArrayList<>();
        Map<String, String> all = new TreeMap<>();
        // One after the other: each has the machine to itself, as the figures of one are not the other's.
        for (boolean etcd : new boolean[] {true, false}) {
            Result r = dialect(etcd, seed, engines, changes, views, whole, settle);
            all.putAll(r.figures);
            bad.addAll(r.bad);
        }
        StringBuilder line = new StringBuilder("proof registry seed=" + seed + " engines=" + engines + " views="
                + views + " whole=" + whole + " missed=" + MISSED + " repeated=" + REPEATED + " regressed="
                + REGRESSED + " samples=" + SAMPLES);
        all.forEach((k, v) -> line.append(' ').append(k).append('=').append(v));
        return new Outcome(line.toString(), bad, MISSED.get() + REPEATED.get() + REGRESSED.get());
    }

    public static void main(String[] args) throws Exception {
        int[] scale = {1000, 5000, 100, 12};
        for (int i = 1; i < args.length; i++) {
            scale[i - 1] = Integer.parseInt(args[i]);
        }
        Outcome o = run(Long.parseLong(args[0]), scale[0], scale[1], scale[2], scale[3], 5 * S);
        boolean ok = o.bad.isEmpty() && o.wrong == 0;
        if (!o.bad.isEmpty()) {
            System.out.println("out of bounds: " + String.join(", ", o.bad));
        }
        System.out.println(o.line + (ok ? " ok" : " short"));
        System.exit(ok ? 0 : 1);
    }
}
