package magpiehub.discovery.platform;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import magpiehub.config.Config;
import magpiehub.routing.Endpoint;
import magpiehub.routing.EndpointListKind;
import magpiehub.routing.EndpointState;
import magpiehub.routing.QuietActions;
import magpiehub.routing.RoutingPolicy;
import magpiehub.routing.RoutingRequest;
import magpiehub.routing.RoutingSettings;
import org.junit.Test;

/** The calls for the list, with the module that asks for them, against a discovery in virtual time: whatever
 *  went wrong before, what it has and could tell is in force 6 s later. */
public class WatchSchedulerTest {
    private static final long MS = 1000;
    private static final long S = 1_000_000;
    private static final long TOLD = 6 * S;
    private static final long STEP = 5 * MS;
    /** How long discovery lets a call wait, as the platform has it. */
    private static final long LIMIT = 3 * S;

    /** How calls go that begin while discovery is out. */
    private enum Outage {
        REFUSES,
        NEVER_CONNECTS,
        NEVER_ANSWERS,
        SAYS_503,
        CUTS
    }

    /** One address of discovery: out in some way until a time, from then on serving calls in turn. */
    private static final class Discovery {
        final ArrayDeque<Line> queue = new ArrayDeque<>();
        final List<Line> watches = new ArrayList<>();
        Outage outage = Outage.REFUSES;
        long from = Long.MAX_VALUE;
        long until = Long.MAX_VALUE;
        long each;
        long freeAt;
        int calls;

        boolean out(long now) {
            return now >= from && now < until;
        }
    }

    private static final class Line extends WatchScheduler.Call {
        final Router router;
        final Discovery at;
        final long begun;
        /** How it goes if discovery does not answer, and when (us). */
        Outage fate;

        boolean closed;
        boolean open;

        Line(Router router, String address, long now) {
            super(address);
            this.router = router;
            this.at = router.fleet.discoveries.get(address.equals("a") ? 0 : 1);
            this.begun = now;
        }
    }

    private static final class Fleet {
        final List<Discovery> discoveries = List.of(new Discovery(), new Discovery());
        final List<Router> routers = new ArrayList<>();
        long now = 1000 * S;
        /** How often a watch speaks while nothing changes; discovery's own period where a test looks at
         *  silence. */
        long beat = STEP;

        void step() {
            now += STEP;
            for (Discovery d : discoveries) {
                serve(d);
            }
            for (Router r : routers) {
                r.step();
            }
        }

        private void serve(Discovery d) {
            boolean out = d.out(now);
            for (Line l : List.copyOf(d.queue)) {
                boolean timedOut = l.fate == null && now - l.begun > LIMIT;
                long after = l.fate == null
                        ? LIMIT
                        : switch (l.fate) {
                            case REFUSES -> 0;
                            case NEVER_CONNECTS -> S;
                            case SAYS_503 -> 50 * MS;
                            case CUTS -> 200 * MS;
                            case NEVER_ANSWERS -> Long.MAX_VALUE;
                        };
                if (l.closed) {
                    d.queue.remove(l);
                } else if (timedOut || (l.fate != null && now - l.begun >= after)) {
                    d.queue.remove(l);
                    l.router.ended(l);
                }
            }
            if (!out && d.freeAt <= now) {
                Line next = null;
                for (Line l : d.queue) {
                    next = next == null && l.fate == null ? l : next;
                }
                if (next != null) {
                    d.queue.remove(next);
                    d.freeAt = now + d.each;
                    next.open = true;
                    d.watches.add(next);
                    next.router.told(next);
                }
            }
            d.watches.removeIf(l -> l.closed);
        }

        /** Discovery goes out: its watches are reset, or say nothing more. */
        void out(Discovery d, Outage how, long until) {
            d.outage = how;
            d.from = now;
            d.until = until;
            for (Line l : List.copyOf(d.watches)) {
                d.watches.remove(l);
                l.open = false;
                if (how != Outage.NEVER_ANSWERS && how != Outage.NEVER_CONNECTS) {
                    l.router.ended(l);
                }
            }
            for (Line l : d.queue) {
                l.fate = l.fate == null ? how : l.fate;
            }
        }
    }

    private static final class Router extends QuietActions implements WatchScheduler.Transport {
        final Fleet fleet;
        final RoutingPolicy rules;
        final WatchScheduler watches;
        final List<long[]> timers = new ArrayList<>();
        final List<String> sent = new ArrayList<>();
        int mostAtOnce;
        int open;
        /** When a list was last told; while a watch is open, that is always now. */
        long toldAt = Long.MIN_VALUE;

        Line live;
        long beatAt;

        Router(Fleet fleet, RoutingSettings s, long seed) {
            this.fleet = fleet;
            watches = new WatchScheduler("a", this, seed);
            rules = new RoutingPolicy(s, seed, this, fleet.now);
        }

