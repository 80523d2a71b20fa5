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
 * A discrete-event simulation of one router and its fleet, drawn from a seed, that feeds the routing policy
 * with events and folds every action into one SHA-256 digest. Settings, traffic, faults, drains, restarts and
 * reloads are all drawn, so that each mechanism of the policy takes part. Times are in microseconds.
 */
final class DecisionScenario extends QuietActions {
    private static final long SECOND = 1_000_000;
    private static final int STEPS_AFTERWARDS = 400;

    /** What a stretch of the scenario brings; {@link Phase#CALM} is drawn twice as often as the others. */
    private enum Phase {
        CALM,
        CALM_AGAIN,
        QUIET,
        OVERLOAD,
        ZONE_CUT,
        ERRORS,
        SLOW,
        HANG,
        RESETS,
        RELEASE,
        DRAIN,
        RELOAD
    }

    private static final class Attempt {
        final SimulatedReplica replica;
        final long sentAt;
        boolean ended;

        Attempt(SimulatedReplica replica, long sentAt) {
            this.replica = replica;
            this.sentAt = sentAt;
        }
    }

    private static final class Call {
        final RoutingRequest request;
        final List<Attempt> attempts = new ArrayList<>();
        boolean settled;

        Call(RoutingRequest request) {
            this.request = request;
        }
    }

    /** Something that happens at a time; of two at one time the one that was planned first comes first. */
    private record Planned(long at, long order, Runnable event) {}

    private final Random random;
    private final RandomSettings settingsSource;
    private final RoutingPolicy policy;
    private final MessageDigest digest = sha256();
    private final PriorityQueue<Planned> agenda =
            new PriorityQueue<>((a, b) -> a.at != b.at ? Long.compare(a.at, b.at) : Long.compare(a.order, b.order));
    private final Map<String, Call> calls = new HashMap<>();
    private final List<String> openIds = new ArrayList<>();
    private final Map<String, SimulatedReplica> replicas = new HashMap<>();
    private final List<SimulatedReplica> listed = new ArrayList<>();
    private RoutingSettings settings;
    private final double meanGap;
    private final boolean reportsLoad;
    private Phase phase = Phase.CALM;
    private int target;
    private long now = SECOND;
    private long order;
    private int requests;
    private int replicaCount;
    private int events;

    DecisionScenario(long seed) {
        random = new Random(seed);
        settingsSource = new RandomSettings(random);
        settings = settingsSource.draw();
        meanGap = 2_000 + random.nextInt(60_000);
        reportsLoad = random.nextBoolean();
        ZoneHealth zones =
                seed % 3 == 0 && settings.zoneCount() > 1 ? plannedZones(seed) : new ConnectFailureZoneHealth();
        policy = new RoutingPolicy(settings, seed, this, now, zones);
        int fleet = 4 + random.nextInt(28);
        for (int i = 0; i < fleet; i++) {
            addReplica(random.nextInt(6) == 0 ? now : 0);
        }
        listAll(EndpointListKind.SAVED);
        nextArrival();
    }

    /** Runs until so many events have been given, then some seconds of quiet and requests for known keys. */
    String digestAfter(int wanted) {
        while (events < wanted) {
            if (events % 500 == 0) {
                drawPhase();
            }
            step();
        }
        phase = Phase.CALM;
        for (int i = 0; i < STEPS_AFTERWARDS; i++) {
            step();
        }
        record("known", policy.knownReplicaCount());
        return HexFormat.of().formatHex(digest.digest(), 0, 16);
    }

    private void step() {
        Planned next = agenda.poll();
        now = Math.max(now, next.at);
        events++;
        next.event.run();
        if (events % 16 == 0 && !openIds.isEmpty()) {
            String id = openIds.get(random.nextInt(openIds.size()));
            record("may refuse", id, policy.mayReject(id));
        }
    }

