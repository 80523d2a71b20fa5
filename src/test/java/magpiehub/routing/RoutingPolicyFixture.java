package magpiehub.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** A routing policy under test with its host: feeds events and records actions. Times are in microseconds. */
public final class RoutingPolicyFixture implements RoutingActions {
    public static final long SECOND = 1_000_000;

    /** An attempt that was sent. */
    record Sent(String id, String server, long at, long timeout) {}

    final List<Sent> sent = new ArrayList<>();
    final Map<String, Integer> attemptCounts = new HashMap<>();
    final Map<String, String> finalAnswers = new HashMap<>();
    final List<String> probedReplicas = new ArrayList<>();
    final List<String> cancelledAttempts = new ArrayList<>();
    final List<String> closedConnections = new ArrayList<>();
    final List<String> migratedStreams = new ArrayList<>();
    final List<String> logs = new ArrayList<>();
    final List<Long> timers = new ArrayList<>();
    int watchCount;
    long now = SECOND;
    final RoutingSettings settings;
    final RoutingPolicy policy;
    private int ids;

    RoutingPolicyFixture(RoutingSettings settings) {
        this(settings, new ConnectFailureZoneHealth());
    }

    RoutingPolicyFixture(RoutingSettings settings, ZoneHealth zones) {
        this.settings = settings;
        policy = new RoutingPolicy(settings, 42, this, now, zones);
    }

    public static RequestClass requestClass(Idempotency effect, DeduplicationScope group) {
        return new RequestClass("c", effect, group, 3 * SECOND, true, SECOND, 0, 0, 4 * SECOND, 60_000, 1, 0.3);
    }

    public static RoutingSettings settings(int instances, RequestClass... classes) {
        return settings(instances, true, false, List.of(), classes);
    }

    public static RoutingSettings settings(
            int instances, boolean parallel, boolean subscribe, List<Tenant> tenants, RequestClass... classes) {
        List<RequestClass> requestClasses = classes.length == 0
                ? List.of(requestClass(Idempotency.IDEMPOTENT, DeduplicationScope.ALL))
                : List.of(classes);
        return new RoutingSettings(
                0,
                instances,
                0,
                2,
                subscribe,
                false,
                WeightMeaning.NONE,
                0.1,
                requestClasses,
                tenants,
                new RoutingLimits(true, true, false, parallel, true, 6, 1000, 2 * SECOND, SECOND / 4),
                new Guarantees(20_000, 10 * SECOND, 20 * SECOND, 2 * SECOND, 2.5, 0.12, SECOND / 2),
                new RoutingCosts(0.03, 0.05, 0.002, 0.03, 0, 0));
    }

    public static Endpoint server(String id) {
        return new Endpoint(id, 0, 0, 0, EndpointState.LIVE, 1, 0);
    }

    public static Endpoint server(String id, EndpointState state, long online) {
        return new Endpoint(id, 0, 0, 0, state, 1, online);
    }

    public RoutingPolicyFixture list(String... ids) {
        List<Endpoint> l = new ArrayList<>();
        for (String id : ids) {
            l.add(server(id));
        }
        policy.onEndpoints(now, EndpointListKind.COMPLETE, l);
        return this;
    }

    /** Sends a request in; returns its id. */
    String submit(long prefix, long session) {
        return submit(0, 0, prefix, session);
    }

