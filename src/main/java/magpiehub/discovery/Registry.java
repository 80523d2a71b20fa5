package magpiehub.discovery;

import java.io.IOException;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import javax.net.ssl.SSLContext;
import magpiehub.concurrent.Mailbox;
import magpiehub.concurrent.MonotonicClock;
import magpiehub.config.ConfigurationException;
import magpiehub.config.EndpointEntry;
import magpiehub.config.SiteSettings;
import magpiehub.dispatch.RequestDispatcher;
import magpiehub.routing.EndpointListKind;
import magpiehub.telemetry.EventLog;
import magpiehub.upstream.UpstreamPool;

/**
 * The actor that keeps the list of engines with a key-value registry. It owns the {@link View}, the
 * {@link Membership}, the endpoints, and the calls under way: one main call (a list or a watch, whose words
 * are the view's) and one beside it (a check that the watch still speaks, or a second read). Two channels,
 * each a thread of its own, carry calls out; their words come back as messages, and those of a call that is
 * no longer the current one are dropped. It must never wait for a registry, doubt by itself (the view and the
 * membership do), or take a request's time: requests are routed by the list as it stands.
 *
 * <p>While a new registry has not told its list (SIGHUP), the old one's words still count.
 */
public final class Registry implements EndpointSource {
    private static final int MAILBOX_BYTES = 16 << 20;
    /** A list that keeps coming is waited for, but not for ever; and at first only for so long that another
     *  endpoint can tell its own within the 6 s after which what a registry has counts as told (us). */
    private static final long LONGEST_LIST = 30_000_000;

    private static final long LIST_IN_TIME = 3_000_000;
    /** After a check that saw more than the watch has told: how soon the next one decides (us). */
    private static final long SOON = 300_000;

    private static final long BETWEEN_LISTS = 250_000;
    /** How long an endpoint that told an older list is left alone while others can be asked for a second
     *  word: two words of one that lags are no restart (us). */
    private static final long SECOND_READ = 1_000_000;
    /** A connection closed sooner than this after its last use was not closed for being idle (us). */
    private static final long RESTS = 2_000_000;

    /** No answer in time. */
    private static final class Silent extends IOException {
        private static final long serialVersionUID = 1L;

        Silent() {
            super("silent");
        }
    }

    enum Kind {
        LIST,
        WATCH,
        CHECK
    }

    /** Tells a test or a proof what the view has taken over, in the actor's thread. */
    interface Tap {
        void view(View view, View.Result result, boolean watched);

        /** A connection is made for a call, in its channel's thread. */
        default void connects(Kind kind, String endpoint) {}

        default void began(Thread thread) {}
    }

    /** Where the list goes: in order, from this actor's thread. */
    interface Out {
        void tell(EndpointListKind kind, List<EndpointEntry> entries);
    }

    private record Ask() {}

    private record Move(Options options) {}

    private record Stop() {}

    private record Word(Call call, Runnable what) {}

    private record Ended(Call call, IOException failure) {}

    /** One call: what is asked, of whom, and from which position. */
    private static final class Call {
        final Session session;
        final Kind kind;
        final int endpoint;
        final View.Position asked;
        final long startedAt;
        final boolean confirms;
        /** Set by its channel; null until it is connected or connecting. */
        volatile RegistryConnection wire;

        volatile boolean cancelled;
        /** Its connection was lost between two calls. */
        volatile boolean atRest;
        /** Its list was older than what was known: the next one is asked for at once. */
        boolean behind;

        boolean opened;
        /** Whether no word has come yet; its channel writes it. */
        volatile boolean first = true;

        long lastWord;
        long until;

        Call(Session session, Kind kind, int endpoint, View.Position asked, long now, boolean confirms) {
            this.session = session;
            this.kind = kind;
            this.endpoint = endpoint;
            this.asked = asked;
            this.startedAt = now;
            this.lastWord = now;
            this.confirms = confirms;
        }

        void cancel() {
            cancelled = true;
            RegistryConnection w = wire;
            if (w != null) {
                w.close();
            }
        }
    }

    /** Carries out one call after another on a connection that it keeps. Guards against a thread a call: a
     *  check a second would start one a second. */
    private final class Channel {
        final Mailbox<Call> calls = new Mailbox<>(clock, 1 << 10);
        private RegistryConnection kept;
        private long keptAt;

        Channel(String name) {
            begin(name, this::run);
        }

