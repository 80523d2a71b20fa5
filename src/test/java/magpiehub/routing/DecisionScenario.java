package magpiehub.routing;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import magpiehub.sites.SiteFailover;
import magpiehub.sites.SiteFailoverSettings;
import magpiehub.telemetry.EventLog;

/**
 * A discrete-event simulation of one router and its fleet that is generated from a seed. It reports events to the
 * routing policy and adds every action to a SHA-256 digest. Settings, traffic, faults, drains, restarts and reloads are
 * random, so that each mechanism of the policy is exercised. Times are in microseconds.
 */
final class DecisionScenario extends QuietActions {
    private static final long SECOND = 1_000_000;
    private static final int FINAL_STEPS = 400;

    /** The conditions of a phase; normal conditions have two constants, which doubles their frequency. */
    private enum Phase {
        NORMAL,
        NORMAL_AGAIN,
        LOW_TRAFFIC,
        OVERLOAD,
        ZONE_UNREACHABLE,
        ERRORS,
        SLOW,
        HANG,
        RESETS,
        RELEASE,
        DRAIN,
        RELOAD
    }

    private static final class SimulatedAttempt {
        final SimulatedReplica replica;
        final long sentAt;
        boolean ended;

        SimulatedAttempt(SimulatedReplica replica, long sentAt) {
            this.replica = replica;
            this.sentAt = sentAt;
        }
    }

    private static final class SimulatedRequest {
        final RoutingRequest request;
        final List<SimulatedAttempt> attempts = new ArrayList<>();
        boolean settled;

        SimulatedRequest(RoutingRequest request) {
            this.request = request;
        }
    }

    /** An event at a time; events at the same time are run in the order in which they were scheduled. */
    private record ScheduledEvent(long at, long order, Runnable event) {}

    private final Random random;
    private final RandomSettings settingsSource;
    private final RoutingPolicy policy;
    private final MessageDigest digest = sha256();
    private final PriorityQueue<ScheduledEvent> eventQueue =
            new PriorityQueue<>((a, b) -> a.at != b.at ? Long.compare(a.at, b.at) : Long.compare(a.order, b.order));
    private final Map<String, SimulatedRequest> requestsById = new HashMap<>();
    private final List<String> openIds = new ArrayList<>();
    private final Map<String, SimulatedReplica> replicas = new HashMap<>();
    private final List<SimulatedReplica> listed = new ArrayList<>();
    private RoutingSettings settings;
    private final double meanGap;
    private final boolean reportsLoad;
    private Phase phase = Phase.NORMAL;
    private int target;
    private long now = SECOND;
    private long order;
    private int requestCount;
    private int replicaCount;
    private int events;

    DecisionScenario(long seed) {
        random = new Random(seed);
        settingsSource = new RandomSettings(random);
        settings = settingsSource.draw();
        meanGap = 2_000 + random.nextInt(60_000);
        reportsLoad = random.nextBoolean();
        ZoneHealth zones =
                seed % 3 == 0 && settings.zoneCount() > 1 ? failoverPlan(seed) : new ConnectFailureZoneHealth();
        policy = new RoutingPolicy(settings, seed, this, now, zones);
        int fleet = 4 + random.nextInt(28);
        for (int i = 0; i < fleet; i++) {
            addReplica(random.nextInt(6) == 0 ? now : 0);
        }
        listAll(EndpointListKind.SAVED);
        nextArrival();
    }

    /** Runs a number of events, then {@link #FINAL_STEPS} events under normal conditions; returns the digest. */
    String digestAfter(int eventCount) {
        while (events < eventCount) {
            if (events % 500 == 0) {
                drawPhase();
            }
            step();
        }
        phase = Phase.NORMAL;
        for (int i = 0; i < FINAL_STEPS; i++) {
            step();
        }
        record("known", policy.knownReplicaCount());
        return HexFormat.of().formatHex(digest.digest(), 0, 16);
    }

    private void step() {
        ScheduledEvent next = eventQueue.poll();
        now = Math.max(now, next.at);
        events++;
        next.event.run();
        if (events % 16 == 0 && !openIds.isEmpty()) {
            String id = openIds.get(random.nextInt(openIds.size()));
            record("may refuse", id, policy.mayReject(id));
        }
    }

