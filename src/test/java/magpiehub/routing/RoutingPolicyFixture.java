package magpiehub.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** A routing policy under test and its host, which reports events and records actions. Times are in microseconds. */
public final class RoutingPolicyFixture implements RoutingActions {
    public static final long SECOND = 1_000_000;

    /** An attempt that was sent. */
    record Sent(String id, String replica, long at, long timeout) {}

    final List<Sent> sent = new ArrayList<>();
    final Map<String, Integer> attemptCounts = new HashMap<>();
    final Map<String, String> finalAnswers = new HashMap<>();
    final List<String> checkedReplicas = new ArrayList<>();
    final List<String> cancelledAttempts = new ArrayList<>();
    final List<String> closedConnections = new ArrayList<>();
    final List<String> migratedStreams = new ArrayList<>();
    final List<String> logs = new ArrayList<>();
    final List<Long> timers = new ArrayList<>();
    int watchCount;
    long now = SECOND;
    final RoutingSettings settings;
    final RoutingPolicy policy;
    private int requestCount;

    RoutingPolicyFixture(RoutingSettings settings) {
        this(settings, new ConnectFailureZoneHealth());
    }

    RoutingPolicyFixture(RoutingSettings settings, ZoneHealth zones) {
        this.settings = settings;
        policy = new RoutingPolicy(settings, 42, this, now, zones);
    }

    public static RequestClass requestClass(Idempotency idempotency, DeduplicationScope scope) {
        return new RequestClass("c", idempotency, scope, 3 * SECOND, true, SECOND, 0, 0, 4 * SECOND, 60_000, 1, 0.3);
    }

    public static RoutingSettings settings(int instances, RequestClass... classes) {
        return settings(instances, true, false, List.of(), classes);
    }

    public static RoutingSettings settings(
            int instances,
            boolean allowsParallelAttempts,
            boolean subscribes,
            List<Tenant> tenants,
            RequestClass... classes) {
        List<RequestClass> requestClasses = classes.length == 0
                ? List.of(requestClass(Idempotency.IDEMPOTENT, DeduplicationScope.ALL))
                : List.of(classes);
        return new RoutingSettings(
                0,
                instances,
                0,
                2,
                subscribes,
                false,
                WeightMeaning.NONE,
                0.1,
                requestClasses,
                tenants,
                new RoutingLimits(true, true, false, allowsParallelAttempts, true, 6, 1000, 2 * SECOND, SECOND / 4),
                new Guarantees(20_000, 10 * SECOND, 20 * SECOND, 2 * SECOND, 2.5, 0.12, SECOND / 2),
                new RoutingCosts(0.03, 0.05, 0.002, 0.03, 0, 0));
    }

    public static Endpoint endpoint(String id) {
        return new Endpoint(id, 0, 0, 0, EndpointState.LIVE, 1, 0);
    }

    public static Endpoint endpoint(String id, EndpointState state, long startedAt) {
        return new Endpoint(id, 0, 0, 0, state, 1, startedAt);
    }

    public RoutingPolicyFixture list(String... replicaIds) {
        List<Endpoint> endpoints = new ArrayList<>();
        for (String id : replicaIds) {
            endpoints.add(endpoint(id));
        }
        policy.onEndpoints(now, EndpointListKind.COMPLETE, endpoints);
        return this;
    }

    /** Submits a request; returns its id. */
    String submit(long prefix, long session) {
        return submit(0, 0, prefix, session);
    }

    String submit(int classIndex, int tenant, long prefix, long session) {
        String id = "r" + requestCount++;
        policy.onRequest(
                now,
                new RoutingRequest(
                        id,
                        classIndex,
                        tenant,
                        session,
                        prefix,
                        now + 4 * SECOND,
                        0,
                        1000,
                        800,
                        100,
                        false,
                        false,
                        false));
        return id;
    }

    /** Returns the replica that the latest attempt of a request was sent to; null if there was none. */
    String replicaOf(String id) {
        for (int i = sent.size() - 1; i >= 0; i--) {
            if (sent.get(i).id.equals(id)) {
                return sent.get(i).replica;
            }
        }
        return null;
    }

    void startStream(String id, long took) {
        policy.onStreamStarted(now, id, attemptCounts.get(id) - 1, took);
    }

    void endAttempt(String id, AttemptOutcome outcome) {
        boolean served = outcome == AttemptOutcome.OK;
        if (served) {
            finalAnswers.merge(id, "ok", (a, b) -> a + "," + b);
        }
        policy.onAttemptEnded(now, id, attemptCounts.get(id) - 1, outcome, 50_000, served, 800, null);
    }