    private void plan(long delay, Runnable event) {
        agenda.add(new Planned(now + Math.max(0, delay), order++, event));
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
    private ZoneHealth plannedZones(long seed) {
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
                    plan(i * 150_000L, this::replaceOne);
                }
            }
            case DRAIN -> plan(200_000, this::drainOne);
            case RELOAD -> plan(200_000, this::reload);
            default -> {}
        }
    }

    private void replaceOne() {
        SimulatedReplica gone = anyListed();
        if (random.nextBoolean()) {
            gone.startedAt = now;
            gone.state = EndpointState.LIVE;
            listOne(gone);
            return;
        }
        gone.state = EndpointState.DRAINING;
        listOne(gone);
        addReplica(now);
        listOne(listed.get(listed.size() - 1));
        plan(SECOND, () -> remove(gone));
    }

    private void drainOne() {
        SimulatedReplica replica = anyListed();
        replica.state = EndpointState.DRAINING;
        listOne(replica);
        plan(2 * SECOND, () -> {
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
        double gap = phase == Phase.OVERLOAD ? meanGap / 2 : phase == Phase.QUIET ? 25 * meanGap : meanGap;
        plan((long) (-Math.log(1 - random.nextDouble()) * gap), this::arrive);
    }

    private void arrive() {
        nextArrival();
        String id = "request" + requests++;
        long prefix = random.nextInt(3) == 0 ? 0 : 1 + (long) (Math.pow(random.nextDouble(), 3) * 40);
        long session = random.nextInt(4) == 0 ? 0 : 1 + (long) (Math.pow(random.nextDouble(), 2) * 400);
        long timeLeft = random.nextInt(50) == 0 ? 0 : 300_000 + random.nextInt(4_000_000);
        int requestClass = random.nextInt(200) == 0
                ? 99
                : random.nextInt(settings.classes().size());
        double prompt = 200 + random.nextInt(9_000);
        Call call = new Call(new RoutingRequest(
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
        calls.put(id, call);
        openIds.add(id);
        plan(timeLeft, () -> expire(call));
        if (random.nextInt(40) == 0) {
            plan(random.nextInt(1_000_000), () -> leave(call));
        }
        policy.onRequest(now, call.request);
        if (random.nextInt(200) == 0) {
            policy.onRequest(now - 10, call.request);
        }
    }

    private void expire(Call call) {
        for (int i = 0; i < call.attempts.size() && !call.settled; i++) {
            end(call, i, AttemptOutcome.TIMEOUT, false);
        }
        openIds.remove(call.request.id());
    }

    private void leave(Call call) {
        if (call.settled) {
            return;
        }
        call.settled = true;
        policy.onClientDisconnected(now, call.request.id());
    }

    @Override
    public void sendAttempt(String id, String server, long timeout) {
        record("send", id, server, timeout);
        Call call = calls.get(id);
        SimulatedReplica replica = replicas.get(server);
        int number = call.attempts.size();
        call.attempts.add(new Attempt(replica, now));
        replica.inFlight++;
        AttemptOutcome outcome = drawOutcome(replica);
        long first = (long) (replica.pace * (30_000 + random.nextInt(40_000)) * slowness(replica));
        switch (outcome) {
            case OK, RESET, SPOILT -> {
                if (outcome == AttemptOutcome.OK || random.nextInt(3) == 0) {
                    plan(first, () -> begin(call, number));
                }
                plan(first + random.nextInt(600_000), () -> end(call, number, outcome, outcome == AttemptOutcome.OK));
            }
            case TIMEOUT -> plan(2 * SECOND, () -> end(call, number, outcome, false));
            default -> plan(random.nextInt(80_000), () -> end(call, number, outcome, false));
        }
    }

    private boolean isTarget(SimulatedReplica replica) {
        return (replica.id.hashCode() & 7) == (target & 7);
    }

    private double slowness(SimulatedReplica replica) {
        double cold = now - replica.startedAt < 5 * SECOND ? 2.5 : 1;
        double busy = 1 + replica.inFlight / 8.0;
        return cold
                * busy
                * (phase == Phase.OVERLOAD
                        ? 6 + random.nextInt(12)
                        : phase == Phase.SLOW && isTarget(replica) ? 12 : 1);
    }

    private AttemptOutcome drawOutcome(SimulatedReplica replica) {
        int percent = random.nextInt(100);
        if (phase == Phase.ZONE_CUT && replica.zone == target % settings.zoneCount()) {
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

    private void begin(Call call, int number) {
        Attempt attempt = call.attempts.get(number);
        if (!attempt.ended && !call.settled) {
            policy.onStreamStarted(now, call.request.id(), number, now - attempt.sentAt);
        }
    }

    private void end(Call call, int number, AttemptOutcome outcome, boolean served) {
        Attempt attempt = call.attempts.get(number);
        if (attempt.ended) {
            return;
        }
        attempt.ended = true;
        attempt.replica.inFlight--;
        AttemptOutcome seen = call.settled && outcome == AttemptOutcome.OK ? AttemptOutcome.CANCELLED : outcome;
        call.settled |= served;
        long kept = random.nextInt(5) == 0
                ? -1
                : phase == Phase.RELEASE ? 0 : (long) (call.request.promptTokens() * random.nextDouble());
        policy.onAttemptEnded(
                now,
                call.request.id(),
                number,
                seen,
                now - attempt.sentAt,
                call.settled,
                kept,
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
                50 * replica.pace * slowness(replica),
                Double.NaN,
                0,
                Double.NaN,
                Double.NaN);
    }

    // ---- The policy's other actions ---------------------------------------------------------------------
    @Override
    public void cancelAttempt(String id, int attempt) {
        record("cancel", id, attempt);
        plan(1_000, () -> end(calls.get(id), attempt, AttemptOutcome.CANCELLED, false));
    }

    @Override
    public void reject(String id, long retryAfter) {
        record("refuse", id, retryAfter);
        calls.get(id).settled = true;
    }

    @Override
    public void fail(String id) {
        record("fail", id);
        calls.get(id).settled = true;
    }

    @Override
    public void watchEndpoints() {
        record("watch");
        plan(random.nextInt(1_500_000), () -> {
            if (random.nextInt(3) == 0) {
                policy.onEndpoints(now, EndpointListKind.ERROR, List.of());
            } else {
                listOne(anyListed());
            }
        });
        plan(4 * SECOND, () -> policy.onEndpoints(now, EndpointListKind.ERROR, List.of()));
    }

    @Override
    public void setTimer(long at, long token) {
        record("timer", at, token);
        plan(at - now, () -> policy.onTimer(now, token));
    }

    @Override
    public void sendHealthCheck(String server) {
        record("probe", server);
        SimulatedReplica replica = replicas.get(server);
        AttemptOutcome outcome = drawOutcome(replica);
        AttemptOutcome seen = outcome == AttemptOutcome.CONNECT_FAILED || outcome == AttemptOutcome.TIMEOUT
                ? outcome
                : AttemptOutcome.OK;
        long took = 2_000L + random.nextInt(20_000);
        plan(took, () -> policy.onHealthCheckEnded(now, server, seen, took, drawLoad(replica)));
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
    public void closeIdleConnections(String server) {
        record("close", server);
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
