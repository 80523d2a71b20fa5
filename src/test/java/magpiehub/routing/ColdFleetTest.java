package magpiehub.routing;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Routers in virtual time and replicas that warm up: what all routers together send to one of them. */
class ColdFleetTest {
    private static final long SECOND = 1_000_000;
    private static final long STEP = 10_000;
    private static final long WARM_UP = 9 * SECOND;
    private static final long OVERLOAD_WINDOW = SECOND;
    private static final double OVERLOAD_FACTOR = 4;
    private static final double INITIAL_CAPACITY = 0.3;
    /** The part of the warm replicas' capacity that the traffic takes. */
    private static final double LOAD = 0.6;

    private record Planned(long at, Runnable what) {}

    private static final class Fleet {
        final SplittableRandom random;
        final List<Router> routers = new ArrayList<>();
        final List<Endpoint> replicas = new ArrayList<>();
        final Map<String, List<Long>> sent = new HashMap<>();
        final PriorityQueue<Planned> agenda = new PriorityQueue<>((a, b) -> Long.compare(a.at, b.at));
        final double[] shares;
        final double requestsPerSecond;
        final List<Long> sessions = new ArrayList<>();
        long now = 100 * SECOND;
        int ids;

        Fleet(int count, int engines, double requestsPerSecond, boolean even, long seed) {
            random = new SplittableRandom(seed);
            this.requestsPerSecond = requestsPerSecond;
            shares = new double[count];
            double sum = 0;
            for (int i = 0; i < count; i++) {
                // Some get several times the mean, most get little.
                shares[i] = even ? 1 : 1.0 / (1 + i);
                sum += shares[i];
            }
            for (int i = 0; i < engines; i++) {
                replicas.add(new Endpoint("10.1.0." + i + ":" + seed, i % 2, 0, 0, EndpointState.LIVE, 1, 0));
            }
            for (int i = 0; i < count; i++) {
                shares[i] /= sum;
                routers.add(new Router(this, i));
            }
        }

        double requestsPerReplica() {
            return requestsPerSecond / replicas.size();
        }

        void run(long us) {
            for (long end = now + us; now < end; ) {
                now += STEP;
                while (!agenda.isEmpty() && agenda.peek().at <= now) {
                    agenda.poll().what.run();
                }
                routers.forEach(Router::step);
                for (double x = requestsPerSecond * STEP / SECOND; x > 0; x--) {
                    if (random.nextDouble() < x) {
                        submit(
                                random.nextInt(10) < 3 && !sessions.isEmpty()
                                        ? sessions.get(random.nextInt(sessions.size()))
                                        : newSession(),
                                false);
                    }
                }
            }
        }

        private long newSession() {
            long s = random.nextLong();
            sessions.add(s);
            return s;
        }

        void submit(long session, boolean continuation) {
            double x = random.nextDouble();
            int i = 0;
            while (i < shares.length - 1 && x >= shares[i]) {
                x -= shares[i++];
            }
            routers.get(i).submit(session, continuation);
        }

        /** Replicas restart, all routers get the list within a moment, and some of those restart as well. */
        void restartReplicas(int count, boolean restarts) {
            for (int i = 0; i < count; i++) {
                Endpoint w = replicas.get(i);
                replicas.set(i, new Endpoint(w.id(), w.zone(), 0, 0, EndpointState.LIVE, 1, now));
            }
            List<Endpoint> list = List.copyOf(replicas);
            for (Router r : routers) {
                agenda.add(new Planned(
                        now + random.nextLong(300_000),
                        () -> r.policy.onEndpoints(now, EndpointListKind.COMPLETE, list)));
                if (restarts && random.nextInt(10) < 7) {
                    agenda.add(new Planned(now + 300_000 + random.nextLong(2 * SECOND), () -> r.start(list)));
                }
            }
        }
    }

    private static final class Router extends QuietActions {
        final Fleet fleet;
        final int instanceIndex;
        final Map<String, RoutingRequest> open = new HashMap<>();
        final Map<String, Integer> attemptCounts = new HashMap<>();
        RoutingPolicy policy;
        long timer;

        Router(Fleet fleet, int instanceIndex) {
            this.fleet = fleet;
            this.instanceIndex = instanceIndex;
            start(fleet.replicas);
        }

