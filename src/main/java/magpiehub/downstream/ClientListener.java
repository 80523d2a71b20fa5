package magpiehub.downstream;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import java.util.function.Supplier;
import magpiehub.concurrent.ActorThreadPool;
import magpiehub.concurrent.CachedThreadPool;
import magpiehub.concurrent.DaemonThreads;
import magpiehub.concurrent.Mailbox;
import magpiehub.concurrent.MonotonicClock;
import magpiehub.dispatch.ClientCallback;
import magpiehub.dispatch.RequestDispatcher;
import magpiehub.http.BodyFraming;
import magpiehub.http.HttpException;
import magpiehub.http.HttpHead;
import magpiehub.http.HttpReader;
import magpiehub.http.HttpResponses;
import magpiehub.http.HttpWriter;
import magpiehub.http.Sockets;
import magpiehub.protocol.ProtocolAdapter;
import magpiehub.streaming.StreamOutcomes.Ending;
import magpiehub.streaming.Streams;
import magpiehub.telemetry.EventLog;

/**
 * The clients' side: one listener with its front, and the connections that it accepts. Each connection has a
 * reader thread that only parses and posts, and an actor that owns the exchange in hand and alone writes; the
 * actors take their turns on a crew of threads, and one thread tells them when their time has come. It
 * owns the clients' part of the descriptors, and ends what holds them idle when they run short. It must
 * never answer a request twice, write an end to a stream that is not whole, or make anybody but its own
 * client wait.
 */
public final class ClientListener {
    /** What waits for one client at most, beside the part of its stream that it may leave untaken. */
    private static final int MAILBOX_BYTES = 512 * 1024;
    /** Requests that a client may have sent ahead of their answers. */
    private static final int MOST_AHEAD = 4;
    /** How long a connection that is being closed waits for its client's own end, so that the last answer
     *  is not destroyed by a reset (us). */
    private static final long LINGER = 1_000_000;

    private static final long LINGER_OF_MANY = 200_000;
    /** A client that has connected is to have sent its first request by then, whether it says nothing, a head
     *  without end or half a request (us): it is owed an error within 3 s. */
    private static final long FIRST_REQUEST = 2_500_000;
    /** How long a later request may take from its first byte, and between two reads of it (us). */
    private static final long REQUEST = 6_000_000;

    private static final int READ_MS = 3_000;
    /** A connection may be closed once it has been idle for so long (us). */
    private static final long IDLE = 2_000_000;
    /** How often the connections' times are looked at (us). */
    private static final long TICK = 50_000;
    /** When there are many, clients that have not sent a byte are let go after so long (us), and at the limit
     *  all that have not sent a request yet after so short a time. */
    private static final int GLANCE_MS = 5;

    private static final long SILENT = 1_000_000;
    private static final long SILENT_AT_LIMIT = 300_000;
    private static final int MOST_DISCARDED = 1 << 20;
    /** Bodies in hand at most, for all clients: the heap holds each up to three times while it is read. */
    private static final long MOST_IN_HAND = 12L << 20;
    /** What a client that comes while there is no room is told to wait (us). */
    private static final long SHED_PAUSE = 500_000;
    /** After a client has closed its sending side: when it is first asked for a sign that it reads on, and
     *  how often after that (us). The answer to the first word is what the second one meets. */
    private static final long FIRST_SIGN = 20_000;
    /** Standby: those who send clients hear of it within 0.2 s, and until then a client that is let go may
     *  come back here; from the first time on (us) each answer is its connection's last, and by the second
     *  the idle ones are gone, the longest idle first and not all at once. What a client asks for then has
     *  two seconds before somebody looks whether all are gone. */
    private static final long LET_GO_AFTER = 250_000;

    private static final long EMPTY_AFTER = 1_600_000;
    private static final long SIGN = 1_000_000;