    /** Ends the latest attempt of a request with a complete answer and a number of cached prompt tokens. */
    void serveWithCachedTokens(String id, long tokens) {
        finalAnswers.merge(id, "ok", (a, b) -> a + "," + b);
        policy.onAttemptEnded(now, id, attemptCounts.get(id) - 1, AttemptOutcome.OK, 50_000, true, tokens, null);
    }

    /** Submits a request and serves it completely; returns its replica. */
    String serve(long prefix, long session) {
        String id = submit(prefix, session);
        String replica = replicaOf(id);
        startStream(id, 50_000);
        endAttempt(id, AttemptOutcome.OK);
        return replica;
    }

    /** Advances the clock in steps of 100 ms and fires the timers that are due. */
    void advance(long micros) {
        long end = now + micros;
        while (now < end) {
            now = Math.min(end, now + 100_000);
            List<Long> pending = new ArrayList<>(timers);
            timers.clear();
            for (long time : pending) {
                if (time <= now) {
                    policy.onTimer(now, 1);
                } else {
                    timers.add(time);
                }
            }
        }
    }

    @Override
    public void sendAttempt(String id, String replica, long timeout, long writeDeadline) {
        sent.add(new Sent(id, replica, now, timeout));
        attemptCounts.merge(id, 1, Integer::sum);
    }

    @Override
    public void cancelAttempt(String id, int attempt) {
        cancelledAttempts.add(id + "/" + attempt);
    }

    @Override
    public void reject(String id, long retryAfter) {
        finalAnswers.merge(id, "rejected", (a, b) -> a + "," + b);
    }

    @Override
    public void fail(String id) {
        finalAnswers.merge(id, "failed", (a, b) -> a + "," + b);
    }

    @Override
    public void watchEndpoints() {
        watchCount++;
    }

    @Override
    public void setTimer(long at, long token) {
        timers.add(at);
    }

    @Override
    public void sendHealthCheck(String replica) {
        checkedReplicas.add(replica);
    }

    @Override
    public void migrateStream(String id) {
        migratedStreams.add(id);
    }

    @Override
    public void fetchEndpoints() {
        throw new AssertionError("the policy must not fetch endpoint lists");
    }

    @Override
    public void unwatchEndpoints() {
        throw new AssertionError("the policy must not close its watch");
    }

    @Override
    public void closeIdleConnections(String replica) {
        closedConnections.add(replica);
    }

    @Override
    public void sendToPeer(int peer, byte[] payload) {
        throw new AssertionError("the policy must not send peer messages");
    }

    @Override
    public void log(String text) {
        logs.add(text);
    }

    // ---- Shared fixtures --------------------------------------------------------------------------------
    /** Returns the ids of {@code count} replicas. */
    static String[] replicaNames(int count) {
        String[] names = new String[count];
        for (int i = 0; i < count; i++) {
            names[i] = "10.0.0." + i + ":9000";
        }
        return names;
    }

    /** Returns an endpoint with a weight; even indexes are in zone 0, odd ones in zone 1. */
    static Endpoint endpointOfSize(int index, double weight) {
        return new Endpoint("10.0.0." + index + ":9000", index % 2, 0, 0, EndpointState.LIVE, weight, 0);
    }

    /** Creates a router where traffic between zones and connections have a cost. */
    static RoutingPolicyFixture withCosts(
            int instanceIndex, int instanceCount, double crossZone, double connection, WeightMeaning weights) {
        RoutingSettings defaults = settings(instanceCount);
        return new RoutingPolicyFixture(RoutingSettingsBuilder.from(defaults)
                .instance(instanceIndex, instanceCount)
                .weightMeaning(weights)
                .costs(new RoutingCosts(crossZone, 0, 0, 0, connection, 0))
                .build());
    }

    /** Serves requests of many sessions, so that shares of traffic are reliable. */
    static void serveManySessions(RoutingPolicyFixture router) {
        for (long session = 1; session <= 500; session++) {
            router.serve(0, 100_000 + session);
            router.advance(20_000);
        }
    }

    static LoadReport loadReport(double queue, double latencyMs) {
        double absent = Double.NaN;
        return new LoadReport(absent, queue, absent, latencyMs, absent, 0, absent, absent);
    }

    /** Serves a request's first attempt, whose answer contains a load report. */
    static void serveWithReport(RoutingPolicyFixture router, String id, LoadReport load) {
        router.startStream(id, 50_000);
        router.policy.onAttemptEnded(router.now, id, 0, AttemptOutcome.OK, 50_000, true, 800, load);
    }
}
