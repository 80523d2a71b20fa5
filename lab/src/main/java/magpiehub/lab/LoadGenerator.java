package magpiehub.lab;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import magpiehub.concurrent.DaemonThreads;
import magpiehub.http.HttpHead;
import magpiehub.http.HttpReader;
import org.HdrHistogram.Histogram;

/**
 * Open-loop load generator for all sites, with one client-side load balancer per site. Requests are sent when they are
 * due, regardless of earlier responses, and latencies count from the due time. A balancer sends to the routers of its
 * own site that pass their health checks, and to other sites only while there are none. Responses are validated
 * against what the engines' streams contain, not against what a router reports.
 */
final class LoadGenerator {
    /** How a request ended for its client; reports show these names. */
    enum RequestOutcome {
        /** The complete stream of one engine, with the first token within the latency target. */
        SERVED,
        /** The complete stream of one engine, with the first token after the latency target. */
        LATE,
        /** Status 429 or 503. */
        REFUSED,
        /** Any other status than 200, 429 and 503. */
        FAILED,
        /** The stream was cut off. */
        BROKEN,
        /** No response within the time limit. */
        SILENT,
        /** The connection ended without a response. */
        NONE,
        /** No router was available or reachable. */
        NOWHERE,
        /** The stream ended normally but is not the complete stream of one engine. */
        SPOILT
    }

    /**
     * One request. Times are in microseconds of the monotonic clock.
     *
     * @param router the last router that it was sent to, -1 if none
     * @param first time from {@code due} to the first token, -1 if there was none
     * @param again number of retries
     * @param excused whether an injected fault explains the result
     * @param talk the conversation's session hash
     */
    record RequestRecord(
            String call,
            int site,
            int router,
            int kind,
            long due,
            long sent,
            long first,
            long end,
            RequestOutcome how,
            int again,
            double gain,
            boolean excused,
            String talk) {
        /** Whether a healthy router returned no response or an invalid one. */
        boolean unanswered() {
            return !excused
                    && (how == RequestOutcome.NONE || how == RequestOutcome.SILENT || how == RequestOutcome.SPOILT);
        }
    }

    /** A router as seen by a load balancer. */
    record RouterTarget(int router, int site, String name) {}

    /** The actual state of the routers, as known from fault injection. */
    interface RouterHealth {
        /** Whether a router's process and the path to it have been free of faults since a time (us). */
        boolean whole(int fromSite, int router, long since);

        /** Called when a healthy router has left a request without a response. */
        void unanswered(int router, String call);
    }

    private static final long HEALTH_CHECK_INTERVAL_MICROS = 200_000;
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
    /** Warm-up time before the first request that is counted (us). */
    static final long WARM_UP_MICROS = 2_000_000;

    private static final class Connection {
        final Socket socket;
        final HttpReader in;
        boolean used;

        Connection(InetSocketAddress to) throws IOException {
            socket = new Socket();
            socket.setTcpNoDelay(true);
            socket.connect(to, CONNECT_TIMEOUT_MILLIS);
            InputStream raw = socket.getInputStream();
            in = new HttpReader(raw, EngineSiteProcess::nowMicros);
        }
    }

    /** The load balancer of one site: the routers that it considers up, and idle connections to them. */
    private final class SiteBalancer {
        final int site;
        final boolean[] isUp;
        final long[] failingSince;
        final Map<Integer, ArrayDeque<Connection>> idle = new HashMap<>();
        int nextIndex;

        SiteBalancer(int site) {
            this.site = site;
            this.isUp = new boolean[targets.size()];
            this.failingSince = new long[targets.size()];
        }

        synchronized int pickRouter(int excludedRouter) {
            List<Integer> own = new ArrayList<>();
            List<Integer> others = new ArrayList<>();
            for (int i = 0; i < isUp.length; i++) {
                if (isUp[i] && i != excludedRouter) {
                    (targets.get(i).site == site ? own : others).add(i);
                }
            }
            List<Integer> from = own.isEmpty() ? others : own;
            return from.isEmpty() ? -1 : from.get(nextIndex++ % from.size());
        }

        synchronized Connection idle(int router) {
            ArrayDeque<Connection> q = idle.get(router);
            return q == null ? null : q.pollLast();
        }