        private void run() {
            try {
                while (true) {
                    Call c = calls.take(Long.MAX_VALUE);
                    if (c.kind == null) {
                        break;
                    }
                    carryOut(c);
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            } finally {
                if (kept != null) {
                    kept.close();
                }
            }
        }

        private void carryOut(Call c) throws InterruptedException {
            IOException failure = null;
            try {
                String endpoint = c.session.options.endpoints().get(c.endpoint);
                boolean again = kept != null && kept.endpoint().equals(endpoint) && !kept.isClosed();
                if (!again && kept != null) {
                    kept.close();
                    kept = null;
                }
                try {
                    exchange(c, endpoint);
                } catch (IOException e) {
                    if (!again
                            || c.cancelled
                            || c.first == false
                            || !(e instanceof java.io.EOFException || e instanceof java.net.SocketException)) {
                        throw e;
                    }
                    // One that its server closed after a long rest says nothing of the server. Between two
                    // queries of a list it was lost with everybody else's, who all rest at the same time.
                    if (c.kind != Kind.CHECK && clock.micros() - keptAt < RESTS) {
                        c.atRest = true;
                        throw e;
                    }
                    kept.close();
                    exchange(c, endpoint);
                }
            } catch (IOException e) {
                failure = e;
            } catch (RuntimeException | OutOfMemoryError e) {
                failure = new IOException(String.valueOf(e.getMessage()), e);
            }
            if (failure != null && kept != null) {
                kept.close();
                kept = null;
            }
            keptAt = clock.micros();
            mailbox.post(new Ended(c, failure));
        }

        private void exchange(Call c, String endpoint) throws IOException, InterruptedException {
            if (kept == null || kept.isClosed()) {
                kept = new RegistryConnection(endpoint, c.session.tls, clock, bytes);
                c.wire = kept;
                if (tap != null) {
                    tap.connects(c.kind, endpoint);
                }
                kept.connect((int) Math.max(1, c.session.options.timeout() / 1000));
            }
            c.wire = kept;
            if (c.cancelled) {
                kept.close();
                throw new IOException("cancelled");
            }
            RegistryEventListener sink = new Words(c);
            switch (c.kind) {
                case LIST -> c.session.driver.readList(kept, sink);
                case WATCH -> c.session.driver.watch(kept, c.asked, sink);
                default -> c.session.driver.checkPosition(kept, sink);
            }
        }
    }

    /** Makes messages of a call's words; waits where the actor is behind, so that only its own call is held.
     *  */
    private final class Words implements RegistryEventListener {
        private final Call call;

        Words(Call call) {
            this.call = call;
        }

        private void post(Runnable what, int size) throws IOException, InterruptedException {
            call.first = false;
            if (!mailbox.postWhenRoom(new Word(call, what), size)) {
                throw new IOException("stopped");
            }
        }

        @Override
        public void onWatchOpened(View.Position header) throws IOException, InterruptedException {
            post(() -> Registry.this.opened(call, header), 64);
        }

        @Override
        public void onCompleteList(View.Position to, List<View.Item> items) throws IOException, InterruptedException {
            post(() -> Registry.this.whole(call, to, items), 64 + 256 * items.size());
        }

        @Override
        public void onChanges(View.Position to, List<View.Item> items) throws IOException, InterruptedException {
            post(() -> Registry.this.changes(call, to, items), 64 + 256 * items.size());
        }

        @Override
        public void onWatchResumed(View.Position of, List<View.Item> last, long count)
                throws IOException, InterruptedException {
            post(() -> reread(call, view.resumed(of, call.asked, last, count)), 64);
        }

        @Override
        public void onCompacted(String why) throws IOException, InterruptedException {
            post(
                    () -> {
                        journal.count("registry_compactions");
                        journal.log(
                                "registry-compacted",
                                "endpoint",
                                endpoint(call),
                                "why",
                                why,
                                "position",
                                Long.toString(view.position().number()));
                        view.compacted();
                    },
                    64);
        }

        @Override
        public void onPositionChecked(View.Position of, long newest, long count)
                throws IOException, InterruptedException {
            post(() -> Registry.this.checked(call, of, newest, count), 64);
        }
    }

    /** All that belongs to one registry's settings. */
    private final class Session {
        final Options options;
        final RegistryProtocol driver;
        final SSLContext tls;
        final Endpoints endpoints;
        final Channel mainChannel = new Channel("registry-main");
        final Channel sideChannel = new Channel("registry-side");
        Call main;
        Call side;
        /** Whether this registry has told a whole list. */
        boolean told;

