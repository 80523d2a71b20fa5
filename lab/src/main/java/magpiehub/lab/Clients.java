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
 * The clients of all sites with the front of each: requests come when they are due, whatever became of those
 * before, and times count from then. A front sends to its own site's routers that answer their health check,
 * and to others' only while it has none. It owns the requests and the verdict on each answer. It must never
 * wait for an answer before the next request is due, nor take a router's word for what an engine said.
 */
final class Clients {
    /** How a request ended for its client. */
    enum End {
        /** All of one engine's stream, the first token before the aim, or later. */
        SERVED,
        LATE,
        /** 429 or 503; another status; the stream broke off; nothing in time; a connection ended with no
         *  answer; nobody there. */
        REFUSED,
        FAILED,
        BROKEN,
        SILENT,
        NONE,
        NOWHERE,
        /** More or other than one engine's stream. */
        SPOILT
    }

    /** One request, from when it was due (us, the machine's clock). {@code first} is its first token's time
     *  after that, {@code router} the last that it went to, {@code again} how often it came again,
     *  {@code talk} its conversation. */
    record Result(
            String call,
            int site,
            int router,
            int kind,
            long due,
            long sent,
            long first,
            long end,
            End how,
            int again,
            double gain,
            boolean excused,
            String talk) {
        /** Whether a running router left it with no answer, or with a wrong one. */
        boolean unanswered() {
            return !excused && (how == End.NONE || how == End.SILENT || how == End.SPOILT);
        }
    }

    /** A router as a front sees it. */
    record Target(int router, int site, String name) {}

    /** What the rig knows of a router, for judging it. */
    interface Truth {
        /** Whether a router's process and the path to it were whole from then until now. */
        boolean whole(int fromSite, int router, long since);

        /** A running router has left a request without an answer: what does it do? */
        void unanswered(int router, String call);
    }

    private static final long HEALTH = 200_000;
    private static final int CONNECT_MS = 1_000;
    /** How long requests come before the first that counts (us). */
    static final long WARM = 2_000_000;

    private static final class Connection {
        final Socket socket;
        final HttpReader in;
        boolean used;

        Connection(InetSocketAddress to) throws IOException {
            socket = new Socket();
            socket.setTcpNoDelay(true);
            socket.connect(to, CONNECT_MS);
            InputStream raw = socket.getInputStream();
            in = new HttpReader(raw, EngineSite::micros);
        }
    }

    /** The front of one site: which routers it believes to be there, and open connections to them. */
    private final class Front {
        final int site;
        final boolean[] up;
        final long[] failedAt;
        final Map<Integer, ArrayDeque<Connection>> idle = new HashMap<>();
        int next;

        Front(int site) {
            this.site = site;
            this.up = new boolean[targets.size()];
            this.failedAt = new long[targets.size()];
        }

        synchronized int pick(int not) {
            List<Integer> own = new ArrayList<>();
            List<Integer> others = new ArrayList<>();
            for (int i = 0; i < up.length; i++) {
                if (up[i] && i != not) {
                    (targets.get(i).site == site ? own : others).add(i);
                }
            }
            List<Integer> from = own.isEmpty() ? others : own;
            return from.isEmpty() ? -1 : from.get(next++ % from.size());
        }

        synchronized Connection idle(int router) {
            ArrayDeque<Connection> q = idle.get(router);
            return q == null ? null : q.pollLast();
        }

        synchronized void keep(int router, Connection c) {
            idle.computeIfAbsent(router, k -> new ArrayDeque<>()).addLast(c);
        }

        /** Health checks, one router after the other; one that says nothing counts as down only once that
         *  has lasted for the front's time. */
        void watch(int router) {
            while (!over) {
                boolean well = false;
                try (Socket s = new Socket()) {
                    s.connect(address.of(site, router), CONNECT_MS);
                    s.setSoTimeout(CONNECT_MS);
                    s.getOutputStream()
                            .write("GET /up HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
                                    .getBytes(StandardCharsets.US_ASCII));
                    HttpReader in = new HttpReader(s.getInputStream(), EngineSite::micros);
                    well = in.awaitMessage() && in.readResponseHead().status() == 200;
                } catch (IOException e) {
                    well = false;
                }
                long now = EngineSite.micros();
                synchronized (this) {
                    if (well) {
                        up[router] = true;
                        failedAt[router] = Long.MAX_VALUE;
                    } else if (failedAt[router] == Long.MAX_VALUE) {
                        failedAt[router] = now;
                    } else if (now - failedAt[router] >= scenario.noticeMs * 1000) {
                        up[router] = false;
                    }
                    Clients.this.told();
                }
                EngineSite.sleep(HEALTH);
            }
        }
    }