        synchronized void release(int router, Connection c) {
            idle.computeIfAbsent(router, k -> new ArrayDeque<>()).addLast(c);
        }

        /** Runs health checks of one router; it counts as down once checks have failed for {@code noticeMs}. */
        void runHealthChecks(int router) {
            while (!finished) {
                boolean healthy = false;
                try (Socket s = new Socket()) {
                    s.connect(address.of(site, router), CONNECT_TIMEOUT_MILLIS);
                    s.setSoTimeout(CONNECT_TIMEOUT_MILLIS);
                    s.getOutputStream()
                            .write("GET /up HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
                                    .getBytes(StandardCharsets.US_ASCII));
                    HttpReader in = new HttpReader(s.getInputStream(), EngineSiteProcess::nowMicros);
                    healthy = in.awaitMessage() && in.readResponseHead().status() == 200;
                } catch (IOException e) {
                    healthy = false;
                }
                long now = EngineSiteProcess.nowMicros();
                synchronized (this) {
                    if (healthy) {
                        isUp[router] = true;
                        failingSince[router] = Long.MAX_VALUE;
                    } else if (failingSince[router] == Long.MAX_VALUE) {
                        failingSince[router] = now;
                    } else if (now - failingSince[router] >= scenario.noticeMs * 1000) {
                        isUp[router] = false;
                    }
                    LoadGenerator.this.notifyHealthChange();
                }
                EngineSiteProcess.sleep(HEALTH_CHECK_INTERVAL_MICROS);
            }
        }
    }

    /** Resolves the address at which a site's load balancer reaches a router. */
    interface Addresses {
        InetSocketAddress of(int fromSite, int router);
    }

    private final Scenario scenario;
    private final List<RouterTarget> targets;
    private final Addresses address;
    private final RouterHealth routerHealth;
    private final List<SiteBalancer> balancers = new ArrayList<>();
    private final List<RequestRecord> results = new ArrayList<>();
    private final ExecutorService requestExecutor =
            Executors.newCachedThreadPool(r -> DaemonThreads.newThread("client", r));
    private int pendingRequests;
    private volatile long countFromMicros;
    private volatile boolean finished;

    LoadGenerator(Scenario scenario, List<RouterTarget> targets, Addresses address, RouterHealth routerHealth) {
        this.scenario = scenario;
        this.targets = targets;
        this.address = address;
        this.routerHealth = routerHealth;
    }

    private void notifyHealthChange() {
        synchronized (balancers) {
            balancers.notifyAll();
        }
    }

    /** Starts the load balancers and waits until each sees all routers up; returns false on time-out. */
    boolean ready(long timeoutMicros) {
        for (int i = 0; i < scenario.sites.size(); i++) {
            SiteBalancer f = new SiteBalancer(i);
            java.util.Arrays.fill(f.failingSince, 0);
            balancers.add(f);
        }
        for (SiteBalancer f : balancers) {
            for (RouterTarget t : targets) {
                DaemonThreads.newThread("front", () -> f.runHealthChecks(t.router))
                        .start();
            }
        }
        long until = EngineSiteProcess.nowMicros() + timeoutMicros;
        synchronized (balancers) {
            while (EngineSiteProcess.nowMicros() < until) {
                if (balancers.stream().allMatch(this::seesAllRouters)) {
                    return true;
                }
                EngineSiteProcess.await(balancers, 100_000);
            }
        }
        return false;
    }

    private boolean seesAllRouters(SiteBalancer f) {
        return targets.stream().allMatch(t -> f.isUp[t.router]);
    }

    /** A conversation of several turns, whose prompt grows with each turn. */
    private static final class Conversation {
        final String hash;
        final String prefix;
        final int kind;
        int prompt;

        Conversation(String hash, String prefix, int kind, int prompt) {
            this.hash = hash;
            this.prefix = prefix;
            this.kind = kind;
            this.prompt = prompt;
        }
    }

    /** Sends requests from a time on until the run ends; one thread per site generates arrivals. */
    List<Thread> send(long from) {
        countFromMicros = from;
        List<Thread> all = new ArrayList<>();
        for (SiteBalancer f : balancers) {
            SplittableRandom random = new SplittableRandom(scenario.seed * 31 + f.site);
            Thread t = DaemonThreads.newThread("arrivals", () -> generateArrivals(f, from, random));
            t.start();
            all.add(t);
        }
        return all;
    }