    String submit(int classIndex, int tenant, long prefix, long session) {
        String id = "r" + ids++;
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

    /** The replica that the newest attempt of a request went to; null if it was not sent. */
    String replicaOf(String id) {
        for (int i = sent.size() - 1; i >= 0; i--) {
            if (sent.get(i).id.equals(id)) {
                return sent.get(i).server;
            }
        }
        return null;
    }

    void startStream(String id, long took) {
        policy.onStreamStarted(now, id, attemptCounts.get(id) - 1, took);
    }

    void endAttempt(String id, AttemptOutcome outcome) {
        boolean ok = outcome == AttemptOutcome.OK;
        if (ok) {
            finalAnswers.merge(id, "ok", (a, b) -> a + "," + b);
        }
        policy.onAttemptEnded(now, id, attemptCounts.get(id) - 1, outcome, 50_000, ok, 800, null);
    }

    /** Serves a request whose replica found so many prompt tokens cached. */
    void serveWithCachedTokens(String id, long tokens) {
        finalAnswers.merge(id, "ok", (a, b) -> a + "," + b);
        policy.onAttemptEnded(now, id, attemptCounts.get(id) - 1, AttemptOutcome.OK, 50_000, true, tokens, null);
    }

    /** A request from start to end; returns where it was served. */
    String serve(long prefix, long session) {
        String id = submit(prefix, session);
        String at = replicaOf(id);
        startStream(id, 50_000);
        endAttempt(id, AttemptOutcome.OK);
        return at;
    }

    void advance(long us) {
        long end = now + us;
        while (now < end) {
            now = Math.min(end, now + 100_000);
            List<Long> due = new ArrayList<>(timers);
            timers.clear();
            for (long t : due) {
                if (t <= now) {
                    policy.onTimer(now, 1);
                } else {
                    timers.add(t);
                }
            }
        }
    }

    @Override
    public void sendAttempt(String id, String server, long timeout) {
        sent.add(new Sent(id, server, now, timeout));
        attemptCounts.merge(id, 1, Integer::sum);
    }

    @Override
    public void cancelAttempt(String id, int attempt) {
        cancelledAttempts.add(id + "/" + attempt);
    }

    @Override
    public void reject(String id, long retryAfter) {
        finalAnswers.merge(id, "refused", (a, b) -> a + "," + b);
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
    public void sendHealthCheck(String server) {
        probedReplicas.add(server);
    }

    @Override
    public void migrateStream(String id) {
        migratedStreams.add(id);
    }

    @Override
    public void fetchEndpoints() {
        throw new AssertionError("the module never fetches");
    }

    @Override
    public void unwatchEndpoints() {
        throw new AssertionError("the module never gives its subscription up");
    }

    @Override
    public void closeIdleConnections(String server) {
        closedConnections.add(server);
    }

    @Override
    public void sendToPeer(int peer, byte[] payload) {
        throw new AssertionError("the module has no peers");
    }

    @Override
    public void log(String text) {
        logs.add(text);
    }

    // ---- Fixtures that several tests share ------------------------------------------------------------
    /** The ids of so many replicas. */
    static String[] replicaNames(int count) {
        String[] names = new String[count];
        for (int i = 0; i < count; i++) {
            names[i] = "10.0.0." + i + ":9000";
        }
        return names;
    }

    /** A replica of a weight; even ones are in zone 0, odd ones in zone 1. */
    static Endpoint endpointOfSize(int i, double weight) {
        return new Endpoint("10.0.0." + i + ":9000", i % 2, 0, 0, EndpointState.LIVE, weight, 0);
    }

    /** A router where crossing zones and keeping connections have a price. */
    static RoutingPolicyFixture withCosts(
            int instanceIndex, int instanceCount, double crossZone, double connection, WeightMeaning weights) {
        RoutingSettings defaults = settings(instanceCount);
        return new RoutingPolicyFixture(new RoutingSettings(
                instanceIndex,
                instanceCount,
                0,
                2,
                false,
                false,
                weights,
                0.1,
                defaults.classes(),
                defaults.tenants(),
                defaults.limits(),
                defaults.guarantees(),
                new RoutingCosts(crossZone, 0, 0, 0, connection, 0)));
    }

    /** Serves traffic of many sessions so that shares of traffic are believed. */
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

    /** Serves a request's first attempt, which brings a load report. */
    static void serveWithReport(RoutingPolicyFixture router, String id, LoadReport load) {
        router.startStream(id, 50_000);
        router.policy.onAttemptEnded(router.now, id, 0, AttemptOutcome.OK, 50_000, true, 800, load);
    }
}
