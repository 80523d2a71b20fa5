package magpiehub.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** One node under test: feeds events, records actions. Times are in microseconds. */
public final class RoutingPolicyFixture implements RoutingActions {
    public static final long S = 1_000_000;

    /** What was sent, and what became of it. */
    record Sent(String id, String server, long at, long timeout) {}

    final List<Sent> sent = new ArrayList<>();
    final Map<String, Integer> tries = new HashMap<>();
    final Map<String, String> finals = new HashMap<>();
    final List<String> probes = new ArrayList<>();
    final List<String> cancels = new ArrayList<>();
    final List<String> closes = new ArrayList<>();
    final List<String> moves = new ArrayList<>();
    final List<String> logs = new ArrayList<>();
    final List<Long> timers = new ArrayList<>();
    int watches;
    long now = S;
    final RoutingSettings settings;
    final RoutingPolicy node;
    private int ids;

    RoutingPolicyFixture(RoutingSettings settings) {
        this(settings, new ConnectFailureZoneHealth());
    }

    RoutingPolicyFixture(RoutingSettings settings, ZoneHealth zones) {
        this.settings = settings;
        node = new RoutingPolicy(settings, 42, this, now, zones);
    }

    public static RequestClass cls(Idempotency effect, DeduplicationScope group) {
        return new RequestClass("c", effect, group, 3 * S, true, S, 0, 0, 4 * S, 60_000, 1, 0.3);
    }

    public static RoutingSettings settings(int instances, RequestClass... classes) {
        return settings(instances, true, false, List.of(), classes);
    }

    public static RoutingSettings settings(
            int instances, boolean parallel, boolean subscribe, List<Tenant> tenants, RequestClass... classes) {
        List<RequestClass> c =
                classes.length == 0 ? List.of(cls(Idempotency.IDEMPOTENT, DeduplicationScope.ALL)) : List.of(classes);
        return new RoutingSettings(
                0,
                instances,
                0,
                2,
                subscribe,
                false,
                WeightMeaning.NONE,
                0.1,
                c,
                tenants,
                new RoutingLimits(true, true, false, parallel, true, 6, 1000, 2 * S, S / 4),
                new Guarantees(20_000, 10 * S, 20 * S, 2 * S, 2.5, 0.12, S / 2),
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
        node.list(now, EndpointListKind.COMPLETE, l);
        return this;
    }

    /** Sends a request in; returns its id. */
    String ask(long prefix, long session) {
        return ask(0, 0, prefix, session);
    }

    String ask(int cls, int tenant, long prefix, long session) {
        String id = "r" + ids++;
        node.request(
                now,
                new RoutingRequest(
                        id, cls, tenant, session, prefix, now + 4 * S, 0, 1000, 800, 100, false, false, false));
        return id;
    }

    /** The server that the newest attempt of a request went to; null if it was not sent. */
    String where(String id) {
        for (int i = sent.size() - 1; i >= 0; i--) {
            if (sent.get(i).id.equals(id)) {
                return sent.get(i).server;
            }
        }
        return null;
    }

    void begun(String id, long took) {
        node.begun(now, id, tries.get(id) - 1, took);
    }

    void outcome(String id, AttemptOutcome o) {
        boolean ok = o == AttemptOutcome.OK;
        if (ok) {
            finals.merge(id, "ok", (a, b) -> a + "," + b);
        }
        node.outcome(now, id, tries.get(id) - 1, o, 50_000, ok, 800, null);
    }

    /** Served, with so many prompt tokens found kept. */
    void kept(String id, long tokens) {
        finals.merge(id, "ok", (a, b) -> a + "," + b);
        node.outcome(now, id, tries.get(id) - 1, AttemptOutcome.OK, 50_000, true, tokens, null);
    }

    /** A request from start to end; returns where it was served. */
    String serve(long prefix, long session) {
        String id = ask(prefix, session);
        String at = where(id);
        begun(id, 50_000);
        outcome(id, AttemptOutcome.OK);
        return at;
    }

    void pass(long us) {
        long end = now + us;
        while (now < end) {
            now = Math.min(end, now + 100_000);
            List<Long> due = new ArrayList<>(timers);
            timers.clear();
            for (long t : due) {
                if (t <= now) {
                    node.timer(now, 1);
                } else {
                    timers.add(t);
                }
            }
        }
    }

    @Override
    public void send(String id, String server, long timeout) {
        sent.add(new Sent(id, server, now, timeout));
        tries.merge(id, 1, Integer::sum);
    }

    @Override
    public void cancel(String id, int attempt) {
        cancels.add(id + "/" + attempt);
    }

    @Override
    public void refuse(String id, long retryAfter) {
        finals.merge(id, "refused", (a, b) -> a + "," + b);
    }

    @Override
    public void fail(String id) {
        finals.merge(id, "failed", (a, b) -> a + "," + b);
    }

    @Override
    public void watch() {
        watches++;
    }

    @Override
    public void timer(long at, long token) {
        timers.add(at);
    }

    @Override
    public void probe(String server) {
        probes.add(server);
    }

    @Override
    public void move(String id) {
        moves.add(id);
    }

    @Override
    public void fetch() {
        throw new AssertionError("the module never fetches");
    }

    @Override
    public void unwatch() {
        throw new AssertionError("the module never gives its subscription up");
    }

    @Override
    public void close(String server) {
        closes.add(server);
    }

    @Override
    public void tell(int peer, byte[] payload) {
        throw new AssertionError("the module has no peers");
    }

    @Override
    public void log(String text) {
        logs.add(text);
    }
}
