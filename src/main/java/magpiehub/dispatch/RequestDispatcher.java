package magpiehub.dispatch;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.PriorityQueue;
import magpiehub.concurrent.Mailbox;
import magpiehub.concurrent.MonotonicClock;
import magpiehub.routing.AttemptOutcome;
import magpiehub.routing.ConnectFailureZoneHealth;
import magpiehub.routing.Endpoint;
import magpiehub.routing.EndpointListKind;
import magpiehub.routing.LoadReport;
import magpiehub.routing.RoutingActions;
import magpiehub.routing.RoutingPolicy;
import magpiehub.routing.RoutingRequest;
import magpiehub.routing.RoutingSettings;
import magpiehub.routing.ZoneHealth;
import magpiehub.telemetry.EventLog;

/**
 * The module's actor: the sole owner of the decision module, of the open requests, of their attempts and of
 * all timers. It turns what peers post into the module's events and the module's actions into calls of the
 * ports below. It must never wait for a peer, know a wire, or decide where a request goes. Two things it
 * does itself, since no decision is in them: it closes an attempt's connection before anything else may
 * happen to the request, and it answers a request that the module has let run past its deadline.
 */
public final class RequestDispatcher {

    private record Due(long at, long order, Runnable what) {}

    /** The bytes of waiting requests that the mailbox takes: more than this is shed by the fronts. */
    private static final long MAILBOX_BYTES = 8L << 20;
    /** Within the slack: when a request that the module has not answered by its deadline is answered here. */
    private static final long BACKSTOP = 4_000;

    /** When to return, for clients of what the module refuses without naming a time: its overload control
     *  turns this often (us), and before that nothing need have changed. A shorter word brought clients back
     *  into the same overload. */
    private static final long COME_BACK = 500_000;

    /** Where lists are pushed the module asks for none, but on sockets a watch is how they come: this actor
     *  keeps one open, and opens it anew so long after it failed: what the agent has by then counts at once,
     *  and the site's time to stop sending, 2 s on the platform, has to hold the wait and the answer (us). */
    private static final long PUSHED_AGAIN = 250_000;

    private final Mailbox<Runnable> mailbox;
    private final MonotonicClock clock;
    private final UpstreamFleet fleet;
    private final EndpointListSource roster;
    private final EventLog journal;
    private final Map<String, OpenRequest> requests = new HashMap<>();
    private final PriorityQueue<Due> timers =
            new PriorityQueue<>(Comparator.comparingLong(Due::at).thenComparingLong(Due::order));
    private int mostHeld;
    private long comeBack;
    private final RoutingPolicy rules;
    private RoutingSettings settings;
    private long order;
    private long now;
    private volatile int held;
    private boolean watching;
    /** Set once by {@link #shutDown}: no request is placed from then on. */
    private boolean shuttingDown;

    /** An actor over ports; it does nothing until {@link #runTurn} or {@link #run} is called. */
    public RequestDispatcher(
            RoutingSettings settings,
            long seed,
            MonotonicClock clock,
            UpstreamFleet fleet,
            EndpointListSource roster,
            EventLog journal) {
        this(settings, seed, clock, fleet, roster, journal, new ConnectFailureZoneHealth());
    }

    /** The same with what is known of zones. */
    public RequestDispatcher(
            RoutingSettings settings,
            long seed,
            MonotonicClock clock,
            UpstreamFleet fleet,
            EndpointListSource roster,
            EventLog journal,
            ZoneHealth zones) {
        this.clock = clock;
        this.fleet = fleet;
        this.roster = roster;
        this.journal = journal;
        this.mailbox = new Mailbox<>(clock, MAILBOX_BYTES);
        hold(settings);
        this.now = clock.micros();
        this.rules = new RoutingPolicy(settings, seed, new Decisions(), now, zones);
    }

    private void hold(RoutingSettings s) {
        settings = s;
        long longest = s.limits().maxRetryAfter();
        comeBack = !s.limits().retryAfter() ? 0 : longest > 0 ? Math.min(longest, COME_BACK) : COME_BACK;
        mostHeld = s.limits().mostHeld();
    }

