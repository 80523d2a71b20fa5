package magpiehub.discovery.platform;

import static magpiehub.discovery.platform.WatchSimulation.MILLIS;
import static magpiehub.discovery.platform.WatchSimulation.SECONDS;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.SplittableRandom;
import magpiehub.discovery.platform.WatchSimulation.Discovery;
import magpiehub.discovery.platform.WatchSimulation.Outage;
import magpiehub.discovery.platform.WatchSimulation.Router;
import magpiehub.discovery.platform.WatchSimulation.SimulatedCall;
import magpiehub.routing.EndpointListKind;
import magpiehub.routing.RoutingRequest;
import org.junit.jupiter.api.Test;

/**
 * Runs the watch scheduler, and the routing policy that requests watches, against a simulated discovery. After any
 * failure, a list that discovery can deliver must be in use within 6 s.
 */
class WatchSchedulerTest {
    private static final long MAX_DELAY = 6 * SECONDS;

    /**
     * An outage of each kind and of random length, in some runs with a change of discovery's address or with a second
     * outage, which ends watches that have just opened. The list changes at a random time after discovery's recovery.
     */
    @Test
    void listIsCurrentInTimeAfterAnOutage() throws Exception {
        for (int seed = 1; seed <= 20; seed++) {
            for (Outage outage : Outage.values()) {
                SplittableRandom random = new SplittableRandom(seed * 31L + outage.number);
                int routers = new int[] {3, 30, 100}[seed % 3];
                // Discovery can serve the whole fleet within a third of the time limit; otherwise its queue alone
                // could delay the list for too long.
                WatchSimulation simulation = WatchSimulation.start(routers, 2 * SECONDS / routers, seed);
                long recoveredAt = runOutage(simulation, outage, random);
                long changedAt = recoveredAt + random.nextLong(5 * SECONDS);
                simulation.runUntil(changedAt + MAX_DELAY);
                for (Router router : simulation.routers) {
                    assertTrue(
                            router.currentAt >= changedAt,
                            outage + ", seed " + seed + ": list last current " + (router.currentAt - changedAt) / MILLIS
                                    + " ms after the change");
                    assertTrue(router.maxOpenCalls <= 3, "concurrent calls of one router: " + router.maxOpenCalls);
                }
            }
        }
    }

    /** Simulates an outage, at random with an address change or a second outage; returns the time of recovery. */
    private static long runOutage(WatchSimulation simulation, Outage outage, SplittableRandom random) {
        Discovery discovery = simulation.discoveries.get(0);
        long recoveredAt = simulation.now + 200 * MILLIS + random.nextLong(15 * SECONDS);
        simulation.beginOutage(discovery, outage, recoveredAt);
        boolean addressChanges = random.nextInt(3) == 0;
        long addressChangesAt = simulation.now + random.nextLong(recoveredAt - simulation.now);
        boolean hasSecondOutage = !addressChanges && random.nextInt(3) == 0;
        while (simulation.now < recoveredAt) {
            if (addressChanges && simulation.now >= addressChangesAt) {
                addressChanges = false;
                // The new address is down as well, with an outage kind of its own, and recovers at the same time.
                simulation.beginOutage(simulation.discoveries.get(1), Outage.values()[random.nextInt(5)], recoveredAt);
                simulation.routers.forEach(router -> router.watches.changeAddress("b", simulation.now));
            }
            simulation.step();
        }
        if (!hasSecondOutage) {
            return recoveredAt;
        }
        // Some watches open before the second outage begins.
        simulation.runUntil(simulation.now + random.nextLong(SECONDS));
        long recoveredAgainAt = simulation.now + 100 * MILLIS;
        simulation.beginOutage(discovery, Outage.values()[random.nextInt(5)], recoveredAgainAt);
        return recoveredAgainAt;
    }