    /** Where a front reaches a router. */
    interface Addresses {
        InetSocketAddress of(int fromSite, int router);
    }

    private final Scenario scenario;
    private final List<Target> targets;
    private final Addresses address;
    private final Truth truth;
    private final List<Front> fronts = new ArrayList<>();
    private final List<Result> results = new ArrayList<>();
    private final ExecutorService callers = Executors.newCachedThreadPool(r -> DaemonThreads.newThread("client", r));
    private int out;
    private volatile long counted;
    private volatile boolean over;

    Clients(Scenario scenario, List<Target> targets, Addresses address, Truth truth) {
        this.scenario = scenario;
        this.targets = targets;
        this.address = address;
        this.truth = truth;
    }

    private void told() {
        synchronized (fronts) {
            fronts.notifyAll();
        }
    }

    /** Starts the fronts and returns once each sees its own routers; false if that takes too long. */
    boolean ready(long patienceUs) {
        for (int i = 0; i < scenario.sites.size(); i++) {
            Front f = new Front(i);
            java.util.Arrays.fill(f.failedAt, 0);
            fronts.add(f);
        }
        for (Front f : fronts) {
            for (Target t : targets) {
                DaemonThreads.newThread("front", () -> f.watch(t.router)).start();
            }
        }
        long until = EngineSite.micros() + patienceUs;
        synchronized (fronts) {
            while (EngineSite.micros() < until) {
                if (fronts.stream().allMatch(this::seesAll)) {
                    return true;
                }
                EngineSite.pause(fronts, 100_000);
            }
        }
        return false;
    }

    private boolean seesAll(Front f) {
        return targets.stream().allMatch(t -> f.up[t.router]);
    }

    /** A conversation under way. */
    private static final class Talk {
        final String hash;
        final String prefix;
        final int kind;
        int prompt;

        Talk(String hash, String prefix, int kind, int prompt) {
            this.hash = hash;
            this.prefix = prefix;
            this.kind = kind;
            this.prompt = prompt;
        }
    }

    /** Sends what is due from a time on until the play's end; one thread a site draws the requests. */
    List<Thread> send(long from) {
        counted = from;
        List<Thread> all = new ArrayList<>();
        for (Front f : fronts) {
            SplittableRandom random = new SplittableRandom(scenario.seed * 31 + f.site);
            Thread t = DaemonThreads.newThread("arrivals", () -> arrivals(f, from, random));
            t.start();
            all.add(t);
        }
        return all;
    }

    private void arrivals(Front f, long from, SplittableRandom random) {
        double rate = scenario.sites.get(f.site).rate();
        List<Talk> talks = new ArrayList<>();
        Scenario.Requests q = scenario.requests;
        // Before that the same load comes uncounted: the rig's own code and all connections are new.
        double at = from - WARM;
        long end = from + scenario.lengthMs * 1000;
        while (rate > 0) {
            at += -Math.log(1 - random.nextDouble()) * 1e6 / rate;
            if (at >= end) {
                return;
            }
            Talk t;
            if (!talks.isEmpty() && random.nextDouble() < 1 - 1 / Math.max(1, q.turns())) {
                t = talks.get(random.nextInt(talks.size()));
            } else {
                int kind = kind(q, random.nextDouble());
                Scenario.Kind k = q.classes().get(kind);
                t = new Talk(
                        hex(random.nextLong()),
                        q.prefixes() > 0 ? hex(rank(q, random.nextDouble())) : null,
                        kind,
                        k.prompt()[0] + random.nextInt(k.prompt()[1] - k.prompt()[0] + 1));
                talks.add(t);
                if (talks.size() > 40) {
                    talks.remove(random.nextInt(talks.size()));
                }
            }
            Scenario.Kind k = q.classes().get(t.kind);
            int max = k.output()[0] + random.nextInt(k.output()[1] - k.output()[0] + 1);
            String call = hex(random.nextLong());
            int prompt = t.prompt;
            t.prompt = Math.min(4 * k.prompt()[1], t.prompt + max + 20);
            String tenant = tenant(q, random.nextDouble());
            long due = (long) at;
            long wait = due - EngineSite.micros();
            if (wait > 0) {
                EngineSite.sleep(wait);
            }
            Talk talk = t;
            synchronized (results) {
                out++;
            }
            callers.execute(() -> ask(f, call, talk, prompt, max, tenant, due));
        }
    }