    /** Turns until interrupted. */
    public void run() {
        try {
            keepPushed();
            while (true) {
                runTurn(timers.isEmpty() ? Long.MAX_VALUE : timers.peek().at);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** One turn of the loop: a message, if one comes in time, and the timers that are due. */
    void runTurn(long until) throws InterruptedException {
        Runnable message = mailbox.take(until);
        now = Math.max(now, clock.micros());
        if (message != null) {
            guarded(message);
        }
        while (!timers.isEmpty() && timers.peek().at <= now) {
            guarded(timers.poll().what);
        }
        held = requests.size();
    }

    /** An exception ends the work that it came from, never the process: requests are answered at deadline. */
    private void guarded(Runnable r) {
        try {
            r.run();
        } catch (RuntimeException | StackOverflowError | OutOfMemoryError e) {
            journal.count("module_exceptions");
            journal.log(
                    "module-exception",
                    "error",
                    e.toString(),
                    "at",
                    e.getStackTrace().length > 0 ? e.getStackTrace()[0].toString() : "?");
        }
    }

    private void keepPushed() {
        if (!watching && !settings.subscribe()) {
            watching = true;
            roster.watch();
        }
    }

    private void at(long time, Runnable what) {
        timers.add(new Due(time, order++, what));
    }

    // ---- What peers post ------------------------------------------------------------------------------
    /** Requests taken and not over. Any thread. */
    public int openRequests() {
        return held;
    }

    /** A client's request; false if there is no room, and then the caller answers it. */
    public boolean submit(RoutingRequest request, ClientCallback client, Object work, int bytes) {
        return mailbox.post(() -> taken(request, client, work), bytes);
    }

    /** The client of a request has gone. */
    public void clientGone(String id) {
        mailbox.post(() -> left(id));
    }

    /** The first event of an attempt has come. It may be passed on only after {@link AttemptHandle#grant}. */
    public void streamStarted(Attempt a) {
        mailbox.post(() -> first(a));
    }

    /** An attempt has ended; its connection is closed or free. {@code kept} is -1 if not told, {@code load}
     *  null if its engine told none. */
    public void attemptEnded(Attempt a, AttemptOutcome outcome, long kept, LoadReport load) {
        mailbox.post(() -> end(a, outcome, kept, load));
    }

    /** A probe has come back. */
    public void probeCompleted(String server, AttemptOutcome outcome, long sentAt, LoadReport load) {
        mailbox.post(() -> rules.probed(now, server, outcome, now - sentAt, load));
    }

    /** Discovery's word on the engines. */
    public void updateEndpoints(EndpointListKind kind, List<Endpoint> servers) {
        mailbox.post(() -> {
            fleet.updateEndpoints(kind, servers);
            rules.list(now, kind, servers);
            if (kind == EndpointListKind.ERROR) {
                watching = false;
                at(now + PUSHED_AGAIN, this::keepPushed);
            }
            journal.count("lists_" + kind.name().toLowerCase(Locale.ROOT));
        });
    }

    /** Other settings hold from now on; classes keep their places. */
    public void updateSettings(RoutingSettings s) {
        mailbox.post(() -> {
            hold(s);
            rules.settings(now, s);
            keepPushed();
        });
    }

    /** Runs something of a port's own on the module's thread. */
    public void execute(Runnable what) {
        mailbox.post(what);
    }

    /** The process is about to be killed: running streams are ended in order, where {@code resume} says that
     *  clients ask for the rest, and each request that has not begun, or comes later, is answered at once. */
    public void shutDown(boolean resume) {
        mailbox.post(() -> {
            shuttingDown = true;
            for (OpenRequest o : List.copyOf(requests.values())) {
                if (o.streaming() == null) {
                    answerUnstarted(o);
                } else if (resume) {
                    new Decisions().move(o.id());
                }
            }
        });
    }

    /** The final answer of a request that no engine's answer is waited for any longer. */
    private void answerUnstarted(OpenRequest o) {
        boolean harmless = rules.mayRefuse(o.id());
        o.attempts().forEach(this::stop);
        ClientCallback client = answer(o, harmless ? "refused" : "failed");
        if (harmless) {
            client.reject(comeBack);
        } else {
            client.fail("stopping");
        }
        rules.abandoned(now, o.id());
    }

    // ---- Events ---------------------------------------------------------------------------------------
    private void taken(RoutingRequest r, ClientCallback client, Object work) {
        if (client.isClientGone()) {
            journal.count("taken");
            journal.count("answered_abandoned");
            return;
        }
        if (requests.containsKey(r.id())) {
            // Somebody else's open request: neither its client nor its engine may be mixed up with this one.
            journal.count("answered_failed");
            journal.count("ids_in_use");
            client.fail("id in use");
            return;
        }
        if (requests.size() >= mostHeld || shuttingDown) {
            // What is placed this late would be lost with the process.
            journal.count("answered_refused");
            client.reject(comeBack);
            return;
        }
        OpenRequest o = new OpenRequest(r, client, work);
        requests.put(r.id(), o);
        journal.count("taken");
        // Guards against a module that neither sends nor answers, or fails with an exception.
        at(r.deadline() + BACKSTOP, () -> {
            if (!o.isAnswered() && o.streaming() == null) {
                journal.count("answered_by_backstop");
                o.attempts().forEach(this::stop);
                answer(o, "failed").fail("deadline");
                rules.abandoned(now, r.id());
            }
        });
        rules.request(now, r);
    }

    private void first(Attempt a) {
        OpenRequest o = a.request();
        if (a.isOver() || o.isAnswered()) {
            return;
        }
        o.markStreaming(a);
        a.grant();
        rules.begun(now, o.id(), a.number(), a.elapsedMicros(now));
    }

    private void end(Attempt a, AttemptOutcome outcome, long kept, LoadReport load) {
        if (a.isOver()) {
            return;
        }
        a.markOver();
        OpenRequest o = a.request();
        if (o.streaming() == null && !o.isAnswered() && o.client().isClientGone()) {
            left(o.id()); // Its word is on the way: no further attempt is thought of.
        }
        boolean settled = o.isAnswered() || o.streaming() == a || outcome == AttemptOutcome.OK;
        journal.count("attempt_" + outcome.name().toLowerCase(Locale.ROOT));
        if (settled && !o.isAnswered()) {
            answer(
                    o,
                    outcome == AttemptOutcome.OK
                            ? "served"
                            : outcome == AttemptOutcome.CANCELLED ? "abandoned" : "broken");
        }
        rules.outcome(now, o.id(), a.number(), outcome, a.elapsedMicros(now), settled, kept, load);
    }

    private void left(String id) {
        OpenRequest o = requests.get(id);
        if (o == null || o.isAnswered()) {
            return;
        }
        answer(o, "abandoned");
        rules.abandoned(now, id);
        for (Attempt a : o.attempts()) {
            if (!a.isOver()) {
                // Nobody reads on: the engine is not to work for a client that has gone.
                a.abort();
                end(a, AttemptOutcome.CANCELLED, -1, null);
            }
        }
    }

    /** Ends a request; returns its client for the one last word, if it is owed one. */
    private ClientCallback answer(OpenRequest o, String how) {
        ClientCallback client = o.client();
        o.markAnswered();
        requests.remove(o.id());
        journal.count("answered_" + how);
        return client;
    }

    /** Closes an attempt's connection. The outcome follows in a turn of its own, never inside an action. */
    private void stop(Attempt a) {
        if (!a.isOver()) {
            a.abort();
            attemptEnded(a, AttemptOutcome.CANCELLED, -1, null);
        }
    }

    // ---- Actions --------------------------------------------------------------------------------------
    /** What the module has decided, carried out through the ports. */
    private final class Decisions implements RoutingActions {
        @Override
        public void send(String id, String server, long timeout) {
            OpenRequest o = requests.get(id);
            if (o == null || o.isAnswered()) {
                return;
            }
            // Guards against a second copy, whatever the module asks for: the old socket is closed first.
            for (Attempt old : o.attempts()) {
                stop(old);
            }
            long until = timeout == 0 ? o.deadlineMicros() : Math.min(o.deadlineMicros(), now + Math.max(0, timeout));
            Attempt a = o.addAttempt(server, now, until);
            if (o.client().isClientGone()) {
                clientGone(id); // In a turn of its own, which ends the attempt too.
                return;
            }
            journal.count("sent");
            at(until, () -> expire(a));
            try {
                a.attach(fleet.startAttempt(a));
            } catch (RuntimeException | OutOfMemoryError e) {
                // A fault of the engines' side is an attempt that never ran, not the end of the request.
                journal.count("module_exceptions");
                journal.log("module-exception", "error", e.toString(), "engine", server);
                attemptEnded(a, AttemptOutcome.CONNECT_FAILED, -1, null);
            }
        }

        private void expire(Attempt a) {
            if (!a.isOver() && a.request().streaming() != a) {
                a.abort();
                end(a, AttemptOutcome.TIMEOUT, -1, null);
            }
        }

        @Override
        public void cancel(String id, int n) {
            OpenRequest o = requests.get(id);
            if (o != null
                    && n >= 0
                    && n < o.attempts().size()
                    && o.streaming() != o.attempts().get(n)) {
                stop(o.attempts().get(n));
            }
        }

        @Override
        public void refuse(String id, long retryAfter) {
            OpenRequest o = requests.get(id);
            if (o != null && o.streaming() == null) {
                o.attempts().forEach(RequestDispatcher.this::stop);
                answer(o, "refused").reject(retryAfter > 0 ? retryAfter : comeBack);
            }
        }

        @Override
        public void fail(String id) {
            OpenRequest o = requests.get(id);
            if (o != null && o.streaming() == null) {
                o.attempts().forEach(RequestDispatcher.this::stop);
                answer(o, "failed").fail("given up");
            }
        }

        @Override
        public void move(String id) {
            OpenRequest o = requests.get(id);
            if (o != null && o.streaming() != null) {
                o.streaming().abort();
                answer(o, "moved").migrate();
                attemptEnded(o.streaming(), AttemptOutcome.CANCELLED, -1, null);
            }
        }

        @Override
        public void watch() {
            watching = true;
            roster.watch();
        }

        @Override
        public void unwatch() {
            roster.unwatch();
        }

        @Override
        public void fetch() {
            roster.fetch();
        }

        @Override
        public void timer(long when, long token) {
            at(when, () -> rules.timer(now, token));
        }

        @Override
        public void probe(String server) {
            journal.count("probes");
            fleet.probe(server);
        }

        @Override
        public void close(String server) {
            fleet.closeIdleConnections(server);
        }

        @Override
        public void tell(int peer, byte[] payload) {
            journal.count("peer_messages_not_sent");
        }

        @Override
        public void log(String text) {
            journal.log("module", "text", text);
        }
    }
}
