package magpiehub.discovery;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import magpiehub.concurrent.ActorThreadPool;
import magpiehub.concurrent.DaemonThreads;
import magpiehub.concurrent.MonotonicClock;
import magpiehub.concurrent.ThreadBudget;
import magpiehub.config.ConfigurationObject;
import magpiehub.config.EndpointEntry;
import magpiehub.config.SiteSettings;
import magpiehub.config.SiteSettingsParser;
import magpiehub.dispatch.RequestDispatcher;
import magpiehub.streaming.FlowController;
import magpiehub.streaming.StreamLimitsReader;
import magpiehub.telemetry.EventLog;
import magpiehub.upstream.UpstreamPool;

/** Runs a registry client and compares each of its updates with the model. */
final class VerifiedRegistryClient implements RegistryClientObserver {
    private static final long MICROS_PER_SECOND = 1_000_000;
    /** Lists are not compared this soon after an outage, because the position may belong to the previous history. */
    private static final long SETTLED_MICROS = 3 * MICROS_PER_SECOND;
    /** Longer lags are logged, with the current fault. */
    private static final long LATE_MICROS = 2_400_000;

    private static final int MAX_LATE_LOG_LENGTH = 100_000;
    private static final int MAX_LOG_LENGTH = 200_000;
    /** The number of updates between two comparisons of the complete list with the model. */
    private static final int SAMPLE_INTERVAL = 40;

    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

    final RegistryClient client;
    final RecordingEventLog log = new RecordingEventLog(MAX_LOG_LENGTH);
    /** The client's threads. */
    final List<Thread> threads = Collections.synchronizedList(new ArrayList<>());
    /** The CPU time of the checks (ns), which is not part of the client's cost. */
    final AtomicLong checkingNanos = new AtomicLong();
    /** The first connection after this time is recorded. */
    volatile long recordConnectionAfterMicros = Long.MAX_VALUE;
    /** How long after that time the connection was made; 0 if there was none. */
    volatile long firstConnectionMicros;

    private final RegistryModel model;
    private final FaultTally tally;
    private final MonotonicClock clock;
    private final int sampleOffset;
    private final long startedAtMicros;
    /** The cell of each endpoint in the client's list. */
    private final Map<String, Integer> cells = new HashMap<>();
    /** The highest cell that was ever reported for each endpoint. */
    private final Map<String, Integer> highestCells = new HashMap<>();
    /** How many of the model's changes of each endpoint the client has reported or skipped. */
    private final Map<String, Integer> caughtUp = new HashMap<>();

    private final List<Long> lagsMicros = new ArrayList<>();
    private int updates;

    /**
     * Starts a client.
     *
     * @param complete whether the client has a dispatcher and an upstream pool, as in a router
     */
    VerifiedRegistryClient(
            RegistryModel model,
            FaultTally tally,
            MonotonicClock clock,
            DiscoverySettings settings,
            long seed,
            boolean complete)
            throws Exception {
        this.model = model;
        this.tally = tally;
        this.clock = clock;
        this.startedAtMicros = clock.micros();
        this.sampleOffset = (int) (seed % SAMPLE_INTERVAL);
        EventLog timedLog = timedLog();
        if (!complete) {
            client =
                    new RegistryClient(settings, RegistryFixtures.site(), (kind, entries) -> {}, clock, timedLog, seed);
            client.setObserver(this);
            client.start(null, null);
            return;
        }
        SiteSettings site = SiteSettingsParser.parse(ConfigurationObject.parse(
                ("{\"zones\":[\"a\"],\"machineTypes\":[\"m\"]," + "\"classes\":[{\"name\":\"c\"}]}").getBytes(UTF_8),
                "settings"));
        UpstreamPool upstreams = new UpstreamPool(
                site,
                64,
                clock,
                timedLog,
                new ActorThreadPool(ThreadBudget.unlimited()),
                new FlowController(
                        StreamLimitsReader.defaults(site.routing().classes(), 64 << 20), site, clock, timedLog));
        client = new RegistryClient(settings, () -> site, upstreams, clock, timedLog, seed);
        RequestDispatcher dispatcher = new RequestDispatcher(site.routing(), seed, clock, upstreams, client, timedLog);
        upstreams.setDispatcher(dispatcher);
        client.setObserver(this);
        client.start(dispatcher, null);
        DaemonThreads.newThread("module", dispatcher::run).start();
    }

    /** Returns a log that prefixes each event with the time (ms). */
    private EventLog timedLog() {
        return new EventLog() {
            @Override
            public void count(String name) {
                log.count(name);
            }

            @Override
            public void log(String what, String... namesAndValues) {
                logNow(what, namesAndValues);
            }
        };
    }

    private void logNow(String what, String... namesAndValues) {
        log.log(clock.micros() / 1000 + " " + what, namesAndValues);
    }

