package magpiehub.upstream;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import magpiehub.concurrent.ActorThreadPool;
import magpiehub.concurrent.CachedThreadPool;
import magpiehub.concurrent.DaemonThreads;
import magpiehub.concurrent.Mailbox;
import magpiehub.concurrent.MonotonicClock;
import magpiehub.config.HostPort;
import magpiehub.config.SiteSettings;
import magpiehub.dispatch.Attempt;
import magpiehub.dispatch.AttemptHandle;
import magpiehub.dispatch.RequestDispatcher;
import magpiehub.dispatch.UpstreamFleet;
import magpiehub.http.HttpException;
import magpiehub.http.HttpHead;
import magpiehub.http.HttpReader;
import magpiehub.http.HttpWriter;
import magpiehub.http.Sockets;
import magpiehub.protocol.ProtocolExchange;
import magpiehub.protocol.StreamListener;
import magpiehub.routing.AttemptOutcome;
import magpiehub.routing.Endpoint;
import magpiehub.routing.EndpointListKind;
import magpiehub.routing.LoadReport;
import magpiehub.streaming.FlowController;
import magpiehub.streaming.StreamFlow;
import magpiehub.streaming.StreamOutcome;
import magpiehub.telemetry.EventLog;

/**
 * The engines' side: where each engine listens, a pool of connections for each, and the relay of one answer
 * at a time on a connection. The pools belong to the module's thread. Each connection has an actor that
 * writes and owns the attempt in hand, and a reader thread that only connects, parses and posts; the actors
 * take their turns on a crew of threads, and one thread tells them when their time has come. It owns the
 * engines' part of the descriptors. It must never write a request to an engine that takes no work, have a
 * request out on two connections, pass on an event before the module has granted the stream, or take bytes
 * behind one answer for the next.
 */
public final class UpstreamPool implements UpstreamFleet {
    /** Bytes that wait for one connection's actor; a whole answer is far smaller. */
    private static final int MAILBOX_BYTES = 512 * 1024;
    /** Part of the engines' idle time after which a connection is retired: a request written later than the
     *  engine's own limit would end as a reset. */
    private static final double RETIRE_AT = 0.5;

    private static final int PROBE_TIMEOUT_MS = 1000;
    /** How long a connection rests between two requests (us): what an engine sends behind a whole answer has
     *  come by then, and can't be taken for the answer to the next one. */
    private static final long REST = 20_000;
    /** How long the head of an answer may take from its first byte, which comes with the first token. */
    private static final long HEAD = 1_000_000;
    /** Heads of the kind 1xx ahead of an answer at most. */
    private static final int MOST_AHEAD = 8;
    /** How often the connections' times are looked at (us). */
    private static final long TICK = 50_000;

    /** Where an engine listens now, and whether it takes new work. */
    private record Place(String hostPort, boolean takes) {}

    private final MonotonicClock clock;
    private final EventLog journal;
    private volatile int connectTimeoutMs;
    private volatile long retireAfter;
    private final int most;
    private volatile boolean resume;
    private volatile LoadReportParser reports;
    private final FlowController streams;
    private final Map<String, Place> places = new ConcurrentHashMap<>();
    private final Map<String, ArrayDeque<Connection>> idle = new HashMap<>();
    private final ActorThreadPool crew;
    private final CachedThreadPool readers = new CachedThreadPool("engine-reader");
    private final Set<Connection> open = ConcurrentHashMap.newKeySet();
    private int connections;
    private RequestDispatcher module;

    /** Pools of at most so many connections together. */
    public UpstreamPool(
            SiteSettings site,
            int most,
            MonotonicClock clock,
            EventLog journal,
            ActorThreadPool crew,
            FlowController streams) {
        this.crew = crew;
        this.streams = streams;
        this.clock = clock;
        this.journal = journal;
        settings(site);
        this.most = most;
    }

    /** What the settings say of engines, from now on. Any thread. */
    public final void settings(SiteSettings site) {
        connectTimeoutMs = (int) Math.max(1, site.routing().limits().connectTimeout() / 1000);
        retireAfter = Math.max(1, (long) (site.idleCloseMicros() * RETIRE_AT));
        resume = site.routing().resumesStreams();
        reports = new LoadReportParser(site.loadReports());
    }

    /** Names the module's actor; before anything else is called. */
    public void module(RequestDispatcher actor) {
        this.module = actor;
    }