    /** After recovery, each router calls early enough for a response that waits for the maximum time in the queue. */
    @Test
    void queuedCallIsAnsweredInTimeAfterAnOutage() throws Exception {
        for (Outage outage : Outage.values()) {
            for (int seed = 1; seed <= 20; seed++) {
                WatchSimulation simulation = WatchSimulation.start(30, 10 * MILLIS, seed);
                long recoveredAt = simulation.now + 100 * MILLIS * seed + 3 * SECONDS;
                simulation.beginOutage(simulation.discoveries.get(0), outage, recoveredAt);
                simulation.runUntil(recoveredAt + MAX_DELAY - WatchSimulation.MAX_QUEUED);
                for (Router router : simulation.routers) {
                    assertTrue(
                            router.currentAt >= recoveredAt,
                            outage + ", seed " + seed + ": no time left for a queued response");
                }
            }
        }
    }

    /**
     * All open watches fall silent at the same moment, while discovery serves calls as before. Changes that the watches
     * miss must be in use 6 s after that moment, whenever the last heartbeat was.
     */
    @Test
    void listIsCurrentInTimeAfterWatchesFallSilent() throws Exception {
        for (int seed = 1; seed <= 40; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            int routers = new int[] {3, 6, 12, 30, 100}[seed % 5];
            // The platform's discovery needs 2 s to serve all of its routers.
            WatchSimulation simulation = WatchSimulation.start(routers, 2 * SECONDS / routers, seed);
            simulation.heartbeatInterval = 2 * SECONDS;
            simulation.runUntil(simulation.now + random.nextLong(5 * SECONDS));
            Discovery discovery = simulation.discoveries.get(0);
            discovery.watches.forEach(call -> call.served = false);
            discovery.watches.clear();
            long silentSince = simulation.now;
            simulation.runUntil(silentSince + MAX_DELAY);
            for (Router router : simulation.routers) {
                assertTrue(
                        router.currentAt > silentSince,
                        "seed " + seed + ": list last current " + (silentSince - router.currentAt) / MILLIS
                                + " ms before the watches fell silent");
            }
        }
    }

    /** Limits the rate of a fleet's calls to a discovery that is down or has just recovered. */
    @Test
    void fleetDoesNotReconnectAtOnce() throws Exception {
        WatchSimulation simulation = WatchSimulation.start(100, 20 * MILLIS, 3);
        Discovery discovery = simulation.discoveries.get(0);
        simulation.beginOutage(discovery, Outage.CONNECTION_REFUSED, simulation.now + 10 * SECONDS);
        int callsBefore = discovery.calls;
        simulation.runUntil(discovery.outageUntil);
        assertTrue(
                discovery.calls - callsBefore <= 100 * 10 * 0.8,
                "calls per router and second to a discovery that is down: " + (discovery.calls - callsBefore) / 1000.0);
        int maxCalls = 0;
        for (int i = 0; i < 60; i++) {
            int before = discovery.calls;
            for (int k = 0; k < 20; k++) {
                simulation.step();
            }
            maxCalls = Math.max(maxCalls, discovery.calls - before);
        }
        assertTrue(maxCalls <= 20, "calls within 0.1 s after its recovery: " + maxCalls);
    }

    /** The list can't be confirmed during an outage, but not using it would turn the outage into one of the service. */
    @Test
    void lastListIsUsedDuringAnOutage() throws Exception {
        for (Outage outage : List.of(
                Outage.CONNECTION_REFUSED, Outage.CONNECT_TIMEOUT, Outage.STATUS_503, Outage.CONNECTION_CLOSED)) {
            for (int seed = 1; seed <= 20; seed++) {
                WatchSimulation simulation = WatchSimulation.start(1, 10 * MILLIS, seed);
                Router router = simulation.routers.get(0);
                simulation.beginOutage(simulation.discoveries.get(0), outage, Long.MAX_VALUE);
                for (int second = 1; second <= 60; second++) {
                    assertTrue(
                            isRequestSentAfterASecond(simulation, router),
                            outage + ", seed " + seed + ": " + second + " s");
                }
            }
        }
    }