    private void generateArrivals(SiteBalancer f, long from, SplittableRandom random) {
        double rate = scenario.sites.get(f.site).rate();
        List<Conversation> conversations = new ArrayList<>();
        Scenario.Requests q = scenario.requests;
        // The same load is sent uncounted during warm-up, while the laboratory's code and all connections are new.
        double at = from - WARM_UP_MICROS;
        long end = from + scenario.lengthMs * 1000;
        while (rate > 0) {
            at += -Math.log(1 - random.nextDouble()) * 1e6 / rate;
            if (at >= end) {
                return;
            }
            Conversation t;
            if (!conversations.isEmpty() && random.nextDouble() < 1 - 1 / Math.max(1, q.turns())) {
                t = conversations.get(random.nextInt(conversations.size()));
            } else {
                int kind = kind(q, random.nextDouble());
                Scenario.RequestClass k = q.classes().get(kind);
                t = new Conversation(
                        hex(random.nextLong()),
                        q.prefixes() > 0 ? hex(rank(q, random.nextDouble())) : null,
                        kind,
                        k.prompt()[0] + random.nextInt(k.prompt()[1] - k.prompt()[0] + 1));
                conversations.add(t);
                if (conversations.size() > 40) {
                    conversations.remove(random.nextInt(conversations.size()));
                }
            }
            Scenario.RequestClass k = q.classes().get(t.kind);
            int max = k.output()[0] + random.nextInt(k.output()[1] - k.output()[0] + 1);
            String call = hex(random.nextLong());
            int prompt = t.prompt;
            t.prompt = Math.min(4 * k.prompt()[1], t.prompt + max + 20);
            String tenant = tenant(q, random.nextDouble());
            long due = (long) at;
            long wait = due - EngineSiteProcess.nowMicros();
            if (wait > 0) {
                EngineSiteProcess.sleep(wait);
            }
            Conversation talk = t;
            synchronized (results) {
                pendingRequests++;
            }
            requestExecutor.execute(() -> sendRequest(f, call, talk, prompt, max, tenant, due));
        }
    }

    private static int kind(Scenario.Requests q, double u) {
        double all =
                q.classes().stream().mapToDouble(Scenario.RequestClass::part).sum();
        for (int i = 0; i < q.classes().size(); i++) {
            u -= q.classes().get(i).part() / all;
            if (u < 0) {
                return i;
            }
        }
        return q.classes().size() - 1;
    }

    private static String tenant(Scenario.Requests q, double u) {
        double all = q.tenants().stream().mapToDouble(Scenario.Tenant::share).sum();
        for (Scenario.Tenant t : q.tenants()) {
            u -= t.share() / all;
            if (u < 0) {
                return t.name();
            }
        }
        return q.tenants().isEmpty() ? "nobody" : q.tenants().get(0).name();
    }

    private static int rank(Scenario.Requests q, double u) {
        double all = 0;
        for (int i = 1; i <= q.prefixes(); i++) {
            all += Math.pow(i, -q.zipf());
        }
        for (int i = 1; i <= q.prefixes(); i++) {
            u -= Math.pow(i, -q.zipf()) / all;
            if (u < 0) {
                return i;
            }
        }
        return q.prefixes();
    }

    private static String hex(long v) {
        return String.format(Locale.ROOT, "%016x", v);
    }

