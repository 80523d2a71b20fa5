package magpiehub.routing;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Simulates routers in virtual time and checks what all of them together send to a warming replica. */
class SlowStartFleetTest {
    private static final long SECOND = 1_000_000;
    private static final long STEP = 10_000;
    private static final long WARM_UP = 9 * SECOND;
    private static final long OVERLOAD_WINDOW = SECOND;
    private static final double OVERLOAD_FACTOR = 4;
    private static final double INITIAL_CAPACITY = 0.3;
    /** Fraction of the warm replicas' capacity that the traffic needs. */
    private static final double LOAD = 0.6;

    private record ScheduledEvent(long at, Runnable event) {}

    /** The fleet, its routers and their traffic in virtual time. */
    private static final class Fleet {
        final SplittableRandom random;
        final List<Router> routers = new ArrayList<>();
        final List<Endpoint> replicas = new ArrayList<>();
        final Map<String, List<Long>> sent = new HashMap<>();
        final PriorityQueue<ScheduledEvent> eventQueue = new PriorityQueue<>((a, b) -> Long.compare(a.at, b.at));
        final double[] shares;
        final double requestsPerSecond;
        final List<Long> sessions = new ArrayList<>();
        long now = 100 * SECOND;
        int requestCount;

        Fleet(int count, int replicaCount, double requestsPerSecond, boolean even, long seed) {
            random = new SplittableRandom(seed);
            this.requestsPerSecond = requestsPerSecond;
            shares = new double[count];
            double sum = 0;
            for (int i = 0; i < count; i++) {
                // Uneven shares: few routers get several times the mean, most get little.
                shares[i] = even ? 1 : 1.0 / (1 + i);
                sum += shares[i];
            }
            for (int i = 0; i < replicaCount; i++) {
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

        void run(long micros) {
            for (long end = now + micros; now < end; ) {
                now += STEP;
                while (!eventQueue.isEmpty() && eventQueue.peek().at <= now) {
                    eventQueue.poll().event.run();
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
            long session = random.nextLong();
            sessions.add(session);
            return session;
        }

        void submit(long session, boolean continuation) {
            double x = random.nextDouble();
            int i = 0;
            while (i < shares.length - 1 && x >= shares[i]) {
                x -= shares[i++];
            }
            routers.get(i).submit(session, continuation);
        }

        /**
         * Restarts replicas; all routers get the new list within 300 ms, and optionally some routers restart as well.
         */
        void restartReplicas(int count, boolean restartsRouters) {
            for (int i = 0; i < count; i++) {
                Endpoint endpoint = replicas.get(i);
                replicas.set(i, new Endpoint(endpoint.id(), endpoint.zone(), 0, 0, EndpointState.LIVE, 1, now));
            }
            List<Endpoint> list = List.copyOf(replicas);
            for (Router r : routers) {
                eventQueue.add(new ScheduledEvent(
                        now + random.nextLong(300_000),
                        () -> r.policy.onEndpoints(now, EndpointListKind.COMPLETE, list)));
                if (restartsRouters && random.nextInt(10) < 7) {
                    eventQueue.add(
                            new ScheduledEvent(now + 300_000 + random.nextLong(2 * SECOND), () -> r.start(list)));
                }
            }
        }
    }

    /** A router whose attempts start after 60 ms and end after 500 ms; a few fail. */
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
                    RoutingSettingsBuilder.from(defaults)
                            .instance(instanceIndex, fleet.shares.length)
                            .ownZone(instanceIndex % 2)
                            .guarantees(guarantees)
                            .build(),
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
            String id = "r" + fleet.requestCount++;
            RoutingRequest r = new RoutingRequest(
                    id, 0, 0, session, prefix, fleet.now + 4 * SECOND, 0, 1000, 0, 100, false, false, continuation);
            open.put(id, r);
            policy.onRequest(fleet.now, r);
        }

        @Override
        public void sendAttempt(String id, String replica, long timeout, long writeDeadline) {
            fleet.sent.computeIfAbsent(replica, k -> new ArrayList<>()).add(fleet.now);
            int n = attemptCounts.merge(id, 1, Integer::sum) - 1;
            RoutingPolicy recipient = policy;
            RoutingRequest r = open.get(id);
            int draw = fleet.random.nextInt(100);
            if (draw < 4) { // Fails and is retried elsewhere.
                AttemptOutcome outcome = draw < 2 ? AttemptOutcome.RESET : AttemptOutcome.CONNECT_FAILED;
                fleet.eventQueue.add(new ScheduledEvent(
                        fleet.now + 20_000,
                        () -> recipient.onAttemptEnded(fleet.now, id, n, outcome, 20_000, false, -1, null)));
                return;
            }
            fleet.eventQueue.add(
                    new ScheduledEvent(fleet.now + 60_000, () -> recipient.onStreamStarted(fleet.now, id, n, 60_000)));
            boolean breaks = draw < 8;
            fleet.eventQueue.add(new ScheduledEvent(fleet.now + 500_000, () -> {
                recipient.onAttemptEnded(
                        fleet.now, id, n, breaks ? AttemptOutcome.RESET : AttemptOutcome.OK, 500_000, true, 800, null);
                if (breaks) {
                    fleet.submit(r.sessionId(), true); // The client continues the stream.
                }
            }));
        }

        @Override
        public void setTimer(long at, long token) {
            timer = at;
        }
    }

    /** Returns the guaranteed capacity at an age, as a fraction of a warm replica's. */
    private static double capacity(long age) {
        return Math.min(1, INITIAL_CAPACITY + (1 - INITIAL_CAPACITY) * age / WARM_UP);
    }

    /** Checks the limit in every window, with a margin for chance of twice its square root plus two. */
    private static void assertWithinLimit(Fleet fleet, String replica, long since, String description) {
        List<Long> sentAt = fleet.sent.getOrDefault(replica, List.of());
        for (int from = 0, to = 0; from < sentAt.size(); from++) {
            if (sentAt.get(from) < since) {
                continue;
            }
            while (to < sentAt.size() && sentAt.get(to) < sentAt.get(from) + OVERLOAD_WINDOW) {
                to++;
            }
            double n = OVERLOAD_FACTOR
                    * capacity(sentAt.get(from) - since)
                    * fleet.requestsPerReplica()
                    / LOAD
                    * OVERLOAD_WINDOW
                    / SECOND;
            assertTrue(
                    to - from <= n + 2 * Math.sqrt(n) + 2,
                    description + ": " + (to - from) + " in a window that allows " + n + ", "
                            + (sentAt.get(from) - since) / 1000 + " ms after the start");
        }
        long last = since;
        for (long t : sentAt) {
            // By chance alone, one in three thousand intervals of this length has no request.
            assertTrue(
                    t - last <= 8 * SECOND / (INITIAL_CAPACITY * fleet.requestsPerReplica()),
                    description + ": unused for " + (t - last) / 1000 + " ms");
            last = t;
        }
    }

    /** Returns the attempts that a warming replica gets by its capacity during its warm-up. */
    private static double fairShare(Fleet fleet) {
        return fleet.requestsPerReplica() * (INITIAL_CAPACITY + 1) / 2 * WARM_UP / SECOND;
    }

    @Test
    void allRoutersTogetherStayWithinTheLimit() {
        for (int routers : new int[] {3, 12, 30, 100}) {
            double sent = 0;
            double expected = 0;
            for (int seed = 1; seed <= 20; seed++) {
                int replicaCount = routers <= 12 ? 12 : 48;
                Fleet fleet = new Fleet(routers, replicaCount, 6.0 * replicaCount, seed % 2 == 0, seed);
                fleet.run(15 * SECOND);
                fleet.sent.clear();
                long since = fleet.now;
                int warming = seed % 4 < 2 ? 1 : replicaCount * 2 / 5;
                fleet.restartReplicas(warming, seed % 3 == 0);
                fleet.run(WARM_UP);
                for (int i = 0; i < warming; i++) {
                    String id = fleet.replicas.get(i).id();
                    assertWithinLimit(
                            fleet, id, since, routers + " routers, seed " + seed + ", " + warming + " warming");
                    sent += fleet.sent.getOrDefault(id, List.of()).size();
                    expected += fairShare(fleet);
                }
            }
            assertTrue(
                    sent >= 0.6 * expected,
                    routers + " routers send warming replicas " + sent / expected + " of their fair share");
        }
    }

    /** With little and uneven traffic, a router sends a single replica less than one request in ten seconds. */
    @Test
    void routersWithLittleTrafficUseAWarmingReplicaTogether() {
        double sent = 0;
        double expected = 0;
        for (int seed = 1; seed <= 20; seed++) {
            Fleet fleet = new Fleet(100, 60, 70, seed % 2 == 0, seed);
            fleet.run(15 * SECOND);
            fleet.sent.clear();
            long since = fleet.now;
            fleet.restartReplicas(24, false);
            fleet.run(WARM_UP);
            for (int i = 0; i < 24; i++) {
                assertWithinLimit(fleet, fleet.replicas.get(i).id(), since, "seed " + seed);
                sent += fleet.sent
                        .getOrDefault(fleet.replicas.get(i).id(), List.of())
                        .size();
                expected += fairShare(fleet);
            }
        }
        assertTrue(sent >= 0.6 * expected, "fraction of the fair share: " + sent / expected);
    }

    /**
     * The worst case: thirty routers send their first requests to one warming replica at the same time, because no
     * other replica is left or because all of them get the first requests of the same new prefix.
     */
    @Test
    void firstRequestsOfThirtyRoutersInOneWindow() {
        for (int seed = 1; seed <= 20; seed++) {
            for (long after : new long[] {100_000, 2 * SECOND, 5 * SECOND, 8 * SECOND}) {
                for (boolean prefix : new boolean[] {false, true}) {
                    // With two requests per second per router, keys are not spread by session; with the lower rate,
                    // they are. Half of the seeds use each.
                    Fleet fleet = new Fleet(30, 12, seed % 2 == 0 ? 60 : 40, true, seed);
                    fleet.run(40 * SECOND);
                    String warming = fleet.replicas.get(0).id();
                    long key = prefix ? prefixPlacedAt(fleet, warming) : 0;
                    long since = fleet.now;
                    fleet.restartReplicas(1, false);
                    fleet.run(400_000);
                    fleet.now = since + Math.max(after, fleet.now - since);
                    List<Endpoint> one = new ArrayList<>();
                    for (Endpoint s : fleet.replicas) {
                        one.add(
                                s.id().equals(warming)
                                        ? s
                                        : new Endpoint(
                                                s.id(), s.zone(), 0, 0, EndpointState.DRAINING, 1, s.startedAt()));
                    }
                    fleet.sent.clear();
                    fleet.eventQueue.clear();
                    for (Router r : fleet.routers) {
                        if (!prefix) {
                            r.policy.onEndpoints(fleet.now, EndpointListKind.CHANGES, one);
                        }
                        r.submit(fleet.newSession(), key, false);
                        r.submit(fleet.newSession(), key, false);
                    }
                    int n = fleet.sent.getOrDefault(warming, List.of()).size();
                    double limit = OVERLOAD_FACTOR
                            * capacity(fleet.now - since)
                            * fleet.requestsPerReplica()
                            / LOAD
                            * OVERLOAD_WINDOW
                            / SECOND;
                    assertTrue(
                            n <= limit + 2 * Math.sqrt(limit) + 2,
                            n + " at the same time, " + limit + " allowed " + (fleet.now - since) / 1000
                                    + " ms after the start, seed " + seed + ", prefix " + prefix);
                }
            }
        }
    }

    /** Returns a prefix that routers of both zones assign to the replica. */
    private static long prefixPlacedAt(Fleet fleet, String replica) {
        for (long key = 1; key < 5000; key++) {
            fleet.sent.clear();
            new Router(fleet, 0).submit(fleet.newSession(), key, false);
            new Router(fleet, 1).submit(fleet.newSession(), key, false);
            if (fleet.sent.getOrDefault(replica, List.of()).size() == 2) {
                return key;
            }
        }
        throw new AssertionError("no prefix is assigned to " + replica);
    }
}
