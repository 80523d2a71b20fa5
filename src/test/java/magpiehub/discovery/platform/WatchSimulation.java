package magpiehub.discovery.platform;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import magpiehub.config.ConfigurationObject;
import magpiehub.config.SiteSettingsParser;
import magpiehub.routing.Endpoint;
import magpiehub.routing.EndpointListKind;
import magpiehub.routing.EndpointState;
import magpiehub.routing.QuietActions;
import magpiehub.routing.RoutingPolicy;
import magpiehub.routing.RoutingSettings;

/** Routers that watch a simulated discovery at two addresses, in virtual time. */
final class WatchSimulation {
    static final long MILLIS = 1000;
    static final long SECONDS = 1_000_000;
    static final long STEP = 5 * MILLIS;
    /** How long discovery lets a call wait, as the platform has it. */
    static final long MAX_QUEUED = 3 * SECONDS;

    private static final long START = 1000 * SECONDS;
    private static final long WARM_UP = 20 * SECONDS;
    /** The time that the site gives to stop sending to a replica that leaves. */
    private static final long GRACE = 2 * SECONDS;
    /** From a change that discovery has and could report to the last request that may go by an older list. */
    private static final long MAX_LIST_AGE = 6 * SECONDS + GRACE;

    /** How calls fare that begin during an outage. */
    enum Outage {
        REFUSES(0, 0),
        NEVER_CONNECTS(1, SECONDS),
        NEVER_ANSWERS(2, Long.MAX_VALUE),
        SAYS_503(3, 50 * MILLIS),
        CUTS(4, 200 * MILLIS);

        /** Tells the seeds of the kinds apart. */
        final int number;
        /** After this time the call has failed. */
        final long failsAfter;

        Outage(int number, long failsAfter) {
            this.number = number;
            this.failsAfter = failsAfter;
        }
    }

    /** Discovery at one address. It serves calls in turn, except during an outage. */
    static final class Discovery {
        final ArrayDeque<SimulatedCall> queue = new ArrayDeque<>();
        final List<SimulatedCall> watches = new ArrayList<>();
        Outage outage = Outage.REFUSES;
        long outageFrom = Long.MAX_VALUE;
        long outageUntil = Long.MAX_VALUE;
        /** Calls received so far. */
        int calls;

        private long serviceTime;
        private long freeAt;
        private long lastDownAt = Long.MIN_VALUE;

        boolean isDown(long now) {
            return now >= outageFrom && now < outageUntil;
        }
    }

    /** One call of a router. */
    static final class SimulatedCall extends WatchScheduler.Call {
        final Router router;
        final Discovery discovery;
        final long startedAt;
        /** How it fails; null if discovery answers. */
        Outage failure;

        boolean closed;
        /** Whether discovery serves it as a watch. */
        boolean served;
        /** Whether it has delivered a list. */
        private boolean delivered;

        SimulatedCall(Router router, String address, long now) {
            super(address);
            this.router = router;
            this.discovery = router.simulation.discoveries.get(address.equals("a") ? 0 : 1);
            this.startedAt = now;
        }

        private CallFailure shownFailure() {
            return failure == Outage.REFUSES ? CallFailure.REFUSED : CallFailure.UNANSWERED;
        }

        private boolean hasFailed(long now) {
            long waited = now - startedAt;
            return failure == null ? waited > MAX_QUEUED : waited >= failure.failsAfter;
        }
    }

    final List<Discovery> discoveries = List.of(new Discovery(), new Discovery());
    final List<Router> routers = new ArrayList<>();
    long now = START;
    /** How often a watch delivers anything while nothing changes; discovery's own interval where a test is
     *  about silence. */
    long heartbeatInterval = STEP;

    /** Routers with established watches; discovery needs {@code serviceTime} for each call. */
    static WatchSimulation start(int routers, long serviceTime, long seed) throws Exception {
        WatchSimulation simulation = new WatchSimulation();
        simulation.discoveries.forEach(discovery -> discovery.serviceTime = serviceTime);
        RoutingSettings settings = SiteSettingsParser.parse(
                        ConfigurationObject.parse(Files.readAllBytes(Path.of("src/test/resources/site.json")), "site"))
                .routing();
        for (int i = 0; i < routers; i++) {
            simulation.routers.add(new Router(simulation, settings, seed * 1000 + i));
        }
        simulation.runUntil(START + WARM_UP);
        simulation.routers.forEach(router -> assertTrue(router.watch != null, "told before anything fails"));
        return simulation;
    }

    /** Lets time pass. */
    void runUntil(long until) {
        while (now < until) {
            step();
        }
    }

    void step() {
        now += STEP;
        discoveries.forEach(this::serve);
        routers.forEach(Router::step);
        routers.forEach(Router::assertListIsNotTooOld);
    }

    private void serve(Discovery discovery) {
        boolean down = discovery.isDown(now);
        discovery.lastDownAt = down ? now : discovery.lastDownAt;
        for (SimulatedCall call : List.copyOf(discovery.queue)) {
            if (call.closed) {
                discovery.queue.remove(call);
            } else if (call.hasFailed(now)) {
                discovery.queue.remove(call);
                call.router.onEnded(call);
            }
        }
        if (!down && discovery.freeAt <= now) {
            serveNext(discovery);
        }
        discovery.watches.removeIf(call -> call.closed);
    }

    private void serveNext(Discovery discovery) {
        for (SimulatedCall call : discovery.queue) {
            if (call.failure == null) {
                discovery.queue.remove(call);
                discovery.freeAt = now + discovery.serviceTime;
                call.served = true;
                discovery.watches.add(call);
                call.router.onList(call);
                return;
            }
        }
    }