    private void schedule(long delay, Runnable event) {
        eventQueue.add(new ScheduledEvent(now + Math.max(0, delay), order++, event));
    }

    private void record(Object... parts) {
        digest.update((now + " " + Arrays.toString(parts) + "\n").getBytes(StandardCharsets.UTF_8));
    }

    private static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }

    // ---- Settings and the fleet -------------------------------------------------------------------------
    private ZoneHealth failoverPlan(long seed) {
        List<String> names = new ArrayList<>();
        for (int i = 0; i < settings.zoneCount(); i++) {
            names.add("zone" + i);
        }
        return new SiteFailover(SiteFailoverSettings.DEFAULTS, names, settings.ownZone(), seed, new EventLog() {
            @Override
            public void count(String name) {
                record("count", name);
            }

            @Override
            public void log(String what, String... namesAndValues) {
                record(what, String.join(" ", namesAndValues));
            }
        });
    }

    private void addReplica(long startedAt) {
        int number = replicaCount++;
        SimulatedReplica replica = new SimulatedReplica(
                "10.0." + number / 200 + "." + number % 200 + ":9000",
                random.nextInt(settings.zoneCount()),
                random.nextInt(4),
                0.5 + random.nextInt(4),
                0.7 + 0.6 * random.nextDouble());
        replica.startedAt = startedAt;
        replicas.put(replica.id, replica);
        listed.add(replica);
    }

    private Endpoint entry(SimulatedReplica replica) {
        double load = settings.weightMeaning() == WeightMeaning.LIVE ? random.nextDouble() : 1;
        return new Endpoint(
                replica.id, replica.zone, 0, replica.cell, replica.state, replica.weight * load, replica.startedAt);
    }

    private void listAll(EndpointListKind kind) {
        policy.onEndpoints(now, kind, listed.stream().map(this::entry).toList());
    }

    private void listOne(SimulatedReplica replica) {
        if (random.nextInt(8) == 0) {
            listAll(EndpointListKind.COMPLETE);
        } else {
            policy.onEndpoints(now, EndpointListKind.CHANGES, List.of(entry(replica)));
        }
    }

    private SimulatedReplica anyListed() {
        return listed.get(random.nextInt(listed.size()));
    }

    private void drawPhase() {
        phase = Phase.values()[random.nextInt(Phase.values().length)];
        target = random.nextInt(64);
        switch (phase) {
            case RELEASE -> {
                for (int i = 0; i < listed.size() / 2; i++) {
                    schedule(i * 150_000L, this::replaceOne);
                }
            }
            case DRAIN -> schedule(200_000, this::drainOne);
            case RELOAD -> schedule(200_000, this::reload);
            default -> {}
        }
    }

    private void replaceOne() {
        SimulatedReplica replaced = anyListed();
        if (random.nextBoolean()) {
            replaced.startedAt = now;
            replaced.state = EndpointState.LIVE;
            listOne(replaced);
            return;
        }
        replaced.state = EndpointState.DRAINING;
        listOne(replaced);
        addReplica(now);
        listOne(listed.get(listed.size() - 1));
        schedule(SECOND, () -> remove(replaced));
    }

    private void drainOne() {
        SimulatedReplica replica = anyListed();
        replica.state = EndpointState.DRAINING;
        listOne(replica);
        schedule(2 * SECOND, () -> {
            replica.state = EndpointState.LIVE;
            replica.startedAt = random.nextBoolean() ? now : 0;
            listOne(replica);
        });
    }

    private void remove(SimulatedReplica replica) {
        if (listed.size() < 4 || !listed.remove(replica)) {
            return;
        }
        replica.state = EndpointState.DEAD;
        if (random.nextBoolean()) {
            policy.onEndpoints(now, EndpointListKind.CHANGES, List.of(entry(replica)));
        } else {
            listAll(EndpointListKind.COMPLETE);
        }
    }

    private void reload() {
        settings = settingsSource.drawReload(settings);
        policy.onSettings(now, settings);
    }

    // ---- Traffic ----------------------------------------------------------------------------------------
    private void nextArrival() {
        double gap = phase == Phase.OVERLOAD ? meanGap / 2 : phase == Phase.LOW_TRAFFIC ? 25 * meanGap : meanGap;
        schedule((long) (-Math.log(1 - random.nextDouble()) * gap), this::arrive);
    }

    private void arrive() {
        nextArrival();
        String id = "request" + requestCount++;
        long prefix = random.nextInt(3) == 0 ? 0 : 1 + (long) (Math.pow(random.nextDouble(), 3) * 40);
        long session = random.nextInt(4) == 0 ? 0 : 1 + (long) (Math.pow(random.nextDouble(), 2) * 400);
        long timeLeft = random.nextInt(50) == 0 ? 0 : 300_000 + random.nextInt(4_000_000);
        int requestClass = random.nextInt(200) == 0
                ? 99
                : random.nextInt(settings.classes().size());
        double prompt = 200 + random.nextInt(9_000);
        SimulatedRequest simulated = new SimulatedRequest(new RoutingRequest(
                id,
                requestClass,
                random.nextInt(3),
                session,
                prefix,
                now + timeLeft,
                0,
                prompt,
                prompt * 0.6,
                100,
                false,
                false,
                random.nextInt(20) == 0));
        requestsById.put(id, simulated);
        openIds.add(id);
        schedule(timeLeft, () -> expire(simulated));
        if (random.nextInt(40) == 0) {
            schedule(random.nextInt(1_000_000), () -> disconnect(simulated));
        }
        policy.onRequest(now, simulated.request);
        if (random.nextInt(200) == 0) {
            policy.onRequest(now - 10, simulated.request);
        }
    }

    private void expire(SimulatedRequest simulated) {
        for (int i = 0; i < simulated.attempts.size() && !simulated.settled; i++) {
            end(simulated, i, AttemptOutcome.TIMEOUT, false);
        }
        openIds.remove(simulated.request.id());
    }

    private void disconnect(SimulatedRequest simulated) {
        if (!simulated.settled) {
            simulated.settled = true;
            policy.onClientDisconnected(now, simulated.request.id());
        }
    }

    @Override
    public void sendAttempt(String id, String replicaId, long timeout, long writeDeadline) {
        record("send", id, replicaId, timeout);
        SimulatedRequest simulated = requestsById.get(id);
        SimulatedReplica replica = replicas.get(replicaId);
        int number = simulated.attempts.size();
        simulated.attempts.add(new SimulatedAttempt(replica, now));
        replica.inFlight++;
        AttemptOutcome outcome = drawOutcome(replica);
        long first = (long) (replica.latencyFactor * (30_000 + random.nextInt(40_000)) * slowness(replica));
        switch (outcome) {
            case OK, RESET, SPOILT -> {
                boolean served = outcome == AttemptOutcome.OK;
                if (served || random.nextInt(3) == 0) {
                    schedule(first, () -> begin(simulated, number));
                }
                schedule(first + random.nextInt(600_000), () -> end(simulated, number, outcome, served));
            }
            case TIMEOUT -> schedule(2 * SECOND, () -> end(simulated, number, outcome, false));
            default -> schedule(random.nextInt(80_000), () -> end(simulated, number, outcome, false));
        }
    }

    private boolean isTarget(SimulatedReplica replica) {
        return (replica.id.hashCode() & 7) == (target & 7);
    }

    private double slowness(SimulatedReplica replica) {
        double warmUpFactor = now - replica.startedAt < 5 * SECOND ? 2.5 : 1;
        double loadFactor = 1 + replica.inFlight / 8.0;
        return warmUpFactor
                * loadFactor
                * (phase == Phase.OVERLOAD
                        ? 6 + random.nextInt(12)
                        : phase == Phase.SLOW && isTarget(replica) ? 12 : 1);
    }

    private AttemptOutcome drawOutcome(SimulatedReplica replica) {
        int percent = random.nextInt(100);
        if (phase == Phase.ZONE_UNREACHABLE && replica.zone == target % settings.zoneCount()) {
            return AttemptOutcome.CONNECT_FAILED;
        }
        if (phase == Phase.HANG && isTarget(replica)) {
            return AttemptOutcome.TIMEOUT;
        }
        if (phase == Phase.ERRORS && percent < (isTarget(replica) ? 80 : 50)) {
            return AttemptOutcome.ERROR;
        }
        if (phase == Phase.RESETS && percent < 30) {
            return percent < 20 ? AttemptOutcome.RESET : AttemptOutcome.SPOILT;
        }
        if (replica.inFlight > 12 || (phase == Phase.OVERLOAD && percent < 30)) {
            return AttemptOutcome.FULL;
        }
        if (percent < 4) {
            return AttemptOutcome.values()[random.nextInt(AttemptOutcome.values().length)];
        }
        return AttemptOutcome.OK;
    }

    private void begin(SimulatedRequest simulated, int number) {
        SimulatedAttempt attempt = simulated.attempts.get(number);
        if (!attempt.ended && !simulated.settled) {
            policy.onStreamStarted(now, simulated.request.id(), number, now - attempt.sentAt);
        }
    }

    private void end(SimulatedRequest simulated, int number, AttemptOutcome outcome, boolean served) {
        SimulatedAttempt attempt = simulated.attempts.get(number);
        if (attempt.ended) {
            return;
        }
        attempt.ended = true;
        attempt.replica.inFlight--;
        AttemptOutcome seen = simulated.settled && outcome == AttemptOutcome.OK ? AttemptOutcome.CANCELLED : outcome;
        simulated.settled |= served;
        long cachedTokens = random.nextInt(5) == 0
                ? -1
                : phase == Phase.RELEASE ? 0 : (long) (simulated.request.promptTokens() * random.nextDouble());
        policy.onAttemptEnded(
                now,
                simulated.request.id(),
                number,
                seen,
                now - attempt.sentAt,
                simulated.settled,
                cachedTokens,
                drawLoad(attempt.replica));
    }

    private LoadReport drawLoad(SimulatedReplica replica) {
        if (!reportsLoad || random.nextInt(3) == 0) {
            return null;
        }
        return new LoadReport(
                replica.inFlight,
                Math.max(0, replica.inFlight - 10),
                Double.NaN,
                50 * replica.latencyFactor * slowness(replica),
                Double.NaN,
                0,
                Double.NaN,
                Double.NaN);
    }

    // ---- Other actions of the policy --------------------------------------------------------------------
    @Override
    public void cancelAttempt(String id, int attempt) {
        record("cancel", id, attempt);
        schedule(1_000, () -> end(requestsById.get(id), attempt, AttemptOutcome.CANCELLED, false));
    }

    @Override
    public void reject(String id, long retryAfter) {
        record("refuse", id, retryAfter);
        requestsById.get(id).settled = true;
    }

    @Override
    public void fail(String id) {
        record("fail", id);
        requestsById.get(id).settled = true;
    }

    @Override
    public void watchEndpoints() {
        record("watch");
        schedule(random.nextInt(1_500_000), () -> {
            if (random.nextInt(3) == 0) {
                policy.onEndpoints(now, EndpointListKind.ERROR, List.of());
            } else {
                listOne(anyListed());
            }
        });
        schedule(4 * SECOND, () -> policy.onEndpoints(now, EndpointListKind.ERROR, List.of()));
    }

    @Override
    public void setTimer(long at, long token) {
        record("timer", at, token);
        schedule(at - now, () -> policy.onTimer(now, token));
    }

    @Override
    public void sendHealthCheck(String replicaId) {
        record("probe", replicaId);
        SimulatedReplica replica = replicas.get(replicaId);
        AttemptOutcome outcome = drawOutcome(replica);
        AttemptOutcome seen = outcome == AttemptOutcome.CONNECT_FAILED || outcome == AttemptOutcome.TIMEOUT
                ? outcome
                : AttemptOutcome.OK;
        long took = 2_000L + random.nextInt(20_000);
        schedule(took, () -> policy.onHealthCheckEnded(now, replicaId, seen, took, drawLoad(replica)));
    }

    @Override
    public void migrateStream(String id) {
        record("move", id);
    }

    @Override
    public void fetchEndpoints() {
        record("fetch");
    }

    @Override
    public void unwatchEndpoints() {
        record("unwatch");
    }

    @Override
    public void closeIdleConnections(String replicaId) {
        record("close", replicaId);
    }

    @Override
    public void sendToPeer(int peer, byte[] payload) {
        record("tell", peer, payload.length);
    }

    @Override
    public void log(String text) {
        record("log", text);
    }
}
