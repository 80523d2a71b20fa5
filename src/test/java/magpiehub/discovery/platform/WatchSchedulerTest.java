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
 * Watches, and the routing policy that requests them, against a simulated discovery: whatever went wrong
 * before, what it has and could deliver is in force 6 s later.
 */
class WatchSchedulerTest {
    private static final long MAX_DELAY = 6 * SECONDS;

    /** An outage of each kind and of drawn length, with a second one soon after, a watch that is lost right
     *  after it opened, or a move; a change at a drawn moment from discovery's return on. */
    @Test
    void listIsCurrentInTimeAfterAnOutage() throws Exception {
        for (int seed = 1; seed <= 20; seed++) {
            for (Outage outage : Outage.values()) {
                SplittableRandom random = new SplittableRandom(seed * 31L + outage.number);
                int routers = new int[] {3, 30, 100}[seed % 3];
                // Discovery can serve the fleet within a third of the time; a longer queue would delay the list anyway.
                WatchSimulation simulation = WatchSimulation.start(routers, 2 * SECONDS / routers, seed);
                long back = runOutage(simulation, outage, random);
                long change = back + random.nextLong(5 * SECONDS);
                simulation.runUntil(change + MAX_DELAY);
                for (Router router : simulation.routers) {
                    assertTrue(
                            router.currentAt >= change,
                            outage + ", seed " + seed + ": told " + (router.currentAt - change) / MILLIS
                                    + " ms after the change");
                    assertTrue(router.maxOpenCalls <= 3, "calls of one router at once: " + router.maxOpenCalls);
                }
            }
        }
    }

    /** Plays an outage with a move or a second outage, where they are drawn; returns when discovery is back. */
    private static long runOutage(WatchSimulation simulation, Outage outage, SplittableRandom random) {
        Discovery discovery = simulation.discoveries.get(0);
        long back = simulation.now + 200 * MILLIS + random.nextLong(15 * SECONDS);
        simulation.beginOutage(discovery, outage, back);
        boolean moves = random.nextInt(3) == 0;
        long movesAt = simulation.now + random.nextLong(back - simulation.now);
        boolean again = !moves && random.nextInt(3) == 0;
        while (simulation.now < back) {
            if (moves && simulation.now >= movesAt) {
                moves = false;
                // The new address is down as well, in a way of its own, and back at the same time.
                simulation.beginOutage(simulation.discoveries.get(1), Outage.values()[random.nextInt(5)], back);
                simulation.routers.forEach(router -> router.watches.changeAddress("b", simulation.now));
            }
            simulation.step();
        }
        if (!again) {
            return back;
        }
        // Some watches open, and all is lost once more.
        simulation.runUntil(simulation.now + random.nextLong(SECONDS));
        long backAgain = simulation.now + 100 * MILLIS;
        simulation.beginOutage(discovery, Outage.values()[random.nextInt(5)], backAgain);
        return backAgain;
    }

    /** The longest time to a list, from the moment in which discovery can be reached. */
    @Test
    void queuedCallIsAnsweredInTimeAfterAnOutage() throws Exception {
        for (Outage outage : Outage.values()) {
            for (int seed = 1; seed <= 20; seed++) {
                WatchSimulation simulation = WatchSimulation.start(30, 10 * MILLIS, seed);
                long back = simulation.now + 100 * MILLIS * seed + 3 * SECONDS;
                simulation.beginOutage(simulation.discoveries.get(0), outage, back);
                simulation.runUntil(back + MAX_DELAY - WatchSimulation.MAX_QUEUED);
                for (Router router : simulation.routers) {
                    assertTrue(
                            router.currentAt >= back,
                            outage + ", seed " + seed + ": no room left for an answer that waits");
                }
            }
        }
    }

    /** All open watches fall silent in one moment, while discovery serves calls as before: whenever the last
     *  heartbeat was, what they miss is in force 6 s after that moment. */
    @Test
    void listIsCurrentInTimeAfterWatchesFallSilent() throws Exception {
        for (int seed = 1; seed <= 40; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            int routers = new int[] {3, 6, 12, 30, 100}[seed % 5];
            // What the platform's discovery needs to serve all of its routers.
            WatchSimulation simulation = WatchSimulation.start(routers, 2 * SECONDS / routers, seed);
            simulation.heartbeatInterval = 2 * SECONDS;
            simulation.runUntil(simulation.now + random.nextLong(5 * SECONDS));
            Discovery discovery = simulation.discoveries.get(0);
            discovery.watches.forEach(call -> call.served = false);
            discovery.watches.clear();
            long silent = simulation.now;
            simulation.runUntil(silent + MAX_DELAY);
            for (Router router : simulation.routers) {
                assertTrue(
                        router.currentAt > silent,
                        "seed " + seed + ": last told " + (silent - router.currentAt) / MILLIS
                                + " ms before the silence");
            }
        }
    }