        void start(List<Endpoint> list) {
            RoutingSettings defaults = RoutingPolicyFixture.settings(fleet.shares.length);
            Guarantees guarantees = new Guarantees(
                    8_000, 10 * SECOND, WARM_UP, OVERLOAD_WINDOW, OVERLOAD_FACTOR, INITIAL_CAPACITY, 2 * SECOND);
            open.clear();
            policy = new RoutingPolicy(
                    new RoutingSettings(
                            instanceIndex,
                            fleet.shares.length,
                            instanceIndex % 2,
                            2,
                            false,
                            false,
                            defaults.weightMeaning(),
                            0.1,
                            defaults.classes(),
                            List.of(),
                            defaults.limits(),
                            guarantees,
                            defaults.costs()),
                    fleet.random.nextLong(),
                    this,
                    fleet.now);
            policy.onEndpoints(fleet.now, EndpointListKind.COMPLETE, List.copyOf(list));
        }

        void step() {
            if (timer <= fleet.now) {
                policy.onTimer(fleet.now, 1);
            }
        }

        void submit(long session, boolean continuation) {
            submit(session, 0, continuation);
        }

        void submit(long session, long prefix, boolean continuation) {
            String id = "r" + fleet.ids++;
            RoutingRequest r = new RoutingRequest(
                    id, 0, 0, session, prefix, fleet.now + 4 * SECOND, 0, 1000, 0, 100, false, false, continuation);
            open.put(id, r);
            policy.onRequest(fleet.now, r);
        }

        @Override
        public void sendAttempt(String id, String replica, long timeout) {
            fleet.sent.computeIfAbsent(replica, k -> new ArrayList<>()).add(fleet.now);
            int n = attemptCounts.merge(id, 1, Integer::sum) - 1;
            RoutingPolicy recipient = policy;
            RoutingRequest r = open.get(id);
            int how = fleet.random.nextInt(100);
            if (how < 4) { // Fails, and is tried elsewhere.
                AttemptOutcome outcome = how < 2 ? AttemptOutcome.RESET : AttemptOutcome.CONNECT_FAILED;
                fleet.agenda.add(new Planned(
                        fleet.now + 20_000,
                        () -> recipient.onAttemptEnded(fleet.now, id, n, outcome, 20_000, false, -1, null)));
                return;
            }
            fleet.agenda.add(
                    new Planned(fleet.now + 60_000, () -> recipient.onStreamStarted(fleet.now, id, n, 60_000)));
            boolean breaks = how < 8;
            fleet.agenda.add(new Planned(fleet.now + 500_000, () -> {
                recipient.onAttemptEnded(
                        fleet.now, id, n, breaks ? AttemptOutcome.RESET : AttemptOutcome.OK, 500_000, true, 800, null);
                if (breaks) {
                    fleet.submit(r.sessionId(), true); // Its client asks for the rest.
                }
            }));
        }

        @Override
        public void setTimer(long at, long token) {
            timer = at;
        }
    }

    /** The capacity that is promised for an age, as a part of a warm replica's. */
    private static double capacity(long age) {
        return Math.min(1, INITIAL_CAPACITY + (1 - INITIAL_CAPACITY) * age / WARM_UP);
    }

    /** In every window that the rule looks at: the budget, and twice its root and two for chance. */
    private static void assertWithinBudget(Fleet fleet, String replica, long since, String what) {
        List<Long> at = fleet.sent.getOrDefault(replica, List.of());
        for (int from = 0, to = 0; from < at.size(); from++) {
            if (at.get(from) < since) {
                continue;
            }
            while (to < at.size() && at.get(to) < at.get(from) + OVERLOAD_WINDOW) {
                to++;
            }
            double n = OVERLOAD_FACTOR
                    * capacity(at.get(from) - since)
                    * fleet.requestsPerReplica()
                    / LOAD
                    * OVERLOAD_WINDOW
                    / SECOND;
            assertTrue(
                    to - from <= n + 2 * Math.sqrt(n) + 2,
                    what + ": " + (to - from) + " in a window that allows " + n + ", " + (at.get(from) - since) / 1000
                            + " ms after the start");
        }
        long last = since;
        for (long t : at) {
            // Of chance alone, one in three thousand times of this length has none.
            assertTrue(
                    t - last <= 8 * SECOND / (INITIAL_CAPACITY * fleet.requestsPerReplica()),
                    what + ": unused for " + (t - last) / 1000 + " ms");
            last = t;
        }
    }

    private static double fairShare(Fleet fleet) {
        return fleet.requestsPerReplica() * (INITIAL_CAPACITY + 1) / 2 * WARM_UP / SECOND;
    }