    private static int kind(Scenario.Requests q, double u) {
        double all = q.classes().stream().mapToDouble(Scenario.Kind::part).sum();
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
    private void ask(Front f, String call, Talk t, int prompt, int max, String tenant, long due) {
        Scenario.Kind k = scenario.requests.classes().get(t.kind);
        long deadline = due + k.deadlineMs() * 1000;
        if (due >= counted) {
            synchronized (late) {
                late.recordValue(Math.max(0, Math.min(60_000_000L, EngineSite.micros() - due)));
            }
        }
        int not = -1;
        Result r = null;
        String id = call;
        for (int again = 0; ; ) {
            int router = f.pick(not);
            long sent = EngineSite.micros();
            if (router < 0) {
                r = new Result(id, f.site, -1, t.kind, due, sent, -1, sent, End.NOWHERE, again, k.gain(), true, t.hash);
                break;
            }
            long[] times = {-1, 0};
            End how;
            try {
                how = exchange(f, router, id, t, prompt, max, tenant, deadline, k, again > 0, due, times);
            } catch (IOException e) {
                how = End.NOWHERE; // No connection came up, or none that was still open.
            }
            long now = EngineSite.micros();
            boolean whole = truth.whole(f.site, router, sent);
            if (whole && (how == End.SILENT || how == End.NONE)) {
                truth.unanswered(router, id);
            }
            r = new Result(id, f.site, router, t.kind, due, sent, times[0], now, how, again, k.gain(), !whole, t.hash);
            if (how == End.NOWHERE && now < deadline && not < 0) {
                not = router; // The front tries one other.
                continue;
            }
            if (how == End.REFUSED && again < scenario.requests.retries() && now + times[1] < deadline) {
                again++;
                EngineSite.sleep(Math.max(20_000, times[1]));
                id = call.substring(0, 14) + String.format(Locale.ROOT, "%02x", again);
                continue;
            }
            break;
        }
        synchronized (results) {
            if (due >= counted) {
                results.add(r);
            }
            out--;
            results.notifyAll();
        }
    }

    private End exchange(
            Front f,
            int router,
            String id,
            Talk t,
            int prompt,
            int max,
            String tenant,
            long deadline,
            Scenario.Kind k,
            boolean again,
            long due,
            long[] times)
            throws IOException {
        byte[] request = request(id, t, prompt, max, tenant, (deadline - EngineSite.micros()) / 1000, k, again);
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
                // Beyond the deadline by what a router may take for its last word, and by this machine's own.
                c.socket.setSoTimeout((int) Math.max(1_000, (deadline - EngineSite.micros()) / 1000 + 2_000));
                begun = c.in.awaitMessage();
            } catch (SocketTimeoutException e) {
                c.socket.close();
                return End.SILENT;
            } catch (IOException e) {
                begun = false;
            }
            if (!begun) {
                c.socket.close();
                if (used) {
                    c = null; // Its end crossed the request, which was not read: once more, anew.
                    continue;
                }
                return End.NONE;
            }
            return answer(f, router, c, id, max, k, due, times);
        }
    }

    private End answer(Front f, int router, Connection c, String id, int max, Scenario.Kind k, long due, long[] times)
            throws IOException {
        try {
            HttpHead h = c.in.readResponseHead();
            if (h.status() != 200) {
                c.in.readBody(h);
                String after = h.headers().get("Retry-After");
                times[1] = after == null ? 0 : (long) (Double.parseDouble(after) * 1e6);
                finish(f, router, c, h);
                return h.status() == 503 || h.status() == 429 ? End.REFUSED : End.FAILED;
            }
            int[] next = {0};
            boolean[] done = {false, false};
            c.in.readEvents(h, e -> {
                if (times[0] < 0) {
                    times[0] = EngineSite.micros() - due;
                }
                String s = new String(e, StandardCharsets.UTF_8);
                int at = s.indexOf("\"content\":\"");
                if (at >= 0) {
                    String[] w = s.substring(at + 11, s.indexOf(';', at)).split(" ");
                    done[1] |= !w[0].equals(id) || Integer.parseInt(w[1]) != next[0];
                    next[0] = Integer.parseInt(w[2]);
                }
                done[0] |= s.contains("[DONE]");
            });
            if (done[1] || (done[0] && next[0] != max) || !done[0]) {
                c.socket.close();
                return End.SPOILT; // Ended in order, and it is not one engine's whole stream.
            }
            finish(f, router, c, h);
            return times[0] <= k.aimMs() * 1000 ? End.SERVED : End.LATE;
        } catch (SocketTimeoutException e) {
            c.socket.close();
            return times[0] < 0 ? End.SILENT : End.BROKEN;
        } catch (IOException | InterruptedException e) {
            c.socket.close();
            return End.BROKEN;
        }
    }

    /** A second answer would stand behind the first. */
    private void finish(Front f, int router, Connection c, HttpHead h) throws IOException {
        if (!c.in.isBufferEmpty() || c.socket.getInputStream().available() > 0) {
            synchronized (results) {
                twice++;
            }
        }
        if (h.closesConnection()) {
            c.socket.close();
        } else {
            f.keep(router, c);
        }
    }

    private int twice;
    /** How late requests left (us): the rig's own share in what is measured. */
    private final Histogram late = new Histogram(60_000_000L, 3);

    /** A conversation's text up to so many tokens: the opening, then its own, the same from its start. */
    private String text(Talk t, int prompt) {
        StringBuilder b = new StringBuilder(4 * prompt + 32);
        int shared = t.prefix == null ? 0 : 4 * scenario.requests.prefixTokens();
        for (int i = 0; b.length() < 4 * prompt; i++) {
            b.append(b.length() < shared ? t.prefix : t.hash).append(i).append(' ');
        }
        b.setLength(4 * prompt);
        return b.toString();
    }

    private byte[] request(
            String id, Talk t, int prompt, int max, String tenant, long budgetMs, Scenario.Kind k, boolean again) {
        String text = text(t, prompt);
        byte[] body = ("{\"model\":\"m\",\"stream\":true,\"max_tokens\":" + max
                        + ",\"messages\":[{\"role\":\"user\",\"content\":\"" + text + "\"}]}")
                .getBytes(StandardCharsets.US_ASCII);
        byte[] head = ("POST /v1/chat/completions HTTP/1.1\r\nHost: origin.svc\r\nX-Call-Id: " + id
                        + "\r\nX-Call-Class: " + k.name() + "\r\nX-Caller: " + tenant + "\r\nX-Route-Hash: " + t.hash
                        + "\r\nX-Budget-Ms: " + Math.max(1, budgetMs) + "\r\nX-Call-Info: "
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

    /** All requests once each has ended, or those that have within so long (us). */
    List<Result> finish(long patienceUs) {
        long until = EngineSite.micros() + patienceUs;
        synchronized (results) {
            while (out > 0 && EngineSite.micros() < until) {
                EngineSite.pause(results, 100_000);
            }
            over = true;
            return List.copyOf(results);
        }
    }

    /** Answers that came behind another on one connection. */
    int twice() {
        synchronized (results) {
            return twice;
        }
    }

    /** How late all but one request in a hundred left, by the rig's own fault (us). */
    long late() {
        synchronized (late) {
            return late.getValueAtPercentile(99);
        }
    }

    /** Requests that have not ended. */
    int open() {
        synchronized (results) {
            return out;
        }
    }
}
