package magpiehub.streaming;

import java.util.List;
import java.util.Set;
import magpiehub.concurrent.MonotonicClock;
import magpiehub.config.SiteSettings;
import magpiehub.routing.RequestClass;
import magpiehub.routing.Tenant;
import magpiehub.streaming.StreamOutcomes.Ending;
import magpiehub.telemetry.EventLog;

/**
 * The streams in progress, as the actors on both their sides see them: one lock around the {@link BufferBudget}, the
 * {@link StallDetector} and the {@link StreamOutcomes}, which make the decisions. It never touches a socket, and makes
 * nobody wait but the reader of the very engine whose bytes find no room.
 */
public final class Streams {
    /** How long an engine's reader waits before it looks again by itself (us). */
    private static final long LOOK_AGAIN = 1_000_000;

    /** The client's side of a stream, for what the budget decides about it. Any thread. */
    public interface Reader {
        /** Ends the stream's connection at once, whoever may be blocked in it. */
        void cut();
    }

    /** One stream, from its request to its one ending. */
    public static final class Flow {
        private BufferBudget.Account account;
        private final int cls;
        private final int tenant;
        private final String id;
        private final Reader reader;
        private String engine;
        private Ending cutFor;
        private Ending ending;
        /** Over before it became a stream: a grant that crosses the end begins none. */
        private boolean over;

        private volatile long lastEventAt;
        /** Its engine's reader waits for room: the engine is not silent, it is not listened to. */
        private volatile boolean waits;
        /** When that wait last ended (us): what the engine sent meanwhile is only read from then on. */
        private volatile long waitedUntil;

        private Flow(int cls, int tenant, String id, Reader reader) {
            this.cls = cls;
            this.tenant = tenant;
            this.id = id;
            this.reader = reader;
        }

        /** The first reason to cut it counts. */
        private void cutFor(Ending why) {
            cutFor = cutFor == null ? why : cutFor;
        }
    }

    /** Guards all of the below; readers wait on it for room. */
    private final Object lock = new Object();

    private volatile StreamLimits allowances;
    private volatile List<RequestClass> classes;
    private volatile List<Tenant> tenants;
    private final MonotonicClock clock;
    private final EventLog journal;
    private final BufferBudget budget;
    private final StallDetector pace;
    private final StreamOutcomes ledger = new StreamOutcomes();
    private int waiting;

    /** For a site's classes and tenants. */
    public Streams(StreamLimits allowances, SiteSettings site, MonotonicClock clock, EventLog journal) {
        settings(allowances, site);
        this.clock = clock;
        this.journal = journal;
        this.budget = new BufferBudget(allowances.budget());
        this.pace = new StallDetector(allowances.pace());
    }

    /** What holds from now on: classes and tenants keep their places. The budget and the pace are those of
     *  the start. */
    public final void settings(StreamLimits later, SiteSettings site) {
        allowances = later;
        classes = site.routing().classes();
        tenants = site.routing().tenants();
    }

    public StreamLimits allowances() {
        return allowances;
    }

    private StreamLimits.PerClass of(int cls) {
        return allowances.classes().get(cls);
    }

    /** The most that one client may leave untaken, over all classes (bytes). */
    public long largestBuffer() {
        return allowances.classes().stream()
                .mapToLong(StreamLimits.PerClass::buffer)
                .max()
                .orElse(0);
    }

    // ---- The client's side ----------------------------------------------------------------------------
    /** A request that may become a stream; null if there is no room for one more, and then it is refused. */
    public Flow open(int cls, int tenant, String id, Reader reader) {
        synchronized (lock) {
            if (!budget.admits(clock.micros())) {
                journal.count("streams_refused");
                return null;
            }
            Flow f = new Flow(cls, tenant, id, reader);
            f.account = budget.open(f, of(cls).buffer(), clock.micros());
            return f;
        }
    }

    /** The client's socket has taken so many of the stream's bytes. */
    public void passed(Flow f, long bytes) {
        synchronized (lock) {
            budget.passed(f.account, bytes, clock.micros());
            signal();
        }
    }

    /** Whether the client's socket has taken nothing for longer than its class allows, or for {@code least}
     *  (us) where that is shorter. Then the stream is to be cut, and {@code why} is noted for its ending. */
    public boolean stuck(Flow f, long now, long least, Ending why) {
        synchronized (lock) {
            boolean stuck = f.ending == null
                    && f.account.stuckFor(now) > Math.min(least, of(f.cls).pause());
            if (stuck) {
                f.cutFor(why);
            }
            return stuck;
        }
    }