    // ---- One request ----------------------------------------------------------------------------------
    private void sendRequest(
            SiteBalancer f, String call, Conversation t, int prompt, int max, String tenant, long due) {
        Scenario.RequestClass k = scenario.requests.classes().get(t.kind);
        long deadline = due + k.deadlineMs() * 1000;
        if (due >= countFromMicros) {
            synchronized (late) {
                late.recordValue(Math.max(0, Math.min(60_000_000L, EngineSiteProcess.nowMicros() - due)));
            }
        }
        int excludedRouter = -1;
        RequestRecord r = null;
        String id = call;
        for (int again = 0; ; ) {
            int router = f.pickRouter(excludedRouter);
            long sent = EngineSiteProcess.nowMicros();
            if (router < 0) {
                r = new RequestRecord(
                        id,
                        f.site,
                        -1,
                        t.kind,
                        due,
                        sent,
                        -1,
                        sent,
                        RequestOutcome.NOWHERE,
                        again,
                        k.gain(),
                        true,
                        t.hash);
                break;
            }
            long[] times = {-1, 0};
            RequestOutcome how;
            try {
                how = exchange(f, router, id, t, prompt, max, tenant, deadline, k, again > 0, due, times);
            } catch (IOException e) {
                how = RequestOutcome.NOWHERE; // No connection could be opened, and no open one was left.
            }
            long now = EngineSiteProcess.nowMicros();
            boolean whole = routerHealth.whole(f.site, router, sent);
            if (whole && (how == RequestOutcome.SILENT || how == RequestOutcome.NONE)) {
                routerHealth.unanswered(router, id);
            }
            r = new RequestRecord(
                    id, f.site, router, t.kind, due, sent, times[0], now, how, again, k.gain(), !whole, t.hash);
            if (how == RequestOutcome.NOWHERE && now < deadline && excludedRouter < 0) {
                excludedRouter = router; // The load balancer tries one other router.
                continue;
            }
            if (how == RequestOutcome.REFUSED && again < scenario.requests.retries() && now + times[1] < deadline) {
                again++;
                EngineSiteProcess.sleep(Math.max(20_000, times[1]));
                id = call.substring(0, 14) + String.format(Locale.ROOT, "%02x", again);
                continue;
            }
            break;
        }
        synchronized (results) {
            if (due >= countFromMicros) {
                results.add(r);
            }
            pendingRequests--;
            results.notifyAll();
        }
    }

    private RequestOutcome exchange(
            SiteBalancer f,
            int router,
            String id,
            Conversation t,
            int prompt,
            int max,
            String tenant,
            long deadline,
            Scenario.RequestClass k,
            boolean again,
            long due,
            long[] times)
            throws IOException {
        byte[] request =
                request(id, t, prompt, max, tenant, (deadline - EngineSiteProcess.nowMicros()) / 1000, k, again);
        Connection c = f.idle(router);
        while (true) {
            if (c == null) {
                c = new Connection(address.of(f.site, router));
            }
            boolean used = c.used;
            c.used = true;
            boolean begun = false;
            try {
                c.socket.getOutputStream().write(request);
                // Allows time past the deadline for the router's final answer and for scheduling delays of this
                // machine.
                c.socket.setSoTimeout((int) Math.max(1_000, (deadline - EngineSiteProcess.nowMicros()) / 1000 + 2_000));
                begun = c.in.awaitMessage();
            } catch (SocketTimeoutException e) {
                c.socket.close();
                return RequestOutcome.SILENT;
            } catch (IOException e) {
                begun = false;
            }
            if (!begun) {
                c.socket.close();
                if (used) {
                    c = null; // The router closed the idle connection before reading the request: retry on a new one.
                    continue;
                }
                return RequestOutcome.NONE;
            }
            return answer(f, router, c, id, max, k, due, times);
        }
    }

    private RequestOutcome answer(
            SiteBalancer f,
            int router,
            Connection c,
            String id,
            int max,
            Scenario.RequestClass k,
            long due,
            long[] times)
            throws IOException {
        try {
            HttpHead h = c.in.readResponseHead();
            if (h.status() != 200) {
                c.in.readBody(h);
                String after = h.headers().get("Retry-After");
                times[1] = after == null ? 0 : (long) (Double.parseDouble(after) * 1e6);
                finish(f, router, c, h);
                return h.status() == 503 || h.status() == 429 ? RequestOutcome.REFUSED : RequestOutcome.FAILED;
            }
            int[] nextIndex = {0};
            boolean[] done = {false, false};
            c.in.readEvents(h, e -> {
                if (times[0] < 0) {
                    times[0] = EngineSiteProcess.nowMicros() - due;
                }
                String s = new String(e, StandardCharsets.UTF_8);
                int at = s.indexOf("\"content\":\"");
                if (at >= 0) {
                    String[] w = s.substring(at + 11, s.indexOf(';', at)).split(" ");
                    done[1] |= !w[0].equals(id) || Integer.parseInt(w[1]) != nextIndex[0];
                    nextIndex[0] = Integer.parseInt(w[2]);
                }
                done[0] |= s.contains("[DONE]");
            });
            if (done[1] || (done[0] && nextIndex[0] != max) || !done[0]) {
                c.socket.close();
                return RequestOutcome.SPOILT; // Ended normally, but is not the complete stream of one engine.
            }
            finish(f, router, c, h);
            return times[0] <= k.aimMs() * 1000 ? RequestOutcome.SERVED : RequestOutcome.LATE;
        } catch (SocketTimeoutException e) {
            c.socket.close();
            return times[0] < 0 ? RequestOutcome.SILENT : RequestOutcome.BROKEN;
        } catch (IOException | InterruptedException e) {
            c.socket.close();
            return RequestOutcome.BROKEN;
        }
    }