    @Override
    public void onConnecting(RegistryCallKind kind, String endpoint) {
        long now = clock.micros();
        if (now > recordConnectionAfterMicros && firstConnectionMicros == 0 && kind != RegistryCallKind.CHECK) {
            firstConnectionMicros = now - recordConnectionAfterMicros;
        }
    }

    @Override
    public void onThreadStarting(Thread thread) {
        threads.add(thread);
    }

    @Override
    public void onListUpdate(EndpointListState list, ListUpdateResult result, boolean byWatch) {
        long before = THREADS.getCurrentThreadCpuTime();
        if (result.delta() != null) {
            check(list.position().revision(), result.delta());
        }
        checkingNanos.addAndGet(THREADS.getCurrentThreadCpuTime() - before);
    }

    /** Returns the lags of all changes so far. */
    synchronized List<Long> lagsMicros() {
        return List.copyOf(lagsMicros);
    }

    /** Counts the endpoints in which the client's list differs from the expected cells. */
    synchronized int countDifferences(Map<String, Integer> expected) {
        int differences = 0;
        for (Map.Entry<String, Integer> endpoint : expected.entrySet()) {
            differences += endpoint.getValue().equals(cells.get(endpoint.getKey())) ? 0 : 1;
        }
        for (String id : cells.keySet()) {
            differences += expected.containsKey(id) ? 0 : 1;
        }
        return differences;
    }

    private synchronized void check(long revision, ListDelta delta) {
        long now = clock.micros();
        for (EndpointEntry entry : delta.put()) {
            checkPut(entry.endpoint().id(), entry.endpoint().cell(), now);
        }
        for (String id : delta.removed()) {
            Integer old = cells.remove(id);
            if (old == null) {
                tally.repeated.incrementAndGet();
            }
            catchUp(id, old == null ? 0 : old, 0, now);
        }
        updates++;
        if (updates % SAMPLE_INTERVAL == sampleOffset && now - model.reachableSinceMicros > SETTLED_MICROS) {
            compareWithModel(revision);
        }
    }

    private void checkPut(String id, int cell, long now) {
        Integer old = cells.put(id, cell);
        if (old != null && old == cell) {
            tally.repeated.incrementAndGet();
        }
        // An older change may be reported only after a restore from older data.
        int highest = highestCells.merge(id, cell, Math::max);
        if (cell < highest && highest > model.restoredCell) {
            tally.regressed.incrementAndGet();
            logNow("regressed", "engine", id, "cell", cell + " after " + highest, "fault", model.faultPhase);
        }
        catchUp(id, old == null ? 0 : old, cell, now);
    }

    /** Compares the complete list with the registry's data at the list's position. */
    private void compareWithModel(long revision) {
        Map<String, Integer> expected;
        synchronized (model.registry) {
            boolean settled = clock.micros() - model.reachableSinceMicros > SETTLED_MICROS;
            if (!settled || model.registry.revision < revision) {
                return;
            }
            expected = model.cellsAt(revision);
        }
        tally.samples.incrementAndGet();
        int differences = countDifferences(expected);
        if (differences > 0) {
            tally.missed.addAndGet(differences);
            logNow("sample-failed", "position", Long.toString(revision), "differs", Integer.toString(differences));
        }
    }

    /**
     * Records that the client has caught up with all changes of an endpoint up to the reported one. If a restore
     * brought the model back to the state that the client already had, the client had caught up with the changes before
     * it.
     */
    private void catchUp(String id, int oldCell, int newCell, long now) {
        List<RegistryModel.Change> changes = model.changes.get(id);
        if (changes == null) {
            tally.regressed.incrementAndGet(); // An endpoint that never existed.
            return;
        }
        int start = caughtUp.getOrDefault(id, 0);
        int end = -1;
        synchronized (changes) {
            for (int i = start; i < changes.size(); i++) {
                start = changes.get(i).cell() == oldCell ? i + 1 : start;
            }
            for (int i = start; i < changes.size() && end < 0; i++) {
                end = changes.get(i).cell() == newCell ? i : -1;
            }
            for (int i = start; i <= end; i++) {
                recordLag(id, changes.get(i), now);
            }
        }
        caughtUp.put(id, end < 0 ? start : end + 1);
    }

    /** Records how long a change took to reach the client, except during an outage. */
    private void recordLag(String id, RegistryModel.Change change, long now) {
        if (model.downSinceMicros <= now) {
            return;
        }
        long visibleSince = Math.max(Math.max(change.atMicros(), startedAtMicros), model.reachableSinceMicros);
        long lag = now - visibleSince;
        lagsMicros.add(Math.max(0, lag));
        if (lag > LATE_MICROS && log.length() < MAX_LATE_LOG_LENGTH) {
            logNow("late", "engine", id, "ms", Long.toString(lag / 1000), "fault", model.faultPhase);
        }
    }
}
