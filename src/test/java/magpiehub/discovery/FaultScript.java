package magpiehub.discovery;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.locks.LockSupport;
import magpiehub.concurrent.MonotonicClock;

/** A random sequence of changes and faults of a fake registry, determined by a seed, with each kind of fault once. */
final class FaultScript {
    /** The number of changes made atomically. */
    private static final int BURST_SIZE = 25;

    private static final int MAX_PORT = 60_000;
    private static final long BURST_PAUSE_MILLIS = 30;
    /** Longer than a client may take to detect that a watch is silent. */
    private static final long SILENCE_MILLIS = 1800;
    /** Longer than the spread over which clients reconnect. */
    private static final long RECONNECT_MILLIS = 2100;

    private enum FaultKind {
        /** All connections are closed. */
        CONNECTION_LOSS,
        /** The next data written is truncated, possibly within a line, a chunk or a character. */
        TRUNCATED_DATA,
        /** The registry is compacted while all endpoints are down. */
        COMPACTION_WHILE_DOWN,
        /** The registry is restored from older data of the same history. */
        RESTORE,
        /** The registry is restored from older data as a different history with higher revisions. */
        RESTORE_AS_OTHER_HISTORY,
        SILENT_ENDPOINT,
        SILENT_WATCHES,
        LEADER_CHANGE,
        REJECTED_TOKENS_OR_NO_LEADER,
        REJECTED_REQUESTS,
        /** One endpoint lags, and all connections are closed, so that clients reconnect to it. */
        LAGGING_ENDPOINT,
        /** A compaction between the pages of a list. */
        COMPACTION_WITHIN_LIST,
        SLOW_ENDPOINT,
        /** All clients lose their connections together. */
        RESTART
    }

    private final RegistryModel model;
    private final FakeRegistry registry;
    private final MonotonicClock clock;
    private final SplittableRandom random;
    private final int endpoints;
    private final boolean etcd;
    private final List<VerifiedRegistryClient> clients;
    private final List<Long> reconnectsMicros = new ArrayList<>();
    private int changesMade;

    /** Creates a script that changes {@code endpoints} endpoints, which the model already contains. */
    FaultScript(
            RegistryModel model,
            MonotonicClock clock,
            long seed,
            int endpoints,
            boolean etcd,
            List<VerifiedRegistryClient> clients) {
        this.model = model;
        this.registry = model.registry;
        this.clock = clock;
        this.random = new SplittableRandom(seed);
        this.endpoints = endpoints;
        this.etcd = etcd;
        this.clients = clients;
    }

    int changesMade() {
        return changesMade;
    }

    /** Returns how long after the restart each client reconnected; 0 for a client that did not. */
    List<Long> reconnectsMicros() {
        return reconnectsMicros;
    }

    /** Waits uninterruptibly. */
    static void pause(long millis) {
        long end = System.nanoTime() + millis * 1_000_000;
        while (System.nanoTime() < end) {
            LockSupport.parkNanos(end - System.nanoTime());
        }
    }

    /** Runs all faults in random order, with at least {@code changes} changes before, during and after them. */
    void run(int changes) {
        List<FaultKind> order = shuffledFaults();
        long oldRevision = registry.revision;
        int changesPerFault = Math.max(1, changes / order.size());
        for (FaultKind kind : order) {
            makeChanges(changesPerFault / 2);
            model.faultPhase = kind.name();
            inject(kind, oldRevision, changesPerFault / 4);
            model.faultPhase = "after " + kind.name();
            makeChanges(Math.min(changes - changesMade, changesPerFault - changesPerFault / 2 - changesPerFault / 4));
            pause(100 + random.nextInt(250));
        }
        makeChanges(Math.max(0, changes - changesMade));
        registry.endpoints.forEach(endpoint -> endpoint.injectFault(FakeRegistry.Fault.NONE));
        registry.endpoints.forEach(endpoint -> endpoint.revisionsBehind = 0);
    }

    private List<FaultKind> shuffledFaults() {
        List<FaultKind> order = new ArrayList<>(Arrays.asList(FaultKind.values()));
        for (int i = order.size() - 1; i > 0; i--) {
            Collections.swap(order, i, random.nextInt(i + 1));
        }
        // The restart comes first, from a steady state, because it measures how clients reconnect after losing their
        // connections together.
        Collections.swap(order, 0, order.indexOf(FaultKind.RESTART));
        return order;
    }

    private void makeChanges(int count) {
        for (int i = 0; i < count; i += BURST_SIZE) {
            synchronized (registry) {
                for (int k = i; k < Math.min(count, i + BURST_SIZE); k++) {
                    makeChange();
                }
            }
            pause(BURST_PAUSE_MILLIS);
        }
    }