        void step() {
            watches.onTimer(fleet.now);
            for (long[] t : List.copyOf(timers)) {
                if (t[0] <= fleet.now) {
                    timers.remove(t);
                    rules.timer(fleet.now, t[1]);
                }
            }
            if (live != null && live.open && !live.closed) {
                toldAt = fleet.now;
                if (fleet.now - beatAt >= fleet.beat) {
                    beatAt = fleet.now;
                    watches.onData(live, fleet.now);
                }
            }
        }

        void told(Line l) {
            if (watches.isOpen(l)) {
                watches.onData(l, fleet.now);
                live = l;
                toldAt = fleet.now;
                beatAt = fleet.now;
                rules.list(
                        fleet.now,
                        EndpointListKind.COMPLETE,
                        List.of(new Endpoint("e1", 0, 0, 0, EndpointState.LIVE, 1, 0)));
            }
        }

        void ended(Line l) {
            if (watches.isOpen(l)) {
                watches.onEnded(l, "ended");
            }
        }

        @Override
        public WatchScheduler.Call open(String address) {
            Line l = new Line(this, address, fleet.now);
            l.fate = l.at.out(fleet.now) ? l.at.outage : null;
            l.at.queue.add(l);
            l.at.calls++;
            mostAtOnce = Math.max(mostAtOnce, ++open);
            return l;
        }

        @Override
        public void close(WatchScheduler.Call c) {
            Line l = (Line) c;
            open -= l.closed ? 0 : 1;
            l.closed = true;
            live = live == l ? null : live;
        }

        @Override
        public void onLate(WatchScheduler.Call c, boolean established) {}

        @Override
        public void onFailure(WatchScheduler.Call c, String why) {
            rules.list(fleet.now, EndpointListKind.ERROR, List.of());
        }

        @Override
        public void watch() {
            watches.requestWatch(fleet.now);
        }

        @Override
        public void timer(long at, long token) {
            timers.add(new long[] {at, token});
        }

        @Override
        public void send(String id, String server, long timeout) {
            sent.add(server);
        }
    }

    private static Fleet fleet(int routers, long each, long seed) throws Exception {
        Fleet f = new Fleet();
        f.discoveries.forEach(d -> d.each = each);
        RoutingSettings s = Config.site(
                        Config.facts(Files.readAllBytes(Path.of("src/test/resources/site.json")), "site"))
                .settings();
        for (int i = 0; i < routers; i++) {
            f.routers.add(new Router(f, s, seed * 1000 + i));
        }
        while (f.now < 1020 * S) {
            f.step();
        }
        f.routers.forEach(r -> assertTrue("told before anything fails", r.live != null));
        return f;
    }

    /** An outage of each kind and of drawn length, with a second one soon after, a watch that is lost right
     *  after it opened, or a move; a change at a drawn moment from discovery's return on. */
    @Test
    public void whatDiscoveryCouldTellIsInForceInTime() throws Exception {
        for (int seed = 1; seed <= 20; seed++) {
            for (Outage how : Outage.values()) {
                SplittableRandom random = new SplittableRandom(seed * 31L + how.ordinal());
                int routers = new int[] {3, 30, 100}[seed % 3];
                // All of the fleet can be told within a third of the time: more, no waiting could mend.
                Fleet f = fleet(routers, 2 * S / routers, seed);
                Discovery d = f.discoveries.get(0);
                long back = f.now + 200 * MS + random.nextLong(15 * S);
                f.out(d, how, back);
                boolean moves = random.nextInt(3) == 0;
                long movesAt = f.now + random.nextLong(back - f.now);
                boolean again = !moves && random.nextInt(3) == 0;
                while (f.now < back) {
                    if (moves && f.now >= movesAt) {
                        moves = false;
                        // The new address is out as well, in a way of its own, and back at the same time.
                        f.out(f.discoveries.get(1), Outage.values()[random.nextInt(5)], back);
                        f.routers.forEach(r -> r.watches.changeAddress("b", f.now));
                    }
                    f.step();
                }
                if (again) {
                    // Some watches open, and all is lost once more.
                    long until = f.now + random.nextLong(S);
                    while (f.now < until) {
                        f.step();
                    }
                    back = f.now + 100 * MS;
                    f.out(d, Outage.values()[random.nextInt(5)], back);
                }
                long change = back + random.nextLong(5 * S);
                while (f.now < change + TOLD) {
                    f.step();
                }
                for (Router r : f.routers) {
                    assertTrue(
                            how + ", seed " + seed + ": told " + (r.toldAt - change) / MS + " ms after the change",
                            r.toldAt >= change);
                    assertTrue("calls of one router at once: " + r.mostAtOnce, r.mostAtOnce <= 3);
                }
            }
        }
    }

