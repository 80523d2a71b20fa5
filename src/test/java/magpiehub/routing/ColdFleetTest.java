package magpiehub.routing;

import static org.junit.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.junit.Test;

/** A fleet of modules in virtual time, and servers that start cold: what all of them send together. */
public class ColdFleetTest {
    private static final long S = 1_000_000;
    private static final long STEP = 10_000;
    private static final long COLD = 9 * S;
    private static final long FALL = S;
    private static final double FACTOR = 4;
    private static final double START = 0.3;
    /** What part of the warm servers' capacity the traffic takes. */
    private static final double LOAD = 0.6;

    private record Due(long at, Runnable what) {}

    private static final class Fleet {
        final SplittableRandom random;
        final List<Router> routers = new ArrayList<>();
        final List<Endpoint> servers = new ArrayList<>();
        final Map<String, List<Long>> sent = new HashMap<>();
        final PriorityQueue<Due> dues = new PriorityQueue<>((a, b) -> Long.compare(a.at, b.at));
        final double[] shares;
        final double perS;
        final List<Long> sessions = new ArrayList<>();
        long now = 100 * S;
        int ids;

        Fleet(int count, int engines, double perS, boolean even, long seed) {
            random = new SplittableRandom(seed);
            this.perS = perS;
            shares = new double[count];
            double sum = 0;
            for (int i = 0; i < count; i++) {
                // Some get several times the mean, most get little.
                shares[i] = even ? 1 : 1.0 / (1 + i);
                sum += shares[i];
            }
            for (int i = 0; i < engines; i++) {
                servers.add(new Endpoint("10.1.0." + i + ":" + seed, i % 2, 0, 0, EndpointState.LIVE, 1, 0));
            }
            for (int i = 0; i < count; i++) {
                shares[i] /= sum;
                routers.add(new Router(this, i));
            }
        }

        double each() {
            return perS / servers.size();
        }

        void run(long us) {
            for (long end = now + us; now < end; ) {
                now += STEP;
                while (!dues.isEmpty() && dues.peek().at <= now) {
                    dues.poll().what.run();
                }
                routers.forEach(Router::step);
                for (double x = perS * STEP / S; x > 0; x--) {
                    if (random.nextDouble() < x) {
                        ask(
                                random.nextInt(10) < 3 && !sessions.isEmpty()
                                        ? sessions.get(random.nextInt(sessions.size()))
                                        : session(),
                                false);
                    }
                }
            }
        }

        private long session() {
            long s = random.nextLong();
            sessions.add(s);
            return s;
        }

        void ask(long session, boolean again) {
            double x = random.nextDouble();
            int i = 0;
            while (i < shares.length - 1 && x >= shares[i]) {
                x -= shares[i++];
            }
            routers.get(i).ask(session, again);
        }

        /** Servers start anew, all routers are told within a moment, and some of those start anew as well. */
        void cold(int count, boolean restarts) {
            for (int i = 0; i < count; i++) {
                Endpoint w = servers.get(i);
                servers.set(i, new Endpoint(w.id(), w.zone(), 0, 0, EndpointState.LIVE, 1, now));
            }
            List<Endpoint> list = List.copyOf(servers);
            for (Router r : routers) {
                dues.add(new Due(
                        now + random.nextLong(300_000),
                        () -> r.rules.onEndpoints(now, EndpointListKind.COMPLETE, list)));
                if (restarts && random.nextInt(10) < 7) {
                    dues.add(new Due(now + 300_000 + random.nextLong(2 * S), () -> r.start(list)));
                }
            }
        }
    }

    private static final class Router extends QuietActions {
        final Fleet fleet;
        final int me;
        final Map<String, RoutingRequest> open = new HashMap<>();
        final Map<String, Integer> tries = new HashMap<>();
        RoutingPolicy rules;
        long timer;

        Router(Fleet fleet, int me) {
            this.fleet = fleet;
            this.me = me;
            start(fleet.servers);
        }