    private void makeChange() {
        String id = "e" + random.nextInt(endpoints);
        int kind = random.nextInt(20);
        changesMade++;
        if (kind == 0) {
            model.delete(id);
        } else if (kind == 1) {
            // Removes the endpoint and adds it back at another address within one burst.
            model.delete(id);
            model.put(id, "Ready", randomPort());
            changesMade++;
        } else if (kind == 2) {
            registry.put("broken", "{\"host_port\":" + random.nextInt());
        } else {
            model.put(id, kind < 6 ? "Terminating" : "Ready", randomPort());
        }
    }

    private int randomPort() {
        return 1 + random.nextInt(MAX_PORT);
    }

    private void inject(FaultKind kind, long oldRevision, int changes) {
        FakeRegistryEndpoint endpoint = registry.endpoints.get(random.nextInt(registry.endpoints.size()));
        switch (kind) {
            case CONNECTION_LOSS -> registry.closeAllConnections();
            case TRUNCATED_DATA -> {
                registry.endpoints.forEach(each -> each.truncateAfterBytes = 1 + random.nextInt(4000));
                makeChanges(changes);
            }
            case COMPACTION_WHILE_DOWN -> compactWhileDown(changes);
            case RESTORE -> {
                int revisions = Math.max(1, (int) (registry.revision - oldRevision));
                long to = oldRevision + random.nextInt(revisions);
                restore(to, registry.cluster, to);
            }
            case RESTORE_AS_OTHER_HISTORY -> {
                long to = registry.revision - Math.min(registry.revision - 1, 50);
                String cluster = Long.toString(random.nextLong(1, 1L << 60));
                restore(to, cluster, registry.revision + 500);
            }
            case SILENT_ENDPOINT -> injectFor(endpoint, FakeRegistry.Fault.SILENT, changes, SILENCE_MILLIS);
            case SILENT_WATCHES -> injectFor(endpoint, FakeRegistry.Fault.SILENT_WATCHES, changes, SILENCE_MILLIS);
            case LEADER_CHANGE -> {
                registry.electLeader();
                makeChanges(changes);
            }
            case REJECTED_TOKENS_OR_NO_LEADER -> injectFor(
                    endpoint, etcd ? FakeRegistry.Fault.UNAUTHORIZED : FakeRegistry.Fault.NO_LEADER, changes, 500);
            case REJECTED_REQUESTS -> injectFor(endpoint, FakeRegistry.Fault.RATE_LIMITED, changes, 500);
            case LAGGING_ENDPOINT -> lag(endpoint, changes);
            case COMPACTION_WITHIN_LIST -> compactWithinList();
            case SLOW_ENDPOINT -> {
                endpoint.delayMillis = 200;
                makeChanges(changes);
                pause(300);
                endpoint.delayMillis = 0;
            }
            case RESTART -> restart(changes);
            default -> throw new AssertionError(kind);
        }
    }

    private void injectFor(FakeRegistryEndpoint endpoint, FakeRegistry.Fault fault, int changes, long millis) {
        endpoint.injectFault(fault);
        makeChanges(changes);
        pause(millis);
        endpoint.injectFault(FakeRegistry.Fault.NONE);
    }

    private void compactWhileDown(int changes) {
        takeDown();
        makeChanges(changes);
        registry.compact();
        pause(200);
        bringUp();
    }

    private void compactWithinList() {
        registry.etcd.betweenPages = () -> {
            registry.etcd.betweenPages = () -> {};
            registry.put("broken", "?");
            registry.compact();
        };
        registry.closeAllConnections();
    }

    private void lag(FakeRegistryEndpoint endpoint, int changes) {
        endpoint.revisionsBehind = 40;
        makeChanges(changes);
        registry.closeAllConnections();
        pause(500);
        endpoint.revisionsBehind = 0;
        makeChanges(1);
    }

    private void restart(int changes) {
        long now = clock.micros();
        clients.forEach(client -> {
            client.firstConnectionMicros = 0;
            client.recordConnectionAfterMicros = now;
        });
        takeDown();
        bringUp();
        makeChanges(changes);
        pause(RECONNECT_MILLIS);
        clients.forEach(client -> reconnectsMicros.add(client.firstConnectionMicros));
    }

    private void restore(long toRevision, String cluster, long newRevision) {
        takeDown();
        model.restore(toRevision, cluster, newRevision);
        bringUp();
    }

    private void takeDown() {
        model.downSinceMicros = clock.micros();
        registry.endpoints.forEach(endpoint -> endpoint.injectFault(FakeRegistry.Fault.DOWN));
    }

    private void bringUp() {
        model.reachableSinceMicros = clock.micros();
        model.downSinceMicros = Long.MAX_VALUE;
        registry.endpoints.forEach(endpoint -> endpoint.injectFault(FakeRegistry.Fault.NONE));
    }
}