    /** Ends an exchange; any further bytes on the connection are counted as a second response. */
    private void finish(SiteBalancer f, int router, Connection c, HttpHead h) throws IOException {
        if (!c.in.isBufferEmpty() || c.socket.getInputStream().available() > 0) {
            synchronized (results) {
                duplicateResponses++;
            }
        }
        if (h.closesConnection()) {
            c.socket.close();
        } else {
            f.release(router, c);
        }
    }

    private int duplicateResponses;
    /** Delay between due time and sending (us): the laboratory's own error in the measurements. */
    private final Histogram late = new Histogram(60_000_000L, 3);

    /** A prompt of so many tokens: the shared prefix, then the conversation's own text; each turn extends the last. */
    private String text(Conversation t, int prompt) {
        StringBuilder b = new StringBuilder(4 * prompt + 32);
        int shared = t.prefix == null ? 0 : 4 * scenario.requests.prefixTokens();
        for (int i = 0; b.length() < 4 * prompt; i++) {
            b.append(b.length() < shared ? t.prefix : t.hash).append(i).append(' ');
        }
        b.setLength(4 * prompt);
        return b.toString();
    }

    private byte[] request(
            String id,
            Conversation t,
            int prompt,
            int max,
            String tenant,
            long budgetMillis,
            Scenario.RequestClass k,
            boolean again) {
        String text = text(t, prompt);
        byte[] body = ("{\"model\":\"m\",\"stream\":true,\"max_tokens\":" + max
                        + ",\"messages\":[{\"role\":\"user\",\"content\":\"" + text + "\"}]}")
                .getBytes(StandardCharsets.US_ASCII);
        byte[] head = ("POST /v1/chat/completions HTTP/1.1\r\nHost: origin.svc\r\nX-Call-Id: " + id
                        + "\r\nX-Call-Class: " + k.name() + "\r\nX-Caller: " + tenant + "\r\nX-Route-Hash: " + t.hash
                        + "\r\nX-Budget-Ms: " + Math.max(1, budgetMillis) + "\r\nX-Call-Info: "
                        + (t.prefix == null
                                ? ""
                                : "prefix=" + t.prefix + ",prefix_len="
                                        + Math.min(prompt, scenario.requests.prefixTokens()) + ",")
                        + "prompt_len=" + prompt
                        + ",max_out=" + max + "\r\n" + (again ? "X-Again: 1\r\n" : "")
                        + "Content-Type: application/json\r\nContent-Length: " + body.length + "\r\n\r\n")
                .getBytes(StandardCharsets.US_ASCII);
        byte[] all = java.util.Arrays.copyOf(head, head.length + body.length);
        System.arraycopy(body, 0, all, head.length, body.length);
        return all;
    }

    /** Waits until all requests have ended, at most for the given time (us), and returns those that have. */
    List<RequestRecord> finish(long timeoutMicros) {
        long until = EngineSiteProcess.nowMicros() + timeoutMicros;
        synchronized (results) {
            while (pendingRequests > 0 && EngineSiteProcess.nowMicros() < until) {
                EngineSiteProcess.await(results, 100_000);
            }
            finished = true;
            return List.copyOf(results);
        }
    }

    /** Number of unsolicited second responses on a connection. */
    int duplicateResponses() {
        synchronized (results) {
            return duplicateResponses;
        }
    }

    /** 99th percentile of the delay between due time and sending (us), which is the laboratory's own error. */
    long late() {
        synchronized (late) {
            return late.getValueAtPercentile(99);
        }
    }

    /** Number of requests that have not ended. */
    int open() {
        synchronized (results) {
            return pendingRequests;
        }
    }
}