        void start(List<Endpoint> list) {
            RoutingSettings t = RoutingPolicyFixture.settings(fleet.shares.length);
            Guarantees g = new Guarantees(8_000, 10 * S, COLD, FALL, FACTOR, START, 2 * S);
            open.clear();
            rules = new RoutingPolicy(
                    new RoutingSettings(
                            me,
                            fleet.shares.length,
                            me % 2,
                            2,
                            false,
                            false,
                            t.weightMeaning(),
                            0.1,
                            t.classes(),
                            List.of(),
                            t.limits(),
                            g,
                            t.costs()),
                    fleet.random.nextLong(),
                    this,
                    fleet.now);
            rules.onEndpoints(fleet.now, EndpointListKind.COMPLETE, List.copyOf(list));
        }

        void step() {
            if (timer <= fleet.now) {
                rules.onTimer(fleet.now, 1);
            }
        }

        void ask(long session, boolean again) {
            ask(session, 0, again);
        }

        void ask(long session, long prefix, boolean again) {
            String id = "r" + fleet.ids++;
            RoutingRequest r = new RoutingRequest(
                    id, 0, 0, session, prefix, fleet.now + 4 * S, 0, 1000, 0, 100, false, false, again);
            open.put(id, r);
            rules.onRequest(fleet.now, r);
        }

        @Override
        public void sendAttempt(String id, String server, long timeout) {
            fleet.sent.computeIfAbsent(server, k -> new ArrayList<>()).add(fleet.now);
            int n = tries.merge(id, 1, Integer::sum) - 1;
            RoutingPolicy to = rules;
            RoutingRequest r = open.get(id);
            int how = fleet.random.nextInt(100);
            if (how < 4) { // Fails, and is tried elsewhere.
                AttemptOutcome o = how < 2 ? AttemptOutcome.RESET : AttemptOutcome.CONNECT_FAILED;
                fleet.dues.add(new Due(
                        fleet.now + 20_000, () -> to.onAttemptEnded(fleet.now, id, n, o, 20_000, false, -1, null)));
                return;
            }
            fleet.dues.add(new Due(fleet.now + 60_000, () -> to.onStreamStarted(fleet.now, id, n, 60_000)));
            boolean breaks = how < 8;
            fleet.dues.add(new Due(fleet.now + 500_000, () -> {
                to.onAttemptEnded(
                        fleet.now, id, n, breaks ? AttemptOutcome.RESET : AttemptOutcome.OK, 500_000, true, 800, null);
                if (breaks) {
                    fleet.ask(r.sessionId(), true); // Its client asks for the rest.
                }
            }));
        }

        @Override
        public void setTimer(long at, long token) {
            timer = at;
        }
    }

    /** What one server is promised to be able to do, as a part of a warm one. */
    private static double warmth(long age) {
        return Math.min(1, START + (1 - START) * age / COLD);
    }

    /** In every window that the rule looks at: the budget, and twice its root and two for chance. */
    private static void keepsTheBudget(Fleet f, String server, long since, String what) {
        List<Long> at = f.sent.getOrDefault(server, List.of());
        for (int from = 0, to = 0; from < at.size(); from++) {
            if (at.get(from) < since) {
                continue;
            }
            while (to < at.size() && at.get(to) < at.get(from) + FALL) {
                to++;
            }
            double n = FACTOR * warmth(at.get(from) - since) * f.each() / LOAD * FALL / S;
            assertTrue(
                    what + ": " + (to - from) + " in a window that allows " + n + ", " + (at.get(from) - since) / 1000
                            + " ms after the start",
                    to - from <= n + 2 * Math.sqrt(n) + 2);
        }
        long last = since;
        for (long t : at) {
            // Of chance alone, one in three thousand times of this length has none.
            assertTrue(what + ": unused for " + (t - last) / 1000 + " ms", t - last <= 8 * S / (START * f.each()));
            last = t;
        }
    }

    private static double due(Fleet f) {
        return f.each() * (START + 1) / 2 * COLD / S;
    }