        boolean down;
        boolean confirm;
        long mainAt;
        long checkAt = Long.MIN_VALUE;
        long listedAt = Long.MIN_VALUE / 2;
        /** How long a list may keep coming: twice as long as the last one that was given up for it. */
        long longest = LIST_IN_TIME;

        Session(Options o, long now) throws IOException {
            options = o;
            tls = o.tls() ? TlsContexts.trusting(o.authorities()) : null;
            driver = driver(o);
            endpoints = new Endpoints(o.endpoints().size(), o.waits(), seed ^ now);
            mainAt = now;
        }

        void end() {
            for (Call c : new Call[] {main, side}) {
                if (c != null) {
                    c.cancel();
                }
            }
            main = null;
            side = null;
            mainChannel.calls.post(new Call(this, null, 0, null, 0, false));
            sideChannel.calls.post(new Call(this, null, 0, null, 0, false));
        }
    }

    private final Entries entries;
    private final Told told = new Told();
    private final UpstreamPool engines;
    private final Out out;
    private final MonotonicClock clock;
    private final EventLog journal;
    private final Mailbox<Object> mailbox;
    private final long seed;
    private final AtomicLong bytes = new AtomicLong();
    private final View view = new View();
    private Membership membership;
    private RequestDispatcher module;
    private Session current;
    private Session former;
    private Options options;
    private boolean toldWhole;
    private long lastSaved = Long.MIN_VALUE / 2;
    private long savedVersion = -1;
    private final Mailbox<Runnable> disk;
    private long heardAt;
    /** This turn's time (us). */
    private long now;

    private Set<String> named = Set.of();
    private volatile boolean known;
    private volatile Figures figures;
    Tap tap;

    /** An actor for a registry that {@code options} describes. */
    public Registry(
            Options options,
            Supplier<SiteSettings> site,
            UpstreamPool engines,
            MonotonicClock clock,
            EventLog journal,
            long seed) {
        this(options, site, engines, null, clock, journal, seed);
    }

    /** {@code to} instead of engines and a module. */
    Registry(
            Options options,
            Supplier<SiteSettings> site,
            UpstreamPool engines,
            Out to,
            MonotonicClock clock,
            EventLog journal,
            long seed) {
        this.options = options;
        this.entries = Entries.strict(site, clock.micros());
        this.out =
                to != null ? to : (kind, list) -> EndpointSource.tell(kind, told.source(kind, list), engines, module);
        this.engines = engines;
        this.clock = clock;
        this.journal = journal;
        this.seed = seed;
        this.mailbox = new Mailbox<>(clock, MAILBOX_BYTES);
        this.disk = new Mailbox<>(clock, 0);
        this.membership = new Membership(options.membership());
    }

    private RegistryProtocol driver(Options o) {
        return switch (o.kind()) {
            case "etcd" -> new EtcdProtocol(o.prefix(), o.page(), o.user(), o.secret(), entries);
            case "consul-health" -> ConsulProtocol.forHealth(o.service(), o.block(), o.secret(), entries);
            default -> ConsulProtocol.forKeyValues(o.prefix(), o.block(), o.secret(), entries);
        };
    }

    /** {@code saved} is not used: the last list of this source is in a file of its own. */
    @Override
    public void start(RequestDispatcher actor, byte[] saved) {
        module = actor;
        now = clock.micros();
        if (options.listFile() != null) {
            restore();
            Mailbox.thread("registry-disk", this::writeLists).start();
        }
        try {
            current = new Session(options, now);
        } catch (IOException e) {
            throw new ConfigurationException("registry.json: " + e.getMessage());
        }
        begin("registry", this::run);
    }

    private void begin(String name, Runnable body) {
        Thread t = Mailbox.thread(name, body);
        if (tap != null) {
            tap.began(t);
        }
        t.start();
    }

    @Override
    public boolean known() {
        return known;
    }

    /** The module asks; this actor keeps watching by itself, so there is only an answer to give. */
    @Override
    public void watch() {
        mailbox.post(new Ask());
    }

    @Override
    public void unwatch() {
        // What the registry tells is wanted as long as the program runs.
    }

    @Override
    public void fetch() {
        mailbox.post(new Ask());
    }

    @Override
    public Told told() {
        return told;
    }

