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

/** Simulates routers that watch a discovery at two addresses, in virtual time (microseconds). */
final class WatchSimulation {
    static final long MILLIS = 1000;
    static final long SECONDS = 1_000_000;
    static final long STEP = 5 * MILLIS;
    /** The maximum time that the platform's discovery lets a call wait. */
    static final long MAX_QUEUED = 3 * SECONDS;

    private static final long START = 1000 * SECONDS;
    private static final long WARM_UP = 20 * SECONDS;
    /** The time that the site allows for stopping to send to a replica that leaves. */
    private static final long STOP_SENDING_WITHIN = 2 * SECONDS;
    /** The maximum time from a change that a reachable discovery has to the last request sent with an older list. */
    private static final long MAX_LIST_AGE = 6 * SECONDS + STOP_SENDING_WITHIN;

    /** How calls that are opened during an outage fail. */
    enum Outage {
        CONNECTION_REFUSED(0, 0),
        CONNECT_TIMEOUT(1, SECONDS),
        NO_RESPONSE(2, Long.MAX_VALUE),
        STATUS_503(3, 50 * MILLIS),
        CONNECTION_CLOSED(4, 200 * MILLIS);

        /** Part of the random seed, so that each kind has different seeds. */
        final int number;
        /** The time after which the call fails. */
        final long failsAfter;

        Outage(int number, long failsAfter) {
            this.number = number;
            this.failsAfter = failsAfter;
        }
    }

    /** Discovery at one address. It serves calls in order of arrival, except during an outage. */
    static final class Discovery {
        final ArrayDeque<SimulatedCall> queue = new ArrayDeque<>();
        final List<SimulatedCall> watches = new ArrayList<>();
        Outage outage = Outage.CONNECTION_REFUSED;
        long outageFrom = Long.MAX_VALUE;
        long outageUntil = Long.MAX_VALUE;
        /** The number of calls received so far. */
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
        /** How the call fails; null if discovery responds. */
        Outage failure;

        boolean closed;
        /** Whether discovery serves the call as a watch. */
        boolean served;
        /** Whether the call has delivered a list. */
        private boolean delivered;

        SimulatedCall(Router router, String address, long now) {
            super(address);
            this.router = router;
            this.discovery = router.simulation.discoveries.get(address.equals("a") ? 0 : 1);
            this.startedAt = now;
        }

        private CallFailure callFailure() {
            return failure == Outage.CONNECTION_REFUSED ? CallFailure.REFUSED : CallFailure.UNANSWERED;
        }

        private boolean hasFailed(long now) {
            long waited = now - startedAt;
            return failure == null ? waited > MAX_QUEUED : waited >= failure.failsAfter;
        }
    }

    final List<Discovery> discoveries = List.of(new Discovery(), new Discovery());
    final List<Router> routers = new ArrayList<>();
    long now = START;
    /** The interval of a watch's heartbeats. Tests of silent watches set it to the interval of the real discovery. */
    long heartbeatInterval = STEP;

    /** Starts routers with established watches; discovery needs {@code serviceTime} for each call. */
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
        simulation.routers.forEach(
                router -> assertTrue(router.watch != null, "every router has a watch before the test begins"));
        return simulation;
    }

    /** Advances the virtual time. */
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

    /** Begins an outage, which depending on its kind ends the open watches or makes them silent. */
    void beginOutage(Discovery discovery, Outage outage, long until) {
        discovery.outage = outage;
        discovery.outageFrom = now;
        discovery.outageUntil = until;
        for (SimulatedCall call : List.copyOf(discovery.watches)) {
            discovery.watches.remove(call);
            call.served = false;
            if (outage != Outage.NO_RESPONSE && outage != Outage.CONNECT_TIMEOUT) {
                call.router.onEnded(call);
            }
        }
        for (SimulatedCall call : discovery.queue) {
            call.failure = call.failure == null ? outage : call.failure;
        }
    }

    /** A router: its routing policy, watches and lease. */
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
        /** When the list was last current, which is now while a watch is served. */
        long currentAt = Long.MIN_VALUE;
        /** The watch that delivered the list; null once it is closed. */
        SimulatedCall watch;

        private long heartbeatAt;

        Router(WatchSimulation simulation, RoutingSettings settings, long seed) {
            this.simulation = simulation;
            watches = new WatchScheduler("a", this, seed);
            policy = new RoutingPolicy(settings, seed, this, simulation.now);
            publishLease();
        }

        private void publishLease() {
            policy.onEndpointListValidity(simulation.now, lease.validUntilMicros(STOP_SENDING_WITHIN));
        }

        /** Handles data from an open call. */
        void onDataOf(SimulatedCall call) {
            watches.onData(call, simulation.now);
            if (watches.isReliable(call)) {
                lease.recordConfirmed(simulation.now);
                publishLease();
            }
        }

        long heartbeatAt() {
            return heartbeatAt;
        }

        /** Whether the router may send requests on the basis of its list. */
        boolean mayUseList() {
            return simulation.now < lease.validUntilMicros(STOP_SENDING_WITHIN);
        }

        private void assertListIsNotTooOld() {
            long lastDownAt = Long.MIN_VALUE;
            for (Discovery discovery : simulation.discoveries) {
                lastDownAt = Math.max(lastDownAt, discovery.lastDownAt);
            }
            long reachableFor = simulation.now - Math.max(lastDownAt, currentAt);
            assertTrue(
                    !mayUseList() || reachableFor <= MAX_LIST_AGE,
                    "an outdated list was used although discovery was reachable for " + reachableFor / MILLIS + " ms");
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
        public void onAbandoned(WatchScheduler.Call call) {
            recordFailure((SimulatedCall) call);
        }

        private void recordFailure(SimulatedCall call) {
            if (!call.delivered) {
                lease.recordCallFailed(simulation.now, call.callFailure());
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
        public void sendAttempt(String id, String endpoint, long timeout, long writeDeadline) {
            sentTo.add(endpoint);
        }
    }
}