    /** A discovery that accepts calls is reachable; it is considered down only after several unanswered calls. */
    @Test
    void listIsNotUsedWhileCallsAreUnanswered() throws Exception {
        for (int seed = 1; seed <= 20; seed++) {
            WatchSimulation simulation = WatchSimulation.start(1, 10 * MILLIS, seed);
            simulation.heartbeatInterval = 2 * SECONDS;
            simulation.runUntil(simulation.now + 5 * SECONDS);
            Router router = simulation.routers.get(0);
            long lastHeartbeat = router.heartbeatAt();
            simulation.beginOutage(simulation.discoveries.get(0), Outage.NO_RESPONSE, Long.MAX_VALUE);
            simulation.runUntil(lastHeartbeat + 7 * SECONDS);
            assertTrue(router.mayUseList(), "seed " + seed + ": lease expired too early");
            simulation.runUntil(lastHeartbeat + 7_500 * MILLIS);
            assertFalse(router.mayUseList(), "seed " + seed + ": lease not expired");
            assertFalse(
                    isRequestSent(simulation, router),
                    "seed " + seed + ": request sent although the lease had expired");
            simulation.runUntil(lastHeartbeat + 12 * SECONDS);
            for (int second = 12; second <= 60; second++) {
                assertTrue(isRequestSentAfterASecond(simulation, router), "seed " + seed + ": " + second + " s");
            }
        }
    }

    /** A silent watch may never deliver the changes that it missed, so its later heartbeats do not confirm the list. */
    @Test
    void dataOfASilentWatchRenewsNoLease() throws Exception {
        WatchSimulation simulation = WatchSimulation.start(1, 10 * MILLIS, 5);
        Router router = simulation.routers.get(0);
        SimulatedCall silent = router.watch;
        long lastHeartbeat = router.heartbeatAt();
        simulation.beginOutage(simulation.discoveries.get(0), Outage.NO_RESPONSE, Long.MAX_VALUE);
        simulation.runUntil(lastHeartbeat + 4_500 * MILLIS);
        for (int heartbeat = 0; heartbeat < 6; heartbeat++) {
            router.onDataOf(silent);
            simulation.runUntil(simulation.now + 500 * MILLIS);
        }
        assertFalse(router.mayUseList());
    }

    private static boolean isRequestSentAfterASecond(WatchSimulation simulation, Router router) {
        simulation.runUntil(simulation.now + SECONDS);
        return isRequestSent(simulation, router);
    }

    /** Whether a request that arrives now is sent to an endpoint. */
    private static boolean isRequestSent(WatchSimulation simulation, Router router) {
        int before = router.sentTo.size();
        router.policy.onRequest(
                simulation.now,
                new RoutingRequest(
                        "at" + simulation.now,
                        0,
                        0,
                        simulation.now,
                        0,
                        simulation.now + 4 * SECONDS,
                        0,
                        10,
                        0,
                        10,
                        false,
                        false,
                        false));
        return router.sentTo.size() == before + 1;
    }

    /** When a silent watch delivers data again, calls to discovery must neither stop nor be delayed. */
    @Test
    void dataOfASilentWatchDelaysNoCall() throws Exception {
        WatchSimulation simulation = WatchSimulation.start(1, 10 * MILLIS, 5);
        Discovery discovery = simulation.discoveries.get(0);
        Router router = simulation.routers.get(0);
        SimulatedCall silent = router.watch;
        silent.served = false;
        discovery.watches.remove(silent);
        discovery.outage = Outage.CONNECTION_REFUSED;
        discovery.outageFrom = simulation.now;
        long silentSince = simulation.now;
        long lastCall = simulation.now + 4 * SECONDS;
        int calls = discovery.calls;
        for (long end = simulation.now + 60 * SECONDS; simulation.now < end; ) {
            simulation.step();
            if (simulation.now % SECONDS == SECONDS / 2 && simulation.now > silentSince + 4 * SECONDS) {
                router.watches.onData(silent, simulation.now);
                router.policy.onEndpoints(simulation.now, EndpointListKind.CHANGES, List.of());
                if (router.watches.lacksReliableWatch()) {
                    router.policy.onEndpoints(simulation.now, EndpointListKind.ERROR, List.of());
                }
            }
            if (discovery.calls > calls) {
                calls = discovery.calls;
                lastCall = simulation.now;
            }
            assertTrue(
                    simulation.now - lastCall <= 2_600 * MILLIS,
                    "no call for " + (simulation.now - lastCall) / MILLIS + " ms");
        }
        assertFalse(silent.closed, "the silent watch must stay in use");
    }
}
