package magpiehub.dispatch;

import java.util.ArrayList;
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

    /** Before an attempt is handed over, and where that failed: there is nothing to close. */
    private static final AttemptHandle NOTHING = new AttemptHandle() {
        @Override
        public void grant() {}

        @Override
        public void abort() {}
    };

    /** One attempt at a request. Its engine's side reads it; all else is the module's. */
    public static final class Attempt {
        public final String server;
        /** When the attempt ends unanswered (us): the engine is told how long is left. */
        public final long until;

        private final Open open;
        private final int number;
        private final long sentAt;
        private AttemptHandle handle = NOTHING;
        private boolean over;

        private Attempt(Open open, int number, String server, long sentAt, long until) {
            this.open = open;
            this.number = number;
            this.server = server;
            this.sentAt = sentAt;
            this.until = until;
        }

        /** What the front handed in with the request, untouched; null once the request is over or its client
         *  has gone. Asked right before an attempt's bytes go out: a word of the end may still be on its way
         *  through mailboxes, and nothing may begin for somebody who has left. */
        public Object work() {
            ClientCallback c = open.client;
            return c == null || c.gone() ? null : open.work;
        }
    }

    /** A request taken and not yet over. */
    private static final class Open {
        final RoutingRequest request;
        /** Both are let go of as soon as it is over: timers hold the rest of this until the deadline. */
        ClientCallback client;

        volatile Object work;
        final List<Attempt> attempts = new ArrayList<>(2);
        Attempt begun;
        boolean answered;

        Open(RoutingRequest request, ClientCallback client, Object work) {
            this.request = request;
            this.client = client;
            this.work = work;
        }
    }

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
    private final Map<String, Open> requests = new HashMap<>();
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

    /** An actor over ports; it does nothing until {@link #turn} or {@link #run} is called. */
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
                turn(timers.isEmpty() ? Long.MAX_VALUE : timers.peek().at);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** One turn of the loop: a message, if one comes in time, and the timers that are due. */
    void turn(long until) throws InterruptedException {
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
    public int held() {
        return held;
    }

    /** A client's request; false if there is no room, and then the caller answers it. */
    public boolean take(RoutingRequest request, ClientCallback client, Object work, int bytes) {
        return mailbox.post(() -> taken(request, client, work), bytes);
    }

    /** The client of a request has gone. */
    public void gone(String id) {
        mailbox.post(() -> left(id));
    }

    /** The first event of an attempt has come. It may be passed on only after {@link AttemptHandle#grant}. */
    public void begun(Attempt a) {
        mailbox.post(() -> first(a));
    }

    /** An attempt has ended; its connection is closed or free. {@code kept} is -1 if not told, {@code load}
     *  null if its engine told none. */
    public void ended(Attempt a, AttemptOutcome outcome, long kept, LoadReport load) {
        mailbox.post(() -> end(a, outcome, kept, load));
    }

    /** A probe has come back. */
    public void probed(String server, AttemptOutcome outcome, long sentAt, LoadReport load) {
        mailbox.post(() -> rules.probed(now, server, outcome, now - sentAt, load));
    }

    /** Discovery's word on the engines. */
    public void list(EndpointListKind kind, List<Endpoint> servers) {
        mailbox.post(() -> {
            fleet.list(kind, servers);
            rules.list(now, kind, servers);
            if (kind == EndpointListKind.ERROR) {
                watching = false;
                at(now + PUSHED_AGAIN, this::keepPushed);
            }
            journal.count("lists_" + kind.name().toLowerCase(Locale.ROOT));
        });
    }

    /** Other settings hold from now on; classes keep their places. */
    public void settings(RoutingSettings s) {
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
            for (Open o : List.copyOf(requests.values())) {
                if (o.begun == null) {
                    answerUnstarted(o);
                } else if (resume) {
                    new Decisions().move(o.request.id());
                }
            }
        });
    }

    /** The final answer of a request that no engine's answer is waited for any longer. */
    private void answerUnstarted(Open o) {
        boolean harmless = rules.mayRefuse(o.request.id());
        o.attempts.forEach(this::stop);
        ClientCallback client = answer(o, harmless ? "refused" : "failed");
        if (harmless) {
            client.refuse(comeBack);
        } else {
            client.fail("stopping");
        }
        rules.abandoned(now, o.request.id());
    }

    // ---- Events ---------------------------------------------------------------------------------------
    private void taken(RoutingRequest r, ClientCallback client, Object work) {
        if (client.gone()) {
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
            client.refuse(comeBack);
            return;
        }
        Open o = new Open(r, client, work);
        requests.put(r.id(), o);
        journal.count("taken");
        // Guards against a module that neither sends nor answers, or fails with an exception.
        at(r.deadline() + BACKSTOP, () -> {
            if (!o.answered && o.begun == null) {
                journal.count("answered_by_backstop");
                o.attempts.forEach(this::stop);
                answer(o, "failed").fail("deadline");
                rules.abandoned(now, r.id());
            }
        });
        rules.request(now, r);
    }

    private void first(Attempt a) {
        Open o = a.open;
        if (a.over || o.answered) {
            return;
        }
        o.begun = a;
        a.handle.grant();
        rules.begun(now, o.request.id(), a.number, now - a.sentAt);
    }

    private void end(Attempt a, AttemptOutcome outcome, long kept, LoadReport load) {
        if (a.over) {
            return;
        }
        a.over = true;
        a.handle = NOTHING; // Its connection serves others, or is gone: timers are not to hold it.
        Open o = a.open;
        if (o.begun == null && !o.answered && o.client.gone()) {
            left(o.request.id()); // Its word is on the way: no further attempt is thought of.
        }
        boolean settled = o.answered || o.begun == a || outcome == AttemptOutcome.OK;
        journal.count("attempt_" + outcome.name().toLowerCase(Locale.ROOT));
        if (settled && !o.answered) {
            answer(
                    o,
                    outcome == AttemptOutcome.OK
                            ? "served"
                            : outcome == AttemptOutcome.CANCELLED ? "abandoned" : "broken");
        }
        rules.outcome(now, o.request.id(), a.number, outcome, now - a.sentAt, settled, kept, load);
    }

    private void left(String id) {
        Open o = requests.get(id);
        if (o == null || o.answered) {
            return;
        }
        answer(o, "abandoned");
        rules.abandoned(now, id);
        for (Attempt a : o.attempts) {
            if (!a.over) {
                // Nobody reads on: the engine is not to work for a client that has gone.
                a.handle.abort();
                end(a, AttemptOutcome.CANCELLED, -1, null);
            }
        }
    }

    /** Ends a request; returns its client for the one last word, if it is owed one. */
    private ClientCallback answer(Open o, String how) {
        ClientCallback client = o.client;
        o.answered = true;
        o.work = null;
        o.client = null;
        requests.remove(o.request.id());
        journal.count("answered_" + how);
        return client;
    }

    /** Closes an attempt's connection. The outcome follows in a turn of its own, never inside an action. */
    private void stop(Attempt a) {
        if (!a.over) {
            a.handle.abort();
            ended(a, AttemptOutcome.CANCELLED, -1, null);
        }
    }

    // ---- Actions --------------------------------------------------------------------------------------
    /** What the module has decided, carried out through the ports. */
    private final class Decisions implements RoutingActions {
        @Override
        public void send(String id, String server, long timeout) {
            Open o = requests.get(id);
            if (o == null || o.answered) {
                return;
            }
            // Guards against a second copy, whatever the module asks for: the old socket is closed first.
            for (Attempt old : o.attempts) {
                stop(old);
            }
            long until =
                    timeout == 0 ? o.request.deadline() : Math.min(o.request.deadline(), now + Math.max(0, timeout));
            Attempt a = new Attempt(o, o.attempts.size(), server, now, until);
            o.attempts.add(a);
            if (o.client.gone()) {
                gone(id); // In a turn of its own, which ends the attempt too.
                return;
            }
            journal.count("sent");
            at(until, () -> expire(a));
            try {
                a.handle = fleet.start(a);
            } catch (RuntimeException | OutOfMemoryError e) {
                // A fault of the engines' side is an attempt that never ran, not the end of the request.
                journal.count("module_exceptions");
                journal.log("module-exception", "error", e.toString(), "engine", server);
                ended(a, AttemptOutcome.CONNECT_FAILED, -1, null);
            }
        }

        private void expire(Attempt a) {
            if (!a.over && a.open.begun != a) {
                a.handle.abort();
                end(a, AttemptOutcome.TIMEOUT, -1, null);
            }
        }

        @Override
        public void cancel(String id, int n) {
            Open o = requests.get(id);
            if (o != null && n >= 0 && n < o.attempts.size() && o.begun != o.attempts.get(n)) {
                stop(o.attempts.get(n));
            }
        }

        @Override
        public void refuse(String id, long retryAfter) {
            Open o = requests.get(id);
            if (o != null && o.begun == null) {
                o.attempts.forEach(RequestDispatcher.this::stop);
                answer(o, "refused").refuse(retryAfter > 0 ? retryAfter : comeBack);
            }
        }

        @Override
        public void fail(String id) {
            Open o = requests.get(id);
            if (o != null && o.begun == null) {
                o.attempts.forEach(RequestDispatcher.this::stop);
                answer(o, "failed").fail("given up");
            }
        }

        @Override
        public void move(String id) {
            Open o = requests.get(id);
            if (o != null && o.begun != null) {
                o.begun.handle.abort();
                answer(o, "moved").move();
                ended(o.begun, AttemptOutcome.CANCELLED, -1, null);
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
            fleet.closeIdle(server);
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