    /** Tells connections whose time has come, however many there are. */
    public void start() {
        DaemonThreads.newThread("engine-times", () -> {
                    Mailbox<Object> nothing = new Mailbox<>(clock, 0);
                    long now = clock.micros();
                    try {
                        while (true) {
                            nothing.take(now + TICK);
                            now = clock.micros();
                            for (Connection c : open) {
                                if (c.due <= now) {
                                    c.mailbox.post(new Due());
                                }
                            }
                        }
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                })
                .start();
    }

    /** Discovery's word on one engine, before the module hears of it. Any thread. */
    public void place(String id, String hostPort, boolean takes, boolean gone) {
        if (gone) {
            // Guards against growing with each engine that there ever was.
            places.remove(id);
            streams.removeUpstream(id);
            return;
        }
        places.compute(
                id, (k, old) -> new Place(hostPort != null ? hostPort : old == null ? null : old.hostPort, takes));
    }

    /** Engines that a whole list does not name are gone. */
    public void only(Set<String> ids) {
        places.keySet().retainAll(ids);
        streams.retainUpstreams(ids);
    }

    // ---- The pools: the module's thread ---------------------------------------------------------------
    @Override
    public AttemptHandle startAttempt(Attempt attempt) {
        ArrayDeque<Connection> free = idle.get(attempt.endpointId());
        Connection c = free == null ? null : rested(free);
        Lease lease = new Lease(attempt);
        if (c == null) {
            if (connections >= most && !evict()) {
                journal.count("engine_connections_short");
                module.attemptEnded(attempt, AttemptOutcome.FULL, -1, null);
                return lease;
            }
            c = new Connection(attempt.endpointId());
            c.mailbox.attach(crew, c::turn);
            open.add(c);
            connections++;
        }
        c.leased = true;
        lease.connection = c;
        c.mailbox.post(new Start(lease));
        return lease;
    }

    /** The connection last used of those that have rested. */
    private Connection rested(ArrayDeque<Connection> pool) {
        long now = clock.micros();
        for (Iterator<Connection> i = pool.descendingIterator(); i.hasNext(); ) {
            Connection c = i.next();
            if (now - c.freedAt >= REST) {
                i.remove();
                return c;
            }
        }
        return null;
    }

    /** Makes room by ending the connection that has been idle longest in the largest pool. */
    private boolean evict() {
        ArrayDeque<Connection> largest = null;
        for (ArrayDeque<Connection> pool : idle.values()) {
            largest = largest == null || pool.size() > largest.size() ? pool : largest;
        }
        Connection c = largest == null ? null : largest.pollFirst();
        if (c != null) {
            discharge(c);
        }
        return c != null;
    }

    private void discharge(Connection c) {
        connections--;
        c.mailbox.post(new Exit());
    }

    /** A connection's attempt is over; with its socket open it serves again, else it ends. */
    private void freed(Connection c, boolean alive) {
        c.leased = false;
        Place p = places.get(c.server);
        if (alive && p != null && p.takes) {
            c.freedAt = clock.micros();
            journal.count("engine_connections_kept");
            idle.computeIfAbsent(c.server, k -> new ArrayDeque<>()).addLast(c);
        } else {
            discharge(c);
        }
    }

    /** A connection has closed while it was idle. One that was leased meanwhile connects anew. */
    private void retired(Connection c) {
        ArrayDeque<Connection> pool = idle.get(c.server);
        if (!c.leased && pool != null && pool.remove(c)) {
            discharge(c);
        }
    }

    @Override
    public void updateEndpoints(EndpointListKind kind, List<Endpoint> endpoints) {
        for (String id : List.copyOf(idle.keySet())) {
            Place p = places.get(id);
            if (p == null || !p.takes) {
                closeIdleConnections(id);
                idle.remove(id);
            }
        }
    }

    @Override
    public void closeIdleConnections(String server) {
        ArrayDeque<Connection> pool = idle.get(server);
        while (pool != null && !pool.isEmpty()) {
            discharge(pool.poll());
        }
    }

    @Override
    public void probe(String server) {
        long sentAt = clock.micros();
        DaemonThreads.newThread("probe", () -> {
                    AttemptOutcome o = AttemptOutcome.RESET;
                    boolean sent = false;
                    LoadReport load = null;
                    LoadReportParser told = reports;
                    try (Socket s = new Socket()) {
                        connect(s, server);
                        s.setSoTimeout(PROBE_TIMEOUT_MS);
                        s.getOutputStream()
                                .write(("GET " + (told.inProbes() ? "/metrics/load" : "/alive")
                                                + " HTTP/1.1\r\nHost: " + places.get(server).hostPort
                                                + "\r\nConnection: close\r\n\r\n")
                                        .getBytes(StandardCharsets.US_ASCII));
                        sent = true;
                        HttpReader in = new HttpReader(s.getInputStream(), clock);
                        HttpHead h = in.awaitMessage() ? in.readResponseHead() : null;
                        o = h == null
                                ? AttemptOutcome.RESET
                                : h.status() == 200 ? AttemptOutcome.OK : AttemptOutcome.FULL;
                        if (o == AttemptOutcome.OK && told.inProbes()) {
                            load = load(told, new String(in.readBody(h), StandardCharsets.UTF_8));
                        }
                    } catch (SocketTimeoutException e) {
                        o = sent ? AttemptOutcome.TIMEOUT : AttemptOutcome.CONNECT_FAILED;
                    } catch (IOException | RuntimeException e) {
                        o = sent ? AttemptOutcome.RESET : AttemptOutcome.CONNECT_FAILED;
                    }
                    module.probeCompleted(server, o, sentAt, load);
                })
                .start();
    }

    private LoadReport load(LoadReportParser told, String text) {
        LoadReport l = told.read(text);
        journal.count(l == null ? "load_reports_unreadable" : "load_reports");
        return l;
    }

    private void connect(Socket s, String server) throws IOException {
        Place p = places.get(server);
        if (p == null || p.hostPort == null) {
            throw new IOException("no address");
        }
        s.setTcpNoDelay(true);
        s.connect(HostPort.toSocketAddress(p.hostPort), connectTimeoutMs);
    }

    // ---- One attempt ----------------------------------------------------------------------------------
    /** The module's hold on an attempt: whoever closes it first, its socket is closed once and at once. */
    private static final class Lease implements AttemptHandle {
        final Attempt attempt;
        Connection connection;
        private Socket socket;
        private boolean aborted;

        Lease(Attempt attempt) {
            this.attempt = attempt;
        }

        @Override
        public void grant() {
            connection.mailbox.post(new Grant(this));
        }

        @Override
        public void abort() {
            synchronized (this) {
                aborted = true;
                if (socket != null) {
                    Sockets.closeQuietly(socket);
                }
            }
            if (connection != null) {
                connection.mailbox.post(new Stop(this));
            }
        }

        /** Whether the module has given the attempt up. */
        synchronized boolean given() {
            return aborted;
        }

        /** False if the attempt has been given up: nothing may be written for it. */
        synchronized boolean bind(Socket s) {
            if (aborted) {
                return false;
            }
            socket = s;
            return true;
        }
    }

    private record Start(Lease lease) {}

    private record Grant(Lease lease) {}

    private record Stop(Lease lease) {}

    private record Exit() {}

    /** The time that the connection has named has come. */
    private record Due() {}

    private record Connected(Socket from) {}

    /** What a reader has to say, with the socket that it reads from. */
    private record Answered(Socket from, int status, boolean rejected, boolean reusable, String report) {}

    /** One event, counted as {@code flow}'s. */
    private record Event(Socket from, byte[] bytes, StreamFlow flow) {}

    private record End(Socket from, boolean reusable, String report) {}

    private record Broken(Socket from, String why, boolean spoilt) {}

    private final class Connection {
        private final String server;
        private final Mailbox<Object> mailbox = new Mailbox<>(clock, MAILBOX_BYTES);
        /** The module's thread alone reads and writes these. */
        private boolean leased;

        private long freedAt;
        /** When this connection is to be told that time has passed. */
        private volatile long due = Long.MAX_VALUE;
        /** Requests written on the socket in hand: an answer without one is none. */
        private volatile int written;

        private boolean connecting;
        private boolean gone;
        private long idleSince;
        private Socket socket;
        private String connectedTo;
        private Lease lease;
        private StreamListener sink;
        private boolean begun;
        private boolean granted;
        private final ArrayDeque<byte[]> pending = new ArrayDeque<>(2);
        /** How the attempt ended, kept back until the stream is granted or stopped. */
        private AttemptOutcome outcome;

        private byte[] error;
        private boolean reusable;
        private long kept;
        /** What the answer in hand says of its engine's load. */
        private String report;

        private byte[] lastEvent;
        /** When the last event or comment came, and when the last event. */
        private long heardAt;

        private long eventAt;
        /** The account of the request in hand; the reader counts what comes as its own. */
        private volatile StreamFlow flow;

        private boolean silent;

        Connection(String server) {
            this.server = server;
        }

        private void turn() {
            for (Object m = mailbox.poll(); m != null; m = mailbox.poll()) {
                if (m instanceof Exit) {
                    gone = true;
                    drop();
                    mailbox.close();
                    open.remove(this);
                }
                if (gone) {
                    if (m instanceof Event e) {
                        streams.discard(e.flow, e.bytes.length);
                    }
                    continue;
                }
                long now = clock.micros();
                handle(m, now);
                due = lease == null
                        ? socket == null ? Long.MAX_VALUE : idleSince + retireAfter
                        : begun && outcome == null
                                ? streams.silenceDeadline(flow, server, resume, heardAt, eventAt, now)
                                : Long.MAX_VALUE;
            }
        }

        private void due(long now) {
            if (now < due) {
                return;
            }
            if (lease == null) {
                retire();
            } else if (begun
                    && outcome == null
                    && now >= streams.silenceDeadline(flow, server, resume, heardAt, eventAt, now)) {
                journal.count("silent_streams");
                silent = true;
                broke("silent", false);
            }
        }

        private void handle(Object m, long now) {
            try {
                if (m instanceof Due) {
                    due(now);
                } else if (m instanceof Connected c && c.from == socket) {
                    connecting = false;
                    write();
                } else if (m instanceof Start s) {
                    begin(s.lease);
                } else if (m instanceof Grant g && g.lease == lease) {
                    granted = true;
                    streams.startStream(flow, server);
                    pending.forEach(sink::onEvent);
                    pending.clear();
                    finish();
                } else if (m instanceof Stop s && s.lease == lease) {
                    drop();
                    forget();
                    free(false);
                } else if (m instanceof Answered a && a.from == socket) {
                    answered(a);
                } else if (m instanceof Event e) {
                    if (e.from != socket || !event(e.bytes, now)) {
                        streams.discard(e.flow, e.bytes.length);
                    }
                } else if (m instanceof End e && e.from == socket) {
                    end(e);
                } else if (m instanceof Broken b && b.from == socket) {
                    broke(b.why, b.spoilt);
                }
            } catch (RuntimeException | StackOverflowError | OutOfMemoryError e) {
                // Ends this attempt's work, answers given: the module hears of a reset.
                journal.count("engine_exceptions");
                journal.log("engine-exception", "engine", server, "error", e.toString());
                broke(e.toString(), false);
            }
        }

        private void begin(Lease l) {
            lease = l;
            begun = false;
            granted = false;
            silent = false;
            outcome = null;
            error = null;
            kept = -1;
            report = null;
            lastEvent = null;
            Object work = l.attempt.payload();
            if (!(work instanceof ProtocolExchange call)) {
                fail(AttemptOutcome.CANCELLED);
                return;
            }
            sink = call.streamListener();
            if (socket != null && places.get(server) != null && !connectedTo.equals(places.get(server).hostPort)) {
                drop();
            }
            if (socket == null) {
                open();
            } else if (l.bind(socket)) {
                write();
            } else {
                drop();
                free(false);
            }
        }

        /** Whether the engine takes work still: the list may have changed since the module decided. */
        private boolean takes() {
            Place p = places.get(server);
            if (p == null || !p.takes || p.hostPort == null) {
                journal.count("drained_before_write");
                fail(AttemptOutcome.CONNECT_FAILED);
                return false;
            }
            return true;
        }

        private void open() {
            if (!takes()) {
                return;
            }
            Socket s = new Socket();
            if (!lease.bind(s)) {
                free(false);
                return;
            }
            socket = s;
            connectedTo = places.get(server).hostPort;
            connecting = true;
            written = 0;
            journal.count("engine_connects");
            String to = connectedTo;
            readers.execute(() -> read(s, to));
        }

        @SuppressWarnings("NonAtomicVolatileUpdate") // Only the connection's own turns write the count.
        private void write() {
            if (!takes()) {
                return;
            }
            if (!(lease.attempt.payload() instanceof ProtocolExchange call)) {
                fail(AttemptOutcome.CANCELLED);
                return;
            }
            boolean reused = written > 0;
            try {
                byte[] request = request(call, lease.attempt);
                flow = sink.flow(); // Before anything may be an answer: its reader counts by it.
                written++;
                socket.getOutputStream().write(request);
            } catch (IOException e) {
                drop();
                if (!lease.bind(null)) {
                    free(false);
                } else if (reused) {
                    // The engine had closed it while it was idle: nothing has run.
                    journal.count("stale_connections");
                    open();
                } else {
                    notConnected(e.toString());
                }
            }
        }

        private void notConnected(String why) {
            journal.count("connect_failures");
            journal.log("connect-failed", "engine", server, "error", why);
            fail(AttemptOutcome.CONNECT_FAILED);
        }

        private byte[] request(ProtocolExchange call, Attempt a) {
            // Connecting may have taken a while since this turn began: the engine is told what is left now.
            long left = Math.max(1, (a.deadlineMicros() - clock.micros()) / 1000);
            return new HttpWriter()
                    .append("POST " + call.target() + " HTTP/1.1\r\nHost: " + connectedTo
                            + "\r\nContent-Type: application/json\r\nContent-Length: " + call.body().length
                            + "\r\nX-Call-Id: " + call.request().id() + "\r\nX-Budget-Ms: " + left + "\r\n")
                    .append(call.headers())
                    .append("\r\n")
                    .append(call.body())
                    .take();
        }

        private void answered(Answered a) {
            if (lease == null) {
                retire();
                return;
            }
            reusable = a.reusable;
            report = a.report;
            if (!a.reusable) {
                drop();
            }
            boolean never = (a.status == 503 || a.status == 504) && a.rejected;
            if (!never) {
                journal.log("engine-error", "engine", server, "status", Integer.toString(a.status));
            }
            fail(never ? AttemptOutcome.FULL : AttemptOutcome.ERROR);
        }

        /** Whether the event is taken over: passed on, or kept until the stream is granted. */
        private boolean event(byte[] bytes, long now) {
            if (lease == null) {
                retire();
                return false;
            }
            if (outcome != null) {
                return false;
            }
            if (StreamEvent.isError(bytes)) {
                journal.log("engine-error-event", "engine", server, "begun", Boolean.toString(begun));
                drop();
                if (!begun) {
                    fail(AttemptOutcome.ERROR);
                } else {
                    error = bytes;
                    outcome = AttemptOutcome.ERROR;
                    finish();
                }
                return false;
            }
            if (begun && bytes[0] != ':') {
                streams.recordEvent(flow, server, now - eventAt, now);
            }
            heardAt = now;
            eventAt = begun && bytes[0] == ':' ? eventAt : now;
            long k = StreamEvent.kept(bytes);
            kept = k >= 0 ? k : kept;
            if (reports.inAnswers()) {
                String r = LoadReportParser.comment(bytes);
                report = r != null ? r : report;
            }
            lastEvent = bytes;
            start();
            if (granted) {
                sink.onEvent(bytes);
            } else {
                pending.add(bytes);
            }
            return true;
        }

        /** What came and was not granted is not the client's. */
        private void forget() {
            for (byte[] b : pending) {
                streams.discard(flow, b.length);
            }
            pending.clear();
        }

        private void start() {
            if (!begun) {
                begun = true;
                module.streamStarted(lease.attempt);
            }
        }

        private void end(End e) {
            if (lease == null) {
                retire();
                return;
            }
            if (outcome != null) {
                return;
            }
            reusable = e.reusable;
            report = report != null ? report : e.report;
            if (!e.reusable) {
                drop();
            }
            if (lastEvent != null && !StreamEvent.known(lastEvent)) {
                // The framing says that the stream is whole, whatever its last event is called.
                journal.count("unknown_last_events");
                journal.log("unknown-last-event", "engine", server, "event", StreamEvent.brief(lastEvent));
            }
            start();
            outcome = AttemptOutcome.OK;
            finish();
        }

        private void broke(String why, boolean spoilt) {
            if (lease == null) {
                retire();
                return;
            }
            drop();
            if (outcome != null) {
                return;
            }
            if (lease.given()) {
                return; // This side closed it: the module's word to stop is in the mailbox.
            }
            if (connecting) {
                notConnected(why);
                return;
            }
            journal.log("engine-broke", "engine", server, "begun", Boolean.toString(begun), "why", why);
            AttemptOutcome o = spoilt ? AttemptOutcome.SPOILT : AttemptOutcome.RESET;
            if (!begun) {
                fail(o);
            } else {
                outcome = o;
                finish();
            }
        }

        /** Ends a begun stream once it is granted. The module hears of it before the client does: a client
         *  that has read the end may ask again at once, and is to find its request over. */
        private void finish() {
            if (!granted || outcome == null || lease == null) {
                return;
            }
            StreamListener client = sink;
            StreamOutcome ending = outcome == AttemptOutcome.ERROR
                    ? StreamOutcome.UPSTREAM_ERROR
                    : silent ? StreamOutcome.UPSTREAM_STALLED : StreamOutcome.UPSTREAM_DISCONNECTED;
            over(outcome);
            if (outcome == AttemptOutcome.OK) {
                client.onEnd();
            } else {
                client.onFailure(error, ending);
            }
        }

        /** Ends an attempt that has begun nothing. A socket that may still bring an answer is closed
         * first. */
        private void fail(AttemptOutcome o) {
            if (o != AttemptOutcome.FULL && o != AttemptOutcome.ERROR) {
                drop();
            }
            over(o);
        }

        private void over(AttemptOutcome o) {
            Attempt a = lease.attempt;
            lease.bind(null);
            forget();
            free(socket != null && reusable);
            module.attemptEnded(a, o, kept, report == null ? null : load(reports, report));
        }

        private void free(boolean alive) {
            idleSince = clock.micros();
            lease = null;
            sink = null;
            if (!alive) {
                drop();
            }
            module.execute(() -> freed(this, alive));
        }

        private void retire() {
            drop();
            module.execute(() -> retired(this));
        }

        private void drop() {
            if (socket != null) {
                Sockets.closeQuietly(socket);
                socket = null;
            }
        }

        // ---- The reader -------------------------------------------------------------------------------
        private void read(Socket s, String to) {
            String why = "ended";
            boolean spoilt = false;
            try {
                s.setTcpNoDelay(true);
                s.connect(HostPort.toSocketAddress(to), connectTimeoutMs);
                mailbox.post(new Connected(s));
                HttpReader in = new HttpReader(s.getInputStream(), clock);
                for (int answers = 1; in.awaitMessage(); answers++) {
                    if (answers > written) {
                        throw new HttpException(502, "bytes behind the answer");
                    }
                    // Guards against a head without end, which would hold the request to its deadline.
                    s.setSoTimeout((int) (HEAD / 1000));
                    in.setMessageTimeoutMicros(HEAD);
                    HttpHead h = in.readResponseHead();
                    for (int i = 0; h.status() / 100 == 1; i++) {
                        if (i == MOST_AHEAD) {
                            throw new HttpException(502, "no end of 1xx");
                        }
                        h = in.readResponseHead();
                    }
                    s.setSoTimeout(0);
                    in.setMessageTimeoutMicros(Long.MAX_VALUE);
                    if (h.status() == 200) {
                        in.readEvents(h, e -> {
                            // An engine that is faster than its actor waits; nothing of an answer is lost
                            // by it.
                            StreamFlow f = flow;
                            streams.reserveCapacity(f, e.length);
                            if (!mailbox.postBlocking(new Event(s, e, f), e.length)) {
                                streams.discard(f, e.length);
                                throw new IOException("ended");
                            }
                        });
                        mailbox.post(new End(s, !h.closesConnection() && in.isBufferEmpty(), reported(h)));
                    } else {
                        in.readBody(h);
                        mailbox.post(new Answered(
                                s,
                                h.status(),
                                "1".equals(h.headers().get("X-Rejected")),
                                !h.closesConnection() && in.isBufferEmpty(),
                                reported(h)));
                    }
                }
            } catch (HttpException | SocketTimeoutException e) {
                // Connecting may time out too, and is told by its own state.
                why = e.getMessage();
                spoilt = true;
            } catch (IOException | InterruptedException | RuntimeException | OutOfMemoryError e) {
                why = e.toString();
            }
            mailbox.post(new Broken(s, why, spoilt));
        }
    }

    private String reported(HttpHead h) {
        return reports.inAnswers() ? h.headers().get(LoadReportParser.HEADER) : null;
    }
}