    @Override
    public void maintain(Set<String> off, Map<String, Long> back, Runnable done) {
        mailbox.post(new Maintain(off, back, done));
    }

    /** The file says otherwise now. Any thread. */
    public void move(Options to) {
        mailbox.post(new Move(to));
    }

    /** Ends its calls and threads. Any thread. */
    public void stop() {
        mailbox.post(new Stop());
    }

    /** Bytes read from registries since the start. */
    long bytes() {
        return bytes.get();
    }

    // ---- The actor ------------------------------------------------------------------------------------
    private void run() {
        try {
            boolean on = true;
            while (on) {
                on = turn();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private boolean turn() throws InterruptedException {
        Object m = mailbox.take(next());
        now = clock.micros();
        try {
            if (m instanceof Stop) {
                current.end();
                if (former != null) {
                    former.end();
                }
                mailbox.close();
                return false;
            } else if (m instanceof Ask && known) {
                out.tell(EndpointListKind.CHANGES, List.of());
            } else if (m instanceof Maintain o) {
                o.carry(told, engines, module);
            } else if (m instanceof Move to) {
                moved(to.options);
            } else if (m instanceof Word w && counts(w.call)) {
                w.call.lastWord = now;
                w.what.run();
            } else if (m instanceof Ended e && counts(e.call)) {
                ended(e.call, e.failure);
            }
            due();
            if (former != null) {
                step(former);
            }
            step(current);
            save();
            figures = new Figures(
                    view.position(),
                    view.version(),
                    view.size(),
                    heardAt,
                    view.repeats(),
                    membership.held().size(),
                    membership.suppressed(),
                    membership.figures());
        } catch (RuntimeException | OutOfMemoryError e) {
            // Ends what was being done; a call that came to nothing by it ends as silent.
            journal.count("registry_exceptions");
            journal.log(
                    "registry-exception",
                    "error",
                    e.toString(),
                    "at",
                    e.getStackTrace().length > 0 ? e.getStackTrace()[0].toString() : "?");
        }
        return true;
    }

    private static boolean counts(Call c) {
        return c == c.session.main || c == c.session.side;
    }

    private long next() {
        long at = Math.min(membership.next(), nextOf(current));
        if (former != null) {
            at = Math.min(at, nextOf(former));
        }
        boolean unsaved = options.listFile() != null && known && savedVersion != view.version();
        return unsaved ? Math.min(at, lastSaved + options.listEvery()) : at;
    }

    private long nextOf(Session s) {
        long at = s.main == null ? s.mainAt : s.main.until;
        if (s.side != null) {
            return Math.min(at, s.side.until);
        }
        return s.confirm ? Math.min(at, s.endpoints.readyAt()) : Math.min(at, checkAt(s));
    }

    /** When the watch has been quiet long enough to be asked after. */
    private long checkAt(Session s) {
        Call c = s.main;
        if (c == null || c.kind != Kind.WATCH || !c.opened) {
            return Long.MAX_VALUE;
        }
        return Math.max(s.checkAt, c.lastWord + s.options.checkEvery());
    }

    /** Deadlines that have passed, and the calls that are due. */
    private void step(Session s) {
        for (Call c : new Call[] {s.main, s.side}) {
            if (c != null && c.until <= now) {
                RegistryConnection w = c.wire;
                long heard = w == null ? c.startedAt : Math.max(c.startedAt, w.lastReadMicros());
                boolean comes = c.kind == Kind.LIST && heard + s.options.timeout() > now;
                if (comes && c.startedAt + s.longest > now) {
                    c.until = Math.min(c.startedAt + s.longest, heard + s.options.timeout());
                } else {
                    s.longest = comes ? Math.min(LONGEST_LIST, 2 * s.longest) : s.longest;
                    c.cancel();
                    ended(c, new Silent());
                }
            }
        }
        if (s.main == null && now >= s.mainAt) {
            startMain(s);
        }
        if (s.side == null && s.confirm) {
            int e = s.endpoints.other(now);
            if (e >= 0) {
                s.confirm = false;
                s.side = call(s, Kind.LIST, e, true);
                s.sideChannel.calls.post(s.side);
            }
        }
        if (s.side == null && checkAt(s) <= now) {
            s.checkAt = now + s.options.checkEvery();
            s.side = call(s, Kind.CHECK, s.main.endpoint, false);
            s.sideChannel.calls.post(s.side);
        }
    }

    private void startMain(Session s) {
        int e = s.endpoints.pick(now);
        if (e < 0) {
            s.mainAt = s.endpoints.readyAt();
            return;
        }
        Kind kind = !s.told || view.needsWhole() ? Kind.LIST : Kind.WATCH;
        if (kind == Kind.LIST && now < s.listedAt + BETWEEN_LISTS) {
            // Guards against a registry whose lists can't be followed: it is not read without a pause.
            s.mainAt = s.listedAt + BETWEEN_LISTS;
            return;
        }
        s.main = call(s, kind, e, false);
        s.mainChannel.calls.post(s.main);
    }

    private Call call(Session s, Kind kind, int endpoint, boolean confirms) {
        Call c = new Call(s, kind, endpoint, view.position(), now, confirms);
        c.until = now + s.options.timeout();
        if (kind == Kind.WATCH && s.driver.watchReturnsCompleteList()) {
            c.until += s.driver.maxQuietMicros();
            c.opened = true;
            // The time between two queries counts: nothing has been heard in it either.
            c.lastWord = Math.min(now, heardAt);
        }
        journal.count("registry_" + kind.name().toLowerCase(java.util.Locale.ROOT) + "_calls");
        return c;
    }

    private static String endpoint(Call c) {
        return c.session.options.endpoints().get(c.endpoint);
    }

    private void up(Call c) {
        c.session.endpoints.up(c.endpoint);
        String lag = Long.toString(heardAt == 0 ? 0 : (now - heardAt) / 1000);
        heardAt = now;
        if (c.session.down) {
            c.session.down = false;
            journal.log(
                    "registry-up",
                    "kind",
                    c.session.options.kind(),
                    "endpoint",
                    endpoint(c),
                    "history",
                    view.position().history(),
                    "position",
                    Long.toString(view.position().number()),
                    "lag_ms",
                    lag);
        }
    }

    // ---- Words ----------------------------------------------------------------------------------------
    private void opened(Call c, View.Position header) {
        c.opened = true;
        c.until = Long.MAX_VALUE;
        if (!reread(c, view.heard(header))) {
            up(c);
        }
    }

    /** Where only a whole list helps: the watch ends, and the list is asked for at once. */
    private boolean reread(Call c, View.Result r) {
        if (r.verdict() != View.Verdict.REREAD) {
            return false;
        }
        Session s = c.session;
        journal.count("registry_rereads");
        journal.log(
                "registry-reread",
                "endpoint",
                endpoint(c),
                "why",
                r.why(),
                "history",
                view.position().history(),
                "position",
                Long.toString(view.position().number()));
        if (r.why().equals(View.MUTE) || r.why().equals(View.COUNT_DIFFERS)) {
            s.endpoints.suspect(c.endpoint, now, s.options.waits().base());
        }
        leave(s, now);
        return true;
    }

    /** Ends the main call, whose words no longer count; the next one is made at a time. */
    private static void leave(Session s, long next) {
        Call c = s.main;
        s.main = null;
        s.mainAt = next;
        if (c != null) {
            c.cancel();
        }
    }

    private void whole(Call c, View.Position to, List<View.Item> items) {
        Session s = c.session;
        boolean believed = !s.told && s == current;
        boolean wasHistory = view.position().number() >= 0;
        View.Result r = view.whole(to, c.asked, items, believed);
        if (tap != null) {
            tap.view(view, r, false);
        }
        if (r.verdict() == View.Verdict.BEHIND) {
            journal.count("registry_behind");
            journal.log("registry-behind", "endpoint", endpoint(c), "why", r.why());
            view.compacted();
            c.behind = true;
            s.endpoints.suspect(c.endpoint, now, SECOND_READ);
            return;
        }
        up(c);
        if (r.verdict() == View.Verdict.APPLIED) {
            s.told = true;
            s.listedAt = now;
            s.longest = Math.max(LIST_IN_TIME, c.kind == Kind.LIST ? 2 * (now - c.startedAt) : 0);
            if (former != null && s == current) {
                former.end();
                former = null;
            }
            if (r.delta().another() && wasHistory) {
                journal.count("registry_histories");
                journal.log(
                        "registry-history",
                        "endpoint",
                        endpoint(c),
                        "history",
                        to.history(),
                        "term",
                        Long.toString(to.term()),
                        "position",
                        Long.toString(to.number()));
            }
            deliver(r.delta());
            journal.count("registry_lists");
            nameUnreadable();
        }
        if (c.confirms) {
            Set<String> ids = new HashSet<>();
            for (View.Item i : items) {
                if (i.entry() != null) {
                    ids.add(i.entry().server().id());
                }
            }
            tell(membership.confirmed(ids, now));
        }
    }

    private void changes(Call c, View.Position to, List<View.Item> items) {
        View.Result r = view.changes(to, items);
        if (tap != null) {
            tap.view(view, r, true);
        }
        if (reread(c, r)) {
            return;
        }
        up(c);
        if (r.verdict() == View.Verdict.APPLIED) {
            journal.count("registry_changes");
            if (!r.delta().isEmpty()) {
                deliver(r.delta());
            }
            for (View.Item i : items) {
                if (i.unreadable() != null) {
                    nameUnreadable();
                    break;
                }
            }
        }
    }

    private void checked(Call c, View.Position of, long newest, long count) {
        if (c.session.main == null || c.session.main.kind != Kind.WATCH) {
            return;
        }
        View.Result r = view.checked(of, c.asked, newest, count);
        if (!reread(c.session.main, r)) {
            up(c);
            if (view.ahead()) {
                c.session.checkAt = c.startedAt + Math.min(SOON, c.session.options.checkEvery());
                c.session.main.lastWord = c.session.checkAt - c.session.options.checkEvery();
            }
        }
    }

    private void nameUnreadable() {
        java.util.Map<String, String> now = view.unreadable();
        for (var e : now.entrySet()) {
            if (!named.contains(e.getKey())) {
                journal.count("registry_unreadable");
                journal.log("registry-entry-unreadable", "key", e.getKey(), "why", e.getValue());
            }
        }
        named = now.keySet();
    }

    private void ended(Call c, IOException failure) {
        Session s = c.session;
        boolean wasMain = c == s.main;
        if (wasMain) {
            s.main = null;
            s.mainAt = now;
        } else {
            s.side = null;
        }
        if (failure == null) {
            if (wasMain && s.driver.watchReturnsCompleteList() && !c.behind) {
                s.mainAt = Math.max(now, c.startedAt + s.options.least());
            }
            return;
        }
        if (wasMain && c.kind == Kind.WATCH && view.needsWhole() && s.told) {
            return; // Compacted, or read anew: the endpoint is well.
        }
        if (c.confirms) {
            s.confirm = true;
        }
        String why = failure.getMessage() == null ? failure.toString() : failure.getMessage();
        journal.count("registry_failures");
        journal.log(
                "registry-failed",
                "call",
                c.kind.name().toLowerCase(java.util.Locale.ROOT),
                "endpoint",
                endpoint(c),
                "why",
                why);
        Endpoints.Loss loss = failure instanceof Silent
                ? Endpoints.Loss.SILENCE
                : failure instanceof RegistryErrorException
                        ? Endpoints.Loss.ANSWER
                        : c.atRest ? Endpoints.Loss.REST : Endpoints.Loss.LINK;
        s.endpoints.failed(c.endpoint, now, loss, failure instanceof HttpStatusException r ? r.retryAfterMicros() : 0);
        s.down = true;
        if (wasMain) {
            s.mainAt = Math.max(now, s.endpoints.readyAt());
        } else if (s.main != null && s.main.endpoint == c.endpoint && s.main.kind == Kind.WATCH) {
            // The watch's endpoint no longer answers: a quiet watch on it can't be told from a dead one.
            leave(s, Math.max(now, s.endpoints.readyAt()));
        }
    }

    private void moved(Options to) {
        if (to.equals(options)) {
            return;
        }
        Session fresh;
        try {
            fresh = new Session(to, now);
        } catch (IOException | ConfigurationException e) {
            journal.log("registry-move-failed", "error", String.valueOf(e.getMessage()));
            return;
        }
        journal.count("registry_moves");
        journal.log("registry-moved", "kind", to.kind(), "endpoints", String.join(" ", to.endpoints()));
        if (!to.membership().equals(options.membership())) {
            Membership old = membership;
            membership = new Membership(to.membership());
            membership.apply(new View.Delta(view.version(), true, false, old.all(), List.of()), now);
        }
        options = to;
        if (former == null && current.told) {
            former = current;
        } else {
            current.end();
        }
        current = fresh;
    }

    // ---- What the module is told ----------------------------------------------------------------------
    private void deliver(View.Delta d) {
        List<EndpointEntry> changes = membership.apply(d, now);
        if (membership.confirm()) {
            journal.count("membership_doubts");
            journal.log(
                    "membership-doubt",
                    "held",
                    Integer.toString(membership.held().size()),
                    "engines",
                    Integer.toString(view.size()));
            current.confirm = true;
        }
        if (!toldWhole) {
            toldWhole = true;
            known = true;
            out.tell(EndpointListKind.COMPLETE, membership.all());
        } else {
            tell(changes);
        }
        if (d.whole()) {
            journal.log(
                    "registry-list",
                    "version",
                    Long.toString(d.version()),
                    "position",
                    Long.toString(view.position().number()),
                    "put",
                    Integer.toString(d.put().size()),
                    "gone",
                    Integer.toString(d.gone().size()),
                    "engines",
                    Integer.toString(view.size()));
        }
    }

    private void tell(List<EndpointEntry> changes) {
        if (!changes.isEmpty()) {
            out.tell(EndpointListKind.CHANGES, changes);
        }
    }

    private void due() {
        if (membership.next() <= now) {
            tell(membership.due(now));
            if (membership.confirm()) {
                journal.count("membership_unconfirmed");
                current.confirm = true;
            }
        }
    }

    /** What a turn left, formatted when it is asked for. */
    private record Figures(
            View.Position at,
            long version,
            int engines,
            long heardAt,
            long repeats,
            int held,
            int suppressed,
            long[] membership) {}

    /** One figure a line; {@code registry_silence_ms} is how long no registry has answered, -1 before one
     *  has. */
    @Override
    public String figures() {
        Figures f = figures;
        return f == null
                ? ""
                : "registry_version " + f.version + "\nregistry_position " + f.at.number()
                        + "\nregistry_term " + f.at.term() + "\nregistry_engines " + f.engines
                        + "\nregistry_silence_ms " + (f.heardAt == 0 ? -1 : (clock.micros() - f.heardAt) / 1000)
                        + "\nregistry_bytes_read " + bytes.get() + "\nregistry_repeats_dropped " + f.repeats
                        + "\nmembership_held " + f.held + "\nmembership_damped_now " + f.suppressed
                        + "\nmembership_damped " + f.membership[1] + "\nmembership_spared " + f.membership[2] + "\n";
    }

    // ---- The list on disk -----------------------------------------------------------------------------
    private void restore() {
        try {
            LastList.Kept kept =
                    new LastList(options.listFile(), entries).read(System.currentTimeMillis(), options.listAge());
            if (kept == null) {
                return;
            }
            View.Delta delta = view.saved(kept.items());
            membership.apply(delta, now);
            if (tap != null) {
                tap.view(view, new View.Result(View.Verdict.APPLIED, delta, "saved"), false);
            }
            out.tell(EndpointListKind.SAVED, membership.all());
            savedVersion = view.version();
            journal.count("registry_list_restored");
            journal.log(
                    "registry-list-restored",
                    "engines",
                    Integer.toString(view.size()),
                    "age_s",
                    Long.toString(kept.age() / 1_000_000),
                    "history",
                    kept.at().history(),
                    "position",
                    Long.toString(kept.at().number()));
        } catch (IOException | RuntimeException e) {
            journal.count("registry_list_refused");
            journal.log(
                    "registry-list-refused-failed",
                    "file",
                    options.listFile().toString(),
                    "why",
                    String.valueOf(e.getMessage()));
        }
    }

    /** At most one list waits for the disk; the actor never does. */
    private void save() {
        if (options.listFile() == null
                || !known
                || savedVersion == view.version()
                || now < lastSaved + options.listEvery()) {
            return;
        }
        lastSaved = now;
        savedVersion = view.version();
        List<EndpointEntry> list = view.entries();
        View.Position at = view.position();
        java.nio.file.Path file = options.listFile();
        disk.poll();
        disk.post(() -> {
            try {
                new LastList(file, entries).write(list, at, System.currentTimeMillis());
                journal.count("registry_list_writes");
            } catch (IOException | RuntimeException e) {
                journal.count("registry_list_write_failures");
                journal.log("registry-list-write-failed", "file", file.toString(), "why", e.toString());
            }
        });
    }

    private void writeLists() {
        try {
            while (true) {
                disk.take(Long.MAX_VALUE).run();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