    /** The calls of a fleet to a discovery that is down, and to one that has just come back. */
    @Test
    void fleetDoesNotReconnectAtOnce() throws Exception {
        WatchSimulation simulation = WatchSimulation.start(100, 20 * MILLIS, 3);
        Discovery discovery = simulation.discoveries.get(0);
        simulation.beginOutage(discovery, Outage.REFUSES, simulation.now + 10 * SECONDS);
        int callsBefore = discovery.calls;
        simulation.runUntil(discovery.outageUntil);
        assertTrue(
                discovery.calls - callsBefore <= 100 * 10 * 0.8,
                "calls to a discovery that is down, a router and second: " + (discovery.calls - callsBefore) / 1000.0);
        int most = 0;
        for (int i = 0; i < 60; i++) {
            int from = discovery.calls;
            for (int k = 0; k < 20; k++) {
                simulation.step();
            }
            most = Math.max(most, discovery.calls - from);
        }
        assertTrue(most <= 20, "calls in 0.1 s after its return: " + most);
    }

    /** Nobody can vouch for the list then; sending nothing would make its outage one of service. */
    @Test
    void lastListIsUsedDuringAnOutage() throws Exception {
        for (Outage outage : List.of(Outage.REFUSES, Outage.NEVER_CONNECTS, Outage.SAYS_503, Outage.CUTS)) {
            for (int seed = 1; seed <= 20; seed++) {
                WatchSimulation simulation = WatchSimulation.start(1, 10 * MILLIS, seed);
                Router router = simulation.routers.get(0);
                simulation.beginOutage(simulation.discoveries.get(0), outage, Long.MAX_VALUE);
                for (int second = 1; second <= 60; second++) {
                    assertTrue(
                            isSentAfterASecond(simulation, router), outage + ", seed " + seed + ": " + second + " s");
                }
            }
        }
    }

    /** A discovery that accepts calls can be reached: only after several in vain is it taken for one that is down. */
    @Test
    void listIsPutAsideWhileCallsAreNotAnswered() throws Exception {
        for (int seed = 1; seed <= 20; seed++) {
            WatchSimulation simulation = WatchSimulation.start(1, 10 * MILLIS, seed);
            simulation.heartbeatInterval = 2 * SECONDS;
            simulation.runUntil(simulation.now + 5 * SECONDS);
            Router router = simulation.routers.get(0);
            long lastHeartbeat = router.heartbeatAt();
            simulation.beginOutage(simulation.discoveries.get(0), Outage.NEVER_ANSWERS, Long.MAX_VALUE);
            simulation.runUntil(lastHeartbeat + 7 * SECONDS);
            assertTrue(router.mayUseList(), "seed " + seed + ": put aside too early");
            simulation.runUntil(lastHeartbeat + 7_500 * MILLIS);
            assertFalse(router.mayUseList(), "seed " + seed + ": not put aside");
            assertFalse(isSent(simulation, router), "seed " + seed + ": sent by a list that was put aside");
            simulation.runUntil(lastHeartbeat + 12 * SECONDS);
            for (int second = 12; second <= 60; second++) {
                assertTrue(isSentAfterASecond(simulation, router), "seed " + seed + ": " + second + " s");
            }
        }
    }

    /** What it missed while it was silent it may never deliver: its later heartbeats say nothing of the list. */
    @Test
    void dataOfASilentWatchRenewsNoLease() throws Exception {
        WatchSimulation simulation = WatchSimulation.start(1, 10 * MILLIS, 5);
        Router router = simulation.routers.get(0);
        SimulatedCall silent = router.watch;
        long fellSilent = router.heartbeatAt();
        simulation.beginOutage(simulation.discoveries.get(0), Outage.NEVER_ANSWERS, Long.MAX_VALUE);
        simulation.runUntil(fellSilent + 4_500 * MILLIS);
        for (int beat = 0; beat < 6; beat++) {
            router.onDataOf(silent);
            simulation.runUntil(simulation.now + 500 * MILLIS);
        }
        assertFalse(router.mayUseList());
    }

    private static boolean isSentAfterASecond(WatchSimulation simulation, Router router) {
        simulation.runUntil(simulation.now + SECONDS);
        return isSent(simulation, router);
    }

    /** Whether a request that comes now is sent. */
    private static boolean isSent(WatchSimulation simulation, Router router) {
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

    /** A watch that had fallen silent is no reason to stop calling when it delivers again, nor to call later. */
    @Test
    void dataOfASilentWatchDelaysNoCall() throws Exception {
        WatchSimulation simulation = WatchSimulation.start(1, 10 * MILLIS, 5);
        Discovery discovery = simulation.discoveries.get(0);
        Router router = simulation.routers.get(0);
        SimulatedCall old = router.watch;
        old.served = false;
        discovery.watches.remove(old);
        discovery.outage = Outage.REFUSES;
        discovery.outageFrom = simulation.now;
        long silent = simulation.now;
        long lastCall = simulation.now + 4 * SECONDS;
        int calls = discovery.calls;
        for (long end = simulation.now + 60 * SECONDS; simulation.now < end; ) {
            simulation.step();
            if (simulation.now % SECONDS == SECONDS / 2 && simulation.now > silent + 4 * SECONDS) {
                router.watches.onData(old, simulation.now);
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
        assertFalse(old.closed, "the silent one counts still");
    }
}