    /** The sum of the whole way, from the moment in which discovery can be reached. */
    @Test
    public void theLongestWayFitsIntoTheClock() throws Exception {
        for (Outage how : Outage.values()) {
            for (int seed = 1; seed <= 20; seed++) {
                Fleet f = fleet(30, 10 * MS, seed);
                long back = f.now + 100 * MS * seed + 3 * S;
                f.out(f.discoveries.get(0), how, back);
                while (f.now < back + TOLD - LIMIT) {
                    f.step();
                }
                for (Router r : f.routers) {
                    assertTrue(how + ", seed " + seed + ": no room left for an answer that waits", r.toldAt >= back);
                }
            }
        }
    }

    /** All open watches fall silent in one moment, while discovery serves calls as before: whenever the last
     *  beat was, what they miss is in force 6 s after that moment. */
    @Test
    public void whatASilentWatchMissedIsInForceInTime() throws Exception {
        for (int seed = 1; seed <= 40; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            int routers = new int[] {3, 6, 12, 30, 100}[seed % 5];
            // What the platform's discovery needs to tell all of its routers.
            Fleet f = fleet(routers, 2 * S / routers, seed);
            f.beat = 2 * S;
            long silent = f.now + random.nextLong(5 * S);
            while (f.now < silent) {
                f.step();
            }
            f.discoveries.get(0).watches.forEach(l -> l.open = false);
            f.discoveries.get(0).watches.clear();
            silent = f.now;
            while (f.now < silent + TOLD) {
                f.step();
            }
            for (Router r : f.routers) {
                assertTrue(
                        "seed " + seed + ": last told " + (silent - r.toldAt) / MS + " ms before the silence",
                        r.toldAt > silent);
            }
        }
    }

    /** What a fleet asks of a discovery that is down, and of one that has just come back. */
    @Test
    public void aFleetDoesNotComeBackAsAHerd() throws Exception {
        Fleet f = fleet(100, 20 * MS, 3);
        Discovery d = f.discoveries.get(0);
        f.out(d, Outage.REFUSES, f.now + 10 * S);
        int before = d.calls;
        while (f.now < d.until) {
            f.step();
        }
        assertTrue(
                "calls to a discovery that is down, a router and second: " + (d.calls - before) / 1000.0,
                d.calls - before <= 100 * 10 * 0.8);
        int most = 0;
        for (int i = 0; i < 60; i++) {
            int from = d.calls;
            for (int k = 0; k < 20; k++) {
                f.step();
            }
            most = Math.max(most, d.calls - from);
        }
        assertTrue("calls in 0.1 s after its return: " + most, most <= 20);
    }

    /** Nobody can vouch for the list then; sending nothing would make its outage one of service. */
    @Test
    public void theLastListServesUntilAFreshOneIsThere() throws Exception {
        Fleet f = fleet(1, 10 * MS, 5);
        Router r = f.routers.get(0);
        f.out(f.discoveries.get(0), Outage.NEVER_ANSWERS, Long.MAX_VALUE);
        for (int i = 0; i < 60; i++) {
            long until = f.now + S;
            while (f.now < until) {
                f.step();
            }
            r.rules.request(
                    f.now, new RoutingRequest("r" + i, 0, 0, i, 0, f.now + 4 * S, 0, 10, 0, 10, false, false, false));
            assertEquals("after " + (i + 1) + " s", i + 1, r.sent.size());
        }
    }

    /** A watch that had fallen silent is no reason to stop asking when it speaks again, nor to ask later. */
    @Test
    public void aWordOfASilentWatchPutsNothingOff() throws Exception {
        Fleet f = fleet(1, 10 * MS, 5);
        Router r = f.routers.get(0);
        Line old = r.live;
        old.open = false;
        f.discoveries.get(0).watches.remove(old);
        f.discoveries.get(0).outage = Outage.REFUSES;
        f.discoveries.get(0).from = f.now;
        long silent = f.now;
        long lastCall = f.now + 4 * S;
        int calls = f.discoveries.get(0).calls;
        for (long end = f.now + 60 * S; f.now < end; ) {
            f.step();
            if (f.now % S == S / 2 && f.now > silent + 4 * S) {
                r.watches.onData(old, f.now);
                r.rules.list(f.now, EndpointListKind.CHANGES, List.of());
                if (r.watches.lacksReliableWatch()) {
                    r.rules.list(f.now, EndpointListKind.ERROR, List.of());
                }
            }
            if (f.discoveries.get(0).calls > calls) {
                calls = f.discoveries.get(0).calls;
                lastCall = f.now;
            }
            assertTrue("no call for " + (f.now - lastCall) / MS + " ms", f.now - lastCall <= 2_600 * MS);
        }
        assertFalse("the silent one counts still", old.closed);
    }
}