    /** The stream's one ending; where it was cut, the reason noted then counts. A request that never became a
     *  stream gives its room back and has none. */
    public void end(Flow f, Ending told) {
        Ending e;
        long now = clock.micros();
        synchronized (lock) {
            e = f.cutFor != null && told == Ending.READER_LEFT ? f.cutFor : told;
            if (f.engine == null) {
                f.over = true;
                budget.close(f.account);
                signal();
                return;
            }
            if (!ledger.ended(f.ending, e)) {
                if (f.ending != e) {
                    journal.count("streams_ended_twice");
                }
                return;
            }
            f.ending = e;
            pace.ended(f.engine);
            budget.close(f.account);
            signal();
        }
        journal.count(e.counter());
        if (e != Ending.WHOLE || allowances.logAll()) {
            journal.log(
                    "stream-ended",
                    "why",
                    e.name().toLowerCase(java.util.Locale.ROOT),
                    "id",
                    f.id,
                    "engine",
                    f.engine,
                    "class",
                    classes.get(f.cls).name(),
                    "tenant",
                    f.tenant < 0 ? "" : tenants.get(f.tenant).name(),
                    "bytes_passed",
                    Long.toString(f.account.passed()),
                    "bytes_left",
                    Long.toString(f.account.held()),
                    "last_event_ms_ago",
                    Long.toString(f.lastEventAt == 0 ? -1 : (now - f.lastEventAt) / 1000));
        }
    }

    // ---- The engine's side ----------------------------------------------------------------------------
    /** The stream belongs to the client now. */
    public void begun(Flow f, String engine) {
        synchronized (lock) {
            if (f.engine == null && !f.over) {
                f.engine = engine;
                f.lastEventAt = clock.micros();
                ledger.begun();
                pace.begun(engine, f.lastEventAt);
            }
        }
    }

    /** Bytes have come from an engine's socket: waits until there is room for them, and counts them. Where
     *  bytes are short for all, the stream that is furthest behind is cut. For the engine's own reader. */
    public void came(Flow f, int bytes) throws InterruptedException {
        Flow worst = null;
        synchronized (lock) {
            if (!budget.room(f.account)) {
                awaitRoom(f);
            }
            long now = clock.micros();
            budget.came(f.account, bytes, now);
            BufferBudget.Account a = budget.victim(now);
            if (a != null) {
                worst = (Flow) a.owner;
                worst.cutFor(Ending.READER_BEHIND);
                // Its bytes are free from here on: nobody else is ended for them.
                budget.close(a);
                signal();
            }
        }
        if (worst != null) {
            worst.reader.cut();
        }
    }

    /** Under the lock. The flow is marked as waiting without a gap from the first look to the last: whoever
     *  asks in between would take an engine that is not listened to for a silent one. */
    private void awaitRoom(Flow f) throws InterruptedException {
        waiting++;
        f.waits = true;
        try {
            while (!budget.room(f.account)) {
                clock.await(lock, clock.micros() + LOOK_AGAIN);
            }
        } finally {
            waiting--;
            f.waitedUntil = clock.micros();
            f.waits = false;
        }
    }

    /** Bytes that had come are let go of: their attempt is not the client's. */
    public void dropped(Flow f, long bytes) {
        if (bytes > 0) {
            synchronized (lock) {
                budget.dropped(f.account, bytes, clock.micros());
                signal();
            }
        }
    }

    private void signal() {
        if (waiting > 0) {
            lock.notifyAll();
        }
    }

    /** An event has come on a stream that is the client's, so long after the one before it (us). */
    public void heard(Flow f, String engine, long gap, long now) {
        f.lastEventAt = now;
        if (allowances.pace().learns()) {
            synchronized (lock) {
                pace.heard(engine, gap, now);
            }
        }
    }

    /**
     * Until when a stream may be silent (us on the clock).
     *
     * @param heardAt when its engine last sent anything on it, a comment included
     * @param eventAt when it last sent an event
     * @param resume whether its client asks for the rest of a stream that broke
     */
    public long silentUntil(Flow f, String engine, boolean resume, long heardAt, long eventAt, long now) {
        if (f.waits) {
            return Math.max(now, heardAt) + LOOK_AGAIN;
        }
        long limit = allowances.pace().ceiling();
        if (allowances.pace().learns()) {
            synchronized (lock) {
                limit = pace.limit(engine, now);
            }
        }
        StreamLimits.PerClass own = of(f.cls);
        long silence = resume ? limit : Math.max(limit, own.hold());
        return Math.min(Math.max(heardAt, f.waitedUntil) + silence, Math.max(eventAt, f.waitedUntil) + own.comments());
    }

    /** The engine is no longer listed. */
    public void gone(String engine) {
        synchronized (lock) {
            pace.gone(engine);
        }
    }

    /** Engines that a whole list does not name are gone. */
    public void only(Set<String> listed) {
        synchronized (lock) {
            pace.only(listed);
        }
    }

    /** One figure a line. */
    public String figures() {
        synchronized (lock) {
            return "streams_open " + ledger.open() + "\nstreams_bytes_held " + budget.held()
                    + "\nstreams_bytes_held_most " + budget.most() + "\nstreams_bytes_budget "
                    + budget.total()
                    + "\nstreams_engines_waiting " + waiting + "\nstreams_shared_slowness_percent "
                    + Math.round(100 * pace.shared()) + "\n";
        }
    }
}