    private final ProtocolAdapter front;
    private final RequestDispatcher module;
    private final MonotonicClock clock;
    private final EventLog journal;
    private final BooleanSupplier ready;
    private final Supplier<String> counters;
    private final int most;
    private final ListenerSocket door;
    private final ActorThreadPool crew;
    private final CachedThreadPool readers = new CachedThreadPool("client-reader");
    private final Streams streams;
    private final long mailboxBytes;
    private final Set<Connection> open = ConcurrentHashMap.newKeySet();
    /** Connections without a reader; they are among the open ones too. */
    private final LinkedBlockingQueue<Connection> arrivals = new LinkedBlockingQueue<>();
    /** Bytes of request bodies read or being read, and not yet answered or begun. */
    private final AtomicLong inHand = new AtomicLong();

    private volatile boolean closing;
    /** While clients are sent away: since when (us); 0 while they are taken. */
    private volatile long standbySince;
    /** By when the last idle connection is to be gone (us); 0 while none need go. */
    private volatile long emptyBy;

    /** A listener that is bound but accepts nothing until {@link #start}. */
    public ClientListener(
            ListenerSocket door,
            ProtocolAdapter front,
            RequestDispatcher module,
            MonotonicClock clock,
            EventLog journal,
            BooleanSupplier ready,
            Supplier<String> counters,
            int most,
            ActorThreadPool crew,
            Streams streams) {
        this.door = door;
        this.crew = crew;
        this.streams = streams;
        this.mailboxBytes = MAILBOX_BYTES + streams.largestBuffer();
        this.front = front;
        this.module = module;
        this.clock = clock;
        this.journal = journal;
        this.ready = ready;
        this.counters = counters;
        this.most = most;
    }

    public int port() {
        return door.port();
    }

    public void start() {
        DaemonThreads.newThread("accept", this::accept).start();
        DaemonThreads.newThread("client-times", this::times).start();
        DaemonThreads.newThread("greeter", this::greet).start();
    }