    /** Begins an outage, in which the watches are reset, or deliver nothing more. */
    void beginOutage(Discovery discovery, Outage outage, long until) {
        discovery.outage = outage;
        discovery.outageFrom = now;
        discovery.outageUntil = until;
        for (SimulatedCall call : List.copyOf(discovery.watches)) {
            discovery.watches.remove(call);
            call.served = false;
            if (outage != Outage.NEVER_ANSWERS && outage != Outage.NEVER_CONNECTS) {
                call.router.onEnded(call);
            }
        }
        for (SimulatedCall call : discovery.queue) {
            call.failure = call.failure == null ? outage : call.failure;
        }
    }

    /** A router's decisions and its watches. */
    static final class Router extends QuietActions implements WatchScheduler.Transport {
        private record Timer(long at, long token) {}

        final RoutingPolicy policy;
        final WatchScheduler watches;
        private final EndpointListLease lease = new EndpointListLease();
        /** The endpoints that requests were sent to. */
        final List<String> sentTo = new ArrayList<>();

        private final WatchSimulation simulation;
        private final List<Timer> timers = new ArrayList<>();
        int maxOpenCalls;
        private int openCalls;
        /** When the list was last current; while a watch is served, that is always now. */
        long currentAt = Long.MIN_VALUE;
        /** The watch that delivered the list. */
        SimulatedCall watch;

        private long heartbeatAt;

        Router(WatchSimulation simulation, RoutingSettings settings, long seed) {
            this.simulation = simulation;
            watches = new WatchScheduler("a", this, seed);
            policy = new RoutingPolicy(settings, seed, this, simulation.now);
            publishLease();
        }

        private void publishLease() {
            policy.onEndpointListValidity(simulation.now, lease.validUntilMicros(GRACE));
        }

        /** A call delivers data. */
        void onDataOf(SimulatedCall call) {
            watches.onData(call, simulation.now);
            if (watches.isReliable(call)) {
                lease.recordCurrent(simulation.now);
                publishLease();
            }
        }

        long heartbeatAt() {
            return heartbeatAt;
        }

        /** Whether the router may send by its list. */
        boolean mayUseList() {
            return simulation.now < lease.validUntilMicros(GRACE);
        }

        private void assertListIsNotTooOld() {
            long lastDownAt = Long.MIN_VALUE;
            for (Discovery discovery : simulation.discoveries) {
                lastDownAt = Math.max(lastDownAt, discovery.lastDownAt);
            }
            long reachableFor = simulation.now - Math.max(lastDownAt, currentAt);
            assertTrue(
                    !mayUseList() || reachableFor <= MAX_LIST_AGE,
                    "a list used that discovery could have replaced for " + reachableFor / MILLIS + " ms");
        }

        private void step() {
            long now = simulation.now;
            watches.onTimer(now);
            for (Timer timer : List.copyOf(timers)) {
                if (timer.at <= now) {
                    timers.remove(timer);
                    policy.onTimer(now, timer.token);
                }
            }
            if (watch != null && watch.served && !watch.closed) {
                currentAt = now;
                if (now - heartbeatAt >= simulation.heartbeatInterval) {
                    heartbeatAt = now;
                    onDataOf(watch);
                }
            }
        }

        private void onList(SimulatedCall call) {
            if (watches.isOpen(call)) {
                long now = simulation.now;
                call.delivered = true;
                onDataOf(call);
                watch = call;
                currentAt = now;
                heartbeatAt = now;
                policy.onEndpoints(
                        now, EndpointListKind.COMPLETE, List.of(new Endpoint("e1", 0, 0, 0, EndpointState.LIVE, 1, 0)));
            }
        }

        private void onEnded(SimulatedCall call) {
            if (watches.isOpen(call)) {
                if (watches.isReliable(call)) {
                    lease.recordWatchLost();
                }
                watches.onEnded(call, "ended");
            }
        }

        @Override
        public WatchScheduler.Call open(String address) {
            SimulatedCall call = new SimulatedCall(this, address, simulation.now);
            call.failure = call.discovery.isDown(simulation.now) ? call.discovery.outage : null;
            call.discovery.queue.add(call);
            call.discovery.calls++;
            openCalls++;
            maxOpenCalls = Math.max(maxOpenCalls, openCalls);
            return call;
        }

        @Override
        public void close(WatchScheduler.Call call) {
            SimulatedCall simulated = (SimulatedCall) call;
            openCalls -= simulated.closed ? 0 : 1;
            simulated.closed = true;
            watch = watch == simulated ? null : watch;
        }

        @Override
        public void onLate(WatchScheduler.Call call, boolean established) {}

        @Override
        public void onGivenUp(WatchScheduler.Call call) {
            recordFailure((SimulatedCall) call);
        }

        private void recordFailure(SimulatedCall call) {
            if (!call.delivered) {
                lease.recordCallFailed(simulation.now, call.shownFailure());
                publishLease();
            }
        }

        @Override
        public void onFailure(WatchScheduler.Call call, String reason) {
            recordFailure((SimulatedCall) call);
            policy.onEndpoints(simulation.now, EndpointListKind.ERROR, List.of());
        }

        @Override
        public void watchEndpoints() {
            watches.requestWatch(simulation.now);
        }

        @Override
        public void setTimer(long at, long token) {
            timers.add(new Timer(at, token));
        }

        @Override
        public void sendAttempt(String id, String endpoint, long timeout) {
            sentTo.add(endpoint);
        }
    }
}