    @Test
    public void theSumOfAllRoutersStaysWithinTheBudget() {
        for (int routers : new int[] {3, 12, 30, 100}) {
            double got = 0;
            double due = 0;
            for (int seed = 1; seed <= 20; seed++) {
                int engines = routers <= 12 ? 12 : 48;
                Fleet f = new Fleet(routers, engines, 6.0 * engines, seed % 2 == 0, seed);
                f.run(15 * S);
                f.sent.clear();
                long since = f.now;
                int cold = seed % 4 < 2 ? 1 : engines * 2 / 5;
                f.cold(cold, seed % 3 == 0);
                f.run(COLD);
                for (int i = 0; i < cold; i++) {
                    String id = f.servers.get(i).id();
                    keepsTheBudget(f, id, since, routers + " routers, seed " + seed + ", " + cold + " cold");
                    got += f.sent.getOrDefault(id, List.of()).size();
                    due += due(f);
                }
            }
            assertTrue(routers + " routers send cold servers " + got / due + " of their due", got >= 0.6 * due);
        }
    }

    /** Thin and uneven: no router sends any one server a request in ten seconds. */
    @Test
    public void routersThatSendLittleUseAColdServerTogether() {
        double got = 0;
        double due = 0;
        for (int seed = 1; seed <= 20; seed++) {
            Fleet f = new Fleet(100, 60, 70, seed % 2 == 0, seed);
            f.run(15 * S);
            f.sent.clear();
            long since = f.now;
            f.cold(24, false);
            f.run(COLD);
            for (int i = 0; i < 24; i++) {
                keepsTheBudget(f, f.servers.get(i).id(), since, "seed " + seed);
                got += f.sent.getOrDefault(f.servers.get(i).id(), List.of()).size();
                due += due(f);
            }
        }
        assertTrue("of their due: " + got / due, got >= 0.6 * due);
    }

    /** The hard case: thirty routers that come to one cold server with their first requests in one moment,
     *  since no other is left, or since all of them have the first requests of one new prefix. */
    @Test
    public void firstRequestsOfThirtyRoutersInOneWindow() {
        for (int seed = 1; seed <= 20; seed++) {
            for (long after : new long[] {100_000, 2 * S, 5 * S, 8 * S}) {
                for (boolean prefix : new boolean[] {false, true}) {
                    // With two a second each, keys are spread by session or not: either on half of the seeds.
                    Fleet f = new Fleet(30, 12, seed % 2 == 0 ? 60 : 40, true, seed);
                    f.run(40 * S);
                    String cold = f.servers.get(0).id();
                    long key = prefix ? leadsTo(f, cold) : 0;
                    long since = f.now;
                    f.cold(1, false);
                    f.run(400_000);
                    f.now = since + Math.max(after, f.now - since);
                    List<Endpoint> one = new ArrayList<>();
                    for (Endpoint s : f.servers) {
                        one.add(
                                s.id().equals(cold)
                                        ? s
                                        : new Endpoint(
                                                s.id(), s.zone(), 0, 0, EndpointState.DRAINING, 1, s.onlineSince()));
                    }
                    f.sent.clear();
                    f.dues.clear();
                    for (Router r : f.routers) {
                        if (!prefix) {
                            r.rules.onEndpoints(f.now, EndpointListKind.CHANGES, one);
                        }
                        r.ask(f.session(), key, false);
                        r.ask(f.session(), key, false);
                    }
                    int n = f.sent.getOrDefault(cold, List.of()).size();
                    double may = FACTOR * warmth(f.now - since) * f.each() / LOAD * FALL / S;
                    assertTrue(
                            n + " at once, " + may + " allowed " + (f.now - since) / 1000 + " ms after the start, seed "
                                    + seed + ", prefix " + prefix,
                            n <= may + 2 * Math.sqrt(may) + 2);
                }
            }
        }
    }

    /** A prefix that routers of both zones place at a server first. */
    private static long leadsTo(Fleet f, String server) {
        for (long key = 1; key < 5000; key++) {
            f.sent.clear();
            new Router(f, 0).ask(f.session(), key, false);
            new Router(f, 1).ask(f.session(), key, false);
            if (f.sent.getOrDefault(server, List.of()).size() == 2) {
                return key;
            }
        }
        throw new AssertionError("no prefix leads to " + server);
    }
}