    /** Guards against a thread for each client that says nothing: when there are many, a connection gets its
     *  reader once its first byte is here. */
    private void greet() {
        List<Connection> silent = new ArrayList<>();
        try {
            while (true) {
                if (silent.isEmpty()) {
                    silent.add(arrivals.take());
                }
                arrivals.drainTo(silent);
                silent.removeIf(Connection::greeted);
                Thread.sleep(GLANCE_MS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Tells connections whose time has come, however many there are. */
    private void times() {
        Mailbox<Object> nothing = new Mailbox<>(clock, 0);
        try {
            long now = clock.micros();
            while (!door.isClosed() || !open.isEmpty()) {
                nothing.take(now + TICK);
                now = clock.micros();
                for (Connection c : open) {
                    if (c.due <= now) {
                        c.mailbox.post(new Due());
                    }
                    c.cutIfStuck(now, Long.MAX_VALUE, Ending.READER_STUCK);
                }
                letGoIdle(now);
                crew.checkForStall();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void accept() {
        while (!door.isClosed()) {
            Socket s = null;
            try {
                s = door.accept();
                s.setTcpNoDelay(true);
                if (streams.allowances().sendBuffer() > 0) {
                    s.setSendBufferSize(streams.allowances().sendBuffer());
                }
                makeRoom();
                // Past the budget a client still gets an answer: a few descriptors are kept for saying no.
                boolean room = open.size() < most;
                if (!room) {
                    journal.count("clients_shed");
                }
                new Connection(s, !room).start();
                journal.count("clients_accepted");
                while (open.size() >= most + most / 16 + 4 && !door.isClosed()) {
                    synchronized (open) {
                        open.wait(50);
                    }
                    makeRoom();
                }
            } catch (IOException | OutOfMemoryError e) {
                if (!door.isClosed()) {
                    // Out of descriptors or threads: what is open goes on, and the next one is tried.
                    journal.count("accept_failures");
                    journal.log("accept-failure", "error", e.toString());
                    if (s != null) {
                        Sockets.closeQuietly(s);
                    }
                }
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    /** Each connection costs a thread, and each thread costs CPU time whenever the process is held to its
     *  share: from a third of the budget on, an answer is its connection's last. */
    private boolean many() {
        return open.size() > most / 3;
    }

    /** Guards against clients that ask once and stay, or connect and say nothing. When there are many,
     *  connections that have been idle for long enough go, longest idle first, and then those that have said
     *  nothing; at nine tenths of the budget all whose first request is outstanding, oldest first. */
    private void makeRoom() {
        int over = open.size() - most / 3;
        if (over <= 0) {
            return;
        }
        long now = clock.micros();
        over -= leave(c -> c.asked && now - c.quietSince >= IDLE, over);
        over -= leave(c -> !c.asked && !c.reading && now - c.quietSince >= SILENT, over);
        if (over > 0 && open.size() >= most - most / 10) {
            leave(c -> !c.asked && now - c.quietSince >= SILENT_AT_LIMIT, Math.min(over, most / 10 + 1));
        }
    }

    private int leave(Predicate<Connection> which, int most) {
        List<Connection> quiet = new ArrayList<>();
        for (Connection c : open) {
            if (c.quietSince != BUSY && !c.leaving && which.test(c)) {
                quiet.add(c);
            }
        }
        quiet.sort(Comparator.comparingLong(c -> c.quietSince));
        int n = Math.min(most, quiet.size());
        for (Connection c : quiet.subList(0, n)) {
            c.leaving = true;
            c.mailbox.post(new Leave());
        }
        return n;
    }

    /** Sends clients away, or takes them again: {@code /up} says no, and connections are let go in order. The
     *  door stays open: who comes all the same gets an answer. */
    public void standby(boolean on) {
        long now = clock.micros();
        if (on == (standbySince != 0)) {
            return;
        }
        standbySince = on ? now : 0;
        emptyBy = on ? now + EMPTY_AFTER : 0;
    }

    /** Whether another process takes what comes to the door once this one accepts no more. */
    public boolean shared() {
        return door.shared();
    }

    /** Lets idle connections go until a time, the longest idle first; each answer is its connection's last.
     */
    public void empty(long by) {
        closing = true;
        emptyBy = by;
    }

    private boolean sentAway() {
        long since = standbySince;
        return since != 0 && clock.micros() - since >= LET_GO_AFTER;
    }

    /** The part of the idle connections that is due by now. Guards against a herd: those clients connect
     *  somewhere else at once. */
    private void letGoIdle(long now) {
        long by = emptyBy;
        if (by == 0 || (standbySince != 0 && !sentAway())) {
            return;
        }
        List<Connection> quiet = new ArrayList<>();
        for (Connection c : open) {
            if (c.quietSince != BUSY && c.asked && !c.leaving) {
                quiet.add(c);
            }
        }
        quiet.sort(Comparator.comparingLong(c -> c.quietSince));
        int due = now >= by ? quiet.size() : (int) (quiet.size() * TICK / (by - now + TICK) + 1);
        for (Connection c : quiet.subList(0, Math.min(due, quiet.size()))) {
            c.leaving = true;
            c.mailbox.post(new CloseIfIdle());
        }
    }

    /** Accepts no more; connections that clients have are served on. */
    public void stopAccepting() throws IOException {
        door.close();
    }

    /** Closes what is idle, and the rest with its answer; requests in hand go on. */
    public void closeIdle() {
        closing = true;
        for (Connection c : open) {
            c.mailbox.post(new CloseIfIdle());
        }
    }

    /** Ends streams whose clients have taken nothing for so long (us): the process is about to end. */
    public void letGoStuck(long least) {
        long now = clock.micros();
        open.forEach(c -> c.cutIfStuck(now, least, Ending.STOPPED));
    }

    /** Connections that are open still. */
    public int open() {
        return open.size();
    }

    private record Arrived(HttpHead head, byte[] body, long at, int room) {}

    private record Malformed(int status, String why) {}

    private record Left() {}

    /** The client has closed its sending side, and may read on. */
    private record HalfClosed() {}

    private record CloseIfIdle() {}

    private record Leave() {}

    /** The time that the connection has named has come. */
    private record Due() {}

    /** In place of the time since when a connection is quiet, while it has a request in hand. */
    private static final long BUSY = Long.MAX_VALUE;

    private record Event(Exchange exchange, byte[] bytes) {}

    private record End(Exchange exchange) {}

    private record Broken(Exchange exchange, byte[] error, Ending why) {}

    private record Refused(Exchange exchange, long retryAfter) {}

    private record Failed(Exchange exchange, String why) {}

    /** One request of a connection, as the module and the engines' side know it. */
    private static final class Exchange implements ClientCallback, ProtocolAdapter.Sink {
        final Connection connection;
        final ProtocolAdapter.Call call;
        final Streams.Flow flow;
        boolean begun;

        Exchange(Connection connection, ProtocolAdapter.Call call, Streams.Flow flow) {
            this.connection = connection;
            this.call = call;
            this.flow = flow;
        }

        @Override
        public Streams.Flow flow() {
            return flow;
        }

        @Override
        public void event(byte[] event) {
            connection.post(new Event(this, event), event.length);
        }

        @Override
        public void end() {
            connection.post(new End(this), 0);
        }

        @Override
        public void broken(byte[] error, Ending why) {
            connection.post(new Broken(this, error, why), 0);
        }

        @Override
        public void reject(long retryAfterMicros) {
            connection.post(new Refused(this, retryAfterMicros), 0);
        }

        @Override
        public void fail(String reason) {
            connection.post(new Failed(this, reason), 0);
        }

        @Override
        public void migrate() {
            connection.post(new Broken(this, null, Ending.MOVED), 0);
        }

        @Override
        public boolean isClientGone() {
            return connection.left;
        }
    }

    /** One connection: its actor's state, and its reader. */
    private final class Connection implements Streams.Reader {
        private final Socket socket;
        private final boolean shed;
        private final Mailbox<Object> mailbox = new Mailbox<>(clock, mailboxBytes);
        private final HttpWriter out = new HttpWriter();
        private final ArrayDeque<Arrived> ahead = new ArrayDeque<>(2);
        private Exchange current;
        /** The stream that {@link #out} holds bytes of or ends, how many, and its ending; until written. */
        private volatile Streams.Flow flow;

        private long inOut;
        private Ending ends;
        private boolean halfClosed;
        private boolean faulty;
        /** What the request in hand has reserved of {@link #inHand}. */
        private int room;
        /** The last answer is written: only the client's own end is waited for. */
        private boolean lingering;

        private boolean ended;
        private final AtomicBoolean full = new AtomicBoolean();
        /** The client has asked for the connection to end with this answer. */
        private boolean lastAnswer;
        /** Since when there is no request in hand; whether one has ever come whole; whether one is coming in;
         *  whether the connection has been told to leave. The accepting thread reads these. */
        private volatile long quietSince = clock.micros();

        private volatile boolean asked;
        private volatile boolean reading;
        private volatile boolean leaving;
        /** The client's end has been read, or its connection is closed: nothing more may begin for it. Set by
         *  whoever learns it first, ahead of the word that goes through mailboxes. */
        private volatile boolean left;
        /** When this connection is to be told that time has passed. */
        private volatile long due = quietSince + FIRST_REQUEST;

        private boolean gone;

        Connection(Socket socket, boolean shed) {
            this.socket = socket;
            this.shed = shed;
        }

        void start() {
            open.add(this);
            mailbox.attach(crew, this::turn);
            if (!many()) {
                startReader();
            } else if (!greeted()) {
                arrivals.add(this);
            }
        }

        private void startReader() {
            try {
                readers.execute(this::read);
            } catch (OutOfMemoryError e) {
                mailbox.post(new Left());
                throw e;
            }
        }

        /** Whether there is nothing more to wait for: its first byte is here, or it has ended. */
        boolean greeted() {
            try {
                if (!socket.isClosed() && socket.getInputStream().available() == 0) {
                    return false;
                }
                if (!socket.isClosed()) {
                    startReader();
                }
            } catch (IOException | OutOfMemoryError e) {
                mailbox.post(new Left());
            }
            return true;
        }

        /** The budget's word, or the clock's. */
        @Override
        public void cut() {
            cutOnce();
        }

        /** What may be blocked in a write is woken by the close; false if this has been done before. */
        private boolean cutOnce() {
            boolean first = full.compareAndSet(false, true);
            if (first) {
                left = true;
                Sockets.closeQuietly(socket);
                mailbox.post(new Left());
            }
            return first;
        }

        void cutIfStuck(long now, long least, Ending why) {
            Streams.Flow f = flow;
            if (f != null && streams.stuck(f, now, least, why)) {
                cut();
            }
        }

        /** What does not fit ends this client: it does not read, and no event may be left out. */
        void post(Object message, int bytes) {
            if (!mailbox.post(message, bytes)) {
                overflowed();
            }
        }

        /** Counted once; what is posted to a connection that has ended by itself is no overflow. */
        private void overflowed() {
            if (!socket.isClosed() && cutOnce()) {
                journal.count("client_overflows");
            }
        }

        // ---- The reader -------------------------------------------------------------------------------
        private void read() {
            boolean half = false;
            try {
                HttpReader in = new HttpReader(socket.getInputStream(), clock::micros);
                in.setMessageTimeoutMicros(REQUEST);
                while (in.awaitMessage()) {
                    reading = true;
                    socket.setSoTimeout(READ_MS);
                    HttpHead head = in.readRequestHead();
                    int room = BodyFraming.maxBodyBytes(head);
                    if (inHand.addAndGet(room) > MOST_IN_HAND) {
                        inHand.addAndGet(-room);
                        journal.count("requests_shed");
                        throw new HttpException(503, "no room");
                    }
                    boolean posted = false;
                    try {
                        byte[] body = in.readBody(head);
                        socket.setSoTimeout(0);
                        posted = mailbox.post(new Arrived(head, body, in.messageStartMicros(), room), body.length);
                        reading = false;
                    } finally {
                        if (!posted) {
                            inHand.addAndGet(-room);
                        }
                    }
                    if (!posted) {
                        overflowed();
                        return;
                    }
                }
                half = streams.allowances().halfClose() && front.tellsLife();
            } catch (HttpException e) {
                post(new Malformed(e.status(), e.getMessage()), 0);
                discard();
            } catch (java.net.SocketTimeoutException e) {
                post(new Malformed(408, "request incomplete"), 0);
                discard();
            } catch (IOException e) {
                // The client has gone; nothing more to say to it.
            } catch (RuntimeException | OutOfMemoryError e) {
                journal.count("reader_exceptions");
                journal.log("reader-exception", "error", e.toString());
            } finally {
                if (!half && !left) {
                    left = true;
                    journal.count("clients_left");
                }
                mailbox.post(half ? new HalfClosed() : new Left());
            }
        }

        /** Reads what a malformed message still brings until the client's end or the actor's: the answer to
         *  it is to arrive, and so is that to a request ahead of it, unless the client leaves. Guards against
         *  a client that never stops: beyond a limit it is read slowly. */
        private void discard() {
            try {
                socket.setSoTimeout(0);
                byte[] b = new byte[16 * 1024];
                int n = 0;
                for (int k = 0; k >= 0; k = socket.getInputStream().read(b)) {
                    n = Math.min(MOST_DISCARDED, n + k);
                    if (n == MOST_DISCARDED) {
                        Thread.sleep(1);
                    }
                }
            } catch (IOException | InterruptedException e) {
                // It is being closed anyway.
            }
        }

        // ---- The actor --------------------------------------------------------------------------------
        private void turn() {
            if (!gone) {
                try {
                    answer(socket.getOutputStream());
                } catch (IOException e) {
                    ended = true; // The client has gone while it was written to.
                } catch (RuntimeException | StackOverflowError | OutOfMemoryError e) {
                    journal.count("client_exceptions");
                    journal.log("client-exception", "error", e.toString());
                    faulty = true;
                    lastWords();
                    ended = true;
                }
            }
            if (ended) {
                end();
            }
        }

        private void answer(OutputStream to) throws IOException {
            for (Object m = mailbox.poll(); m != null && !ended; m = mailbox.poll()) {
                for (; m != null && !ended; m = out.length() < 16 * 1024 && ends == null ? mailbox.poll() : null) {
                    handle(m);
                }
                ActorThreadPool.enterBlockingCall();
                try {
                    out.flushTo(to, () -> streams.passed(flow, 0));
                } finally {
                    ActorThreadPool.exitBlockingCall();
                }
                written();
                if (lingering && !socket.isOutputShutdown()) {
                    socket.shutdownOutput();
                    due = clock.micros() + (many() ? LINGER_OF_MANY : LINGER);
                } else if (asked && !lingering) {
                    due = halfClosed ? due : Long.MAX_VALUE;
                }
            }
        }

        /** The client's socket has taken all that there was. */
        private void written() {
            if (inOut > 0) {
                streams.passed(flow, inOut);
                inOut = 0;
            }
            if (ends != null) {
                Streams.Flow over = flow;
                flow = current == null ? null : current.flow;
                streams.end(over, ends);
                ends = null;
            }
        }

        /** The end of this connection; what is posted later is let go of. */
        private void end() {
            left = true;
            Sockets.closeQuietly(socket);
            mailbox.close();
            for (Object m = mailbox.poll(); m != null; m = mailbox.poll()) {
                inHand.addAndGet(m instanceof Arrived a ? -a.room : 0);
            }
            if (gone) {
                return;
            }
            gone = true;
            inHand.addAndGet(-room);
            ahead.forEach(a -> inHand.addAndGet(-a.room));
            Ending why = faulty ? Ending.FAULT : Ending.READER_LEFT;
            if (flow != null) {
                streams.end(flow, why); // Whatever was to be its ending has not been written.
            }
            if (current != null && current.flow != flow) {
                streams.end(current.flow, why);
            }
            if (current != null) {
                module.clientGone(current.call.request.id());
            }
            open.remove(this);
            synchronized (open) {
                open.notifyAll();
            }
        }

        /** After an exception: what was taken and not begun is answered still. */
        private void lastWords() {
            try {
                if (current != null && !current.begun) {
                    out.take();
                    front.error(out, 500, "internal error", 0, true);
                    out.flushTo(socket.getOutputStream());
                }
            } catch (IOException e) {
                // Nobody is left to answer.
            }
        }

        private boolean last() {
            return closing || shed || lingering || lastAnswer || sentAway();
        }

        private void handle(Object m) {
            if (m instanceof Arrived a) {
                asked = true;
                if (current == null && !lingering) {
                    begin(a);
                } else if (ahead.size() < MOST_AHEAD) {
                    ahead.add(a);
                } else {
                    // No client of ours sends so many ahead: the one in hand is answered, then it ends.
                    lastAnswer = true;
                    inHand.addAndGet(-a.room);
                }
            } else if (m instanceof Event e) {
                if (e.exchange == current) {
                    if (!current.begun) {
                        current.begun = true;
                        current.call.begin(out, last());
                    }
                    current.call.event(out, e.bytes);
                    inOut += e.bytes.length;
                }
            } else if (m instanceof End e) {
                if (e.exchange == current) {
                    if (!current.begun) {
                        current.begun = true;
                        current.call.begin(out, last());
                    }
                    current.call.end(out, last());
                    ends = Ending.WHOLE;
                    over(last());
                }
            } else if (m instanceof Broken b) {
                if (b.exchange == current) {
                    ends = b.why;
                    if (current.begun && b.why != Ending.MOVED && b.error == null && current.call.saved(out, last())) {
                        ends = Ending.INCOMPLETE;
                        over(last());
                        return;
                    }
                    if (!current.begun) {
                        current.call.failed(out, "stream broke", true);
                    } else {
                        current.call.broken(out, b.error);
                    }
                    current = null;
                    ended = true;
                }
            } else if (m instanceof Refused r) {
                if (r.exchange == current) {
                    current.call.refused(out, r.retryAfter, last());
                    ends = Ending.FAULT; // Of a stream; a request that became none has no ending.
                    over(last());
                }
            } else if (m instanceof Failed f) {
                if (f.exchange == current) {
                    current.call.failed(out, f.why, last());
                    ends = Ending.FAULT;
                    over(last());
                }
            } else if (m instanceof Malformed b) {
                journal.count("malformed_requests");
                if (current == null && !lingering) {
                    front.error(out, b.status, b.why, b.status == 503 ? SHED_PAUSE : 0, true);
                    lingering = true;
                } else {
                    // Rubbish behind a request in hand: that one is answered, then it ends.
                    lastAnswer = true;
                }
            } else if (m instanceof Left) {
                ended = true;
            } else if (m instanceof HalfClosed) {
                halfClosed = current != null && !lingering;
                ended = !halfClosed;
                lastAnswer = true;
                sign(FIRST_SIGN);
            } else if (m instanceof Leave) {
                leave();
            } else if (m instanceof Due) {
                if (clock.micros() < due) {
                    return;
                }
                due = Long.MAX_VALUE;
                if (lingering) {
                    ended = true;
                } else if (halfClosed) {
                    sign(SIGN);
                } else if (!asked) {
                    journal.count("clients_without_request");
                    handle(new Malformed(408, "no request in time"));
                }
            } else if (m instanceof CloseIfIdle) {
                closeIfIdle();
            }
        }

        /** Guards against closing on a request that has begun to come in: it gets its answer, the last one.
         */
        private void closeIfIdle() {
            if (current != null || !ahead.isEmpty() || lingering) {
                return;
            }
            boolean coming = reading;
            try {
                coming |= socket.getInputStream().available() > 0;
            } catch (IOException e) {
                ended = true;
                return;
            }
            lastAnswer |= coming;
            lingering = !coming;
        }

        /** Room is needed. A request that has begun to come in meanwhile keeps the connection, unless the
         *  client has never sent a whole one. */
        private void leave() {
            leaving = false;
            if (current != null || !ahead.isEmpty() || lingering) {
                return;
            }
            if (!asked) {
                journal.count("clients_silent_closed");
                ended = true;
                return;
            }
            // A close over bytes that nobody has read would reset the connection.
            closeIfIdle();
            if (lingering) {
                journal.count("clients_idle_closed");
            }
        }

        /** Says something that a reader that has gone answers with a reset. */
        private void sign(long next) {
            if (current != null && current.begun) {
                current.call.alive(out);
            }
            due = clock.micros() + next;
        }

        private void over(boolean close) {
            current = null;
            quietSince = clock.micros();
            inHand.addAndGet(-room);
            room = 0;
            if (close) {
                lingering = true;
            } else if (!ahead.isEmpty()) {
                begin(ahead.poll());
            }
        }

        private void begin(Arrived a) {
            room = a.room;
            quietSince = BUSY;
            lastAnswer |= a.head.closesConnection() || many();
            boolean close = last();
            String path = a.head.target();
            if (path.equals("/up") || path.equals("/counters")) {
                boolean get = a.head.method().equals("GET") || a.head.method().equals("HEAD");
                int status =
                        !get ? 405 : path.equals("/up") && (standbySince != 0 || !ready.getAsBoolean()) ? 503 : 200;
                String text = path.equals("/counters") ? counters.get() : status == 200 ? "up\n" : "not ready\n";
                HttpResponses.append(
                        out,
                        status,
                        "text/plain; charset=utf-8",
                        a.head.method().equals("HEAD") ? new byte[0] : text.getBytes(StandardCharsets.UTF_8),
                        close);
                over(close);
                return;
            }
            if (shed) {
                front.error(out, 503, "no room", SHED_PAUSE, true);
                over(true);
                return;
            }
            ProtocolAdapter.Call call;
            try {
                call = front.read(a.head, a.body, a.at);
            } catch (HttpException e) {
                journal.count("malformed_requests");
                front.error(out, e.status(), e.getMessage(), 0, true);
                over(true);
                return;
            }
            Streams.Flow f =
                    streams.open(call.request.classIndex(), call.request.tenantIndex(), call.request.id(), this);
            if (f == null) {
                journal.count("answered_refused");
                journal.count("requests_shed");
                call.refused(out, SHED_PAUSE, close);
                over(close);
                return;
            }
            current = new Exchange(this, call, f);
            if (ends == null) {
                flow = f;
            }
            call.sink(current);
            if (!module.submit(call.request, current, call, a.body.length)) {
                streams.end(f, Ending.FAULT);
                flow = ends == null ? null : flow;
                journal.count("answered_refused");
                journal.count("requests_shed");
                call.refused(out, SHED_PAUSE, close);
                over(close);
            }
        }
    }
}