    @Test
    void theSumOfAllRoutersStaysWithinTheBudget() {
        for (int routers : new int[] {3, 12, 30, 100}) {
            double got = 0;
            double due = 0;
            for (int seed = 1; seed <= 20; seed++) {
                int engines = routers <= 12 ? 12 : 48;
                Fleet fleet = new Fleet(routers, engines, 6.0 * engines, seed % 2 == 0, seed);
                fleet.run(15 * SECOND);
                fleet.sent.clear();
                long since = fleet.now;
                int cold = seed % 4 < 2 ? 1 : engines * 2 / 5;
                fleet.restartReplicas(cold, seed % 3 == 0);
                fleet.run(WARM_UP);
                for (int i = 0; i < cold; i++) {
                    String id = fleet.replicas.get(i).id();
                    assertWithinBudget(fleet, id, since, routers + " routers, seed " + seed + ", " + cold + " cold");
                    got += fleet.sent.getOrDefault(id, List.of()).size();
                    due += fairShare(fleet);
                }
            }
            assertTrue(got >= 0.6 * due, routers + " routers send cold servers " + got / due + " of their due");
        }
    }

    /** Little and uneven traffic: no router sends any one replica a request in ten seconds. */
    @Test
    void routersThatSendLittleUseAColdServerTogether() {
        double got = 0;
        double due = 0;
        for (int seed = 1; seed <= 20; seed++) {
            Fleet fleet = new Fleet(100, 60, 70, seed % 2 == 0, seed);
            fleet.run(15 * SECOND);
            fleet.sent.clear();
            long since = fleet.now;
            fleet.restartReplicas(24, false);
            fleet.run(WARM_UP);
            for (int i = 0; i < 24; i++) {
                assertWithinBudget(fleet, fleet.replicas.get(i).id(), since, "seed " + seed);
                got += fleet.sent
                        .getOrDefault(fleet.replicas.get(i).id(), List.of())
                        .size();
                due += fairShare(fleet);
            }
        }
        assertTrue(got >= 0.6 * due, "of their due: " + got / due);
    }

    /** The hard case: thirty routers that send one warming replica their first requests in one moment,
     *  since no other is left, or since all of them have the first requests of one new prefix. */
    @Test
    void firstRequestsOfThirtyRoutersInOneWindow() {
        for (int seed = 1; seed <= 20; seed++) {
            for (long after : new long[] {100_000, 2 * SECOND, 5 * SECOND, 8 * SECOND}) {
                for (boolean prefix : new boolean[] {false, true}) {
                    // With two a second each, keys are spread by session or not: either on half of the seeds.
                    Fleet fleet = new Fleet(30, 12, seed % 2 == 0 ? 60 : 40, true, seed);
                    fleet.run(40 * SECOND);
                    String cold = fleet.replicas.get(0).id();
                    long key = prefix ? prefixPlacedAt(fleet, cold) : 0;
                    long since = fleet.now;
                    fleet.restartReplicas(1, false);
                    fleet.run(400_000);
                    fleet.now = since + Math.max(after, fleet.now - since);
                    List<Endpoint> one = new ArrayList<>();
                    for (Endpoint s : fleet.replicas) {
                        one.add(
                                s.id().equals(cold)
                                        ? s
                                        : new Endpoint(
                                                s.id(), s.zone(), 0, 0, EndpointState.DRAINING, 1, s.startedAt()));
                    }
                    fleet.sent.clear();
                    fleet.agenda.clear();
                    for (Router r : fleet.routers) {
                        if (!prefix) {
                            r.policy.onEndpoints(fleet.now, EndpointListKind.CHANGES, one);
                        }
                        r.submit(fleet.newSession(), key, false);
                        r.submit(fleet.newSession(), key, false);
                    }
                    int n = fleet.sent.getOrDefault(cold, List.of()).size();
                    double may = OVERLOAD_FACTOR
                            * capacity(fleet.now - since)
                            * fleet.requestsPerReplica()
                            / LOAD
                            * OVERLOAD_WINDOW
                            / SECOND;
                    assertTrue(
                            n <= may + 2 * Math.sqrt(may) + 2,
                            n + " at once, " + may + " allowed " + (fleet.now - since) / 1000
                                    + " ms after the start, seed " + seed + ", prefix " + prefix);
                }
            }
        }
    }

    /** A prefix that routers of both zones place at a replica first. */
    private static long prefixPlacedAt(Fleet fleet, String replica) {
        for (long key = 1; key < 5000; key++) {
            fleet.sent.clear();
            new Router(fleet, 0).submit(fleet.newSession(), key, false);
            new Router(fleet, 1).submit(fleet.newSession(), key, false);
            if (fleet.sent.getOrDefault(replica, List.of()).size() == 2) {
                return key;
            }
        }
        throw new AssertionError("no prefix leads to " + replica);
    }
}
