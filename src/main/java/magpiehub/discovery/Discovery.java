package magpiehub.discovery;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.function.Supplier;
import magpiehub.concurrent.DaemonThreads;
import magpiehub.concurrent.Mailbox;
import magpiehub.concurrent.MonotonicClock;
import magpiehub.config.ConfigurationException;
import magpiehub.config.EndpointEntry;
import magpiehub.config.EndpointListParser;
import magpiehub.config.HostPort;
import magpiehub.config.Json;
import magpiehub.config.SiteSettings;
import magpiehub.dispatch.RequestDispatcher;
import magpiehub.http.Http;
import magpiehub.http.Sockets;
import magpiehub.routing.EndpointListKind;
import magpiehub.routing.EndpointState;
import magpiehub.telemetry.EventLog;
import magpiehub.upstream.UpstreamPool;

/**
 * The platform's discovery: it asks when the module says so, and hands what comes to a {@link View}, which
 * keeps the order of revisions. Which calls are under way is for {@link Watches} to say. It owns their
 * connections. It must never ask by itself, take silence for peace, or doubt the list: here it counts as it
 * stands. Lists are JSON values, however they are laid out and cut into chunks; blank lines between them are
 * signs of life.
 */
public final class Discovery implements EndpointSource {
    /** One list at most: the longest that the platform has is a hundredth of it (bytes). */
    private static final int MOST_VALUE = 4 << 20;
    /** Causes of unreadable lists that are logged, each once. */
    private static final int MOST_CAUSES = 32;

    private static final int CONNECT_TIMEOUT_MS = 1000;
    private static final int MAILBOX_BYTES = 8 << 20;

    private record Ask(boolean watch) {}

    private record Unwatch() {}

    private record Move(String address) {}

    /** A list or a change as it was read. */
    private record Word(long number, boolean complete, List<EndpointEntry> entries) {}

    /** What a call has brought; {@code word} is null for a sign of life. */
    private record Heard(Call from, Word word) {}

    private record Ended(Call from, String why, boolean unreadable) {}

    /** One call under way. */
    private static final class Call extends Watches.Call {
        final boolean watch;
        final Socket socket = new Socket();
        boolean first = true;
        /** Of a call for the list alone: when it has failed (us). */
        long until = Long.MAX_VALUE;

        Call(boolean watch, String address) {
            super(address);
            this.watch = watch;
        }
    }

    private final Entries names;
    private final UpstreamPool engines;
    private final MonotonicClock clock;
    private final EventLog journal;
    private final Mailbox<Object> mailbox;
    private final Supplier<SiteSettings> site;
    private final Set<String> unreadable = new HashSet<>();
    private final View view = new View();
    private final Told told = new Told();
    private final Watches watches;
    private final Executor readers;
    private RequestDispatcher module;
    private Call fetch;
    /** Whose numbers the view's position is one of. */
    private String toldBy;

    private volatile boolean known;
    /** Discovery has told a list since the start, or has failed to. */
    private volatile boolean heard;

    /** An actor for discovery at an address. */
    public Discovery(
            String address,
            Supplier<SiteSettings> site,
            UpstreamPool engines,
            MonotonicClock clock,
            EventLog journal,
            long seed) {
        this(address, site, engines, clock, journal, seed, read -> DaemonThreads.newThread("discovery-reader", read)
                .start());
    }

    /** The same with what begins to read each call's answer on a thread, or fails to have one. */
    Discovery(
            String address,
            Supplier<SiteSettings> site,
            UpstreamPool engines,
            MonotonicClock clock,
            EventLog journal,
            long seed,
            Executor readers) {
        this.watches = new Watches(address, new Carrier(), seed);
        this.toldBy = address;
        this.site = site;
        this.names = Entries.platform(site, clock.micros());
        this.engines = engines;
        this.clock = clock;
        this.journal = journal;
        this.mailbox = new Mailbox<>(clock, MAILBOX_BYTES);
        this.readers = readers;
    }

    @Override
    public void start(RequestDispatcher actor, byte[] saved) {
        module = actor;
        if (saved != null) {
            try (JsonParser p = Json.FACTORY.createParser(saved)) {
                p.nextToken();
                apply(word(p), true, true);
            } catch (IOException | ConfigurationException e) {
                journal.log("known-list-unreadable", "error", e.getMessage());
            }
        }
        DaemonThreads.newThread("discovery", this::run).start();
    }

    @Override
    public boolean known() {
        // Where lists are pushed, what the agent has counts as told from the first moment.
        return known && (heard || site.get().routing().subscribesToEndpoints());
    }

    @Override
    public void watch() {
        mailbox.post(new Ask(true));
    }

    @Override
    public void unwatch() {
        mailbox.post(new Unwatch());
    }

    @Override
    public void fetch() {
        mailbox.post(new Ask(false));
    }

    @Override
    public Told told() {
        return told;
    }

    @Override
    public void maintain(Set<String> out, Map<String, Long> back, Runnable done) {
        mailbox.post(new Maintain(out, back, done));
    }

    /** Discovery is at another address from now on. Any thread. */
    public void move(String to) {
        mailbox.post(new Move(to));
    }

    // ---- The actor ------------------------------------------------------------------------------------
    private void run() {
        try {
            while (true) {
                turn();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void turn() throws InterruptedException {
        try {
            Object m = mailbox.take(next());
            long now = clock.micros();
            if (m instanceof Ask a) {
                if (a.watch) {
                    watches.ask(now);
                } else {
                    fetch(now);
                }
            } else if (m instanceof Unwatch) {
                watches.end();
            } else if (m instanceof Move to) {
                String from = watches.address();
                if (watches.move(to.address, now)) {
                    journal.count("discovery_moves");
                    journal.log("discovery-moved", "from", from, "to", to.address);
                }
            } else if (m instanceof Maintain o) {
                o.carry(told, engines, module);
            } else if (m instanceof Heard h && counts(h.from)) {
                heard(h, now);
            } else if (m instanceof Ended e && counts(e.from)) {
                if (e.unreadable) {
                    journal.count("lists_unreadable");
                    if (unreadable.size() < MOST_CAUSES && unreadable.add(e.why)) {
                        journal.log("list-unreadable", "error", e.why);
                    }
                }
                ended(e.from, e.why);
            } else if (m == null) {
                if (fetch != null && fetch.until <= now) {
                    ended(fetch, "silent");
                }
                watches.tick(now);
            }
        } catch (RuntimeException | OutOfMemoryError e) {
            // Ends what was being done; a call that came to nothing by it ends as silent.
            journal.count("discovery_exceptions");
            journal.log("discovery-exception", "error", e.toString());
        }
    }

    /** When to look again, whatever comes. */
    private long next() {
        return Math.min(watches.next(), fetch == null ? Long.MAX_VALUE : fetch.until);
    }

    private boolean counts(Call c) {
        return c.watch ? watches.counts(c) : c == fetch;
    }

    /** The watches' calls. */
    private final class Carrier implements Watches.Host {
        @Override
        public Call begin(String to) {
            Call c = new Call(true, to);
            Discovery.this.begin(c);
            return c;
        }

        @Override
        public void close(Watches.Call c) {
            Sockets.closeQuietly(((Call) c).socket);
        }

        @Override
        public void late(Watches.Call c, boolean spoken) {
            // A discovery that does not answer is no reason to keep clients away from a list that is known.
            heard = true;
            journal.count(spoken ? "watches_silent" : "discovery_answers_late");
            journal.log(spoken ? "watch-silent" : "discovery-late", "discovery", c.address);
        }

        @Override
        public void failed(Watches.Call c, String why) {
            Discovery.this.failed("watch", why);
        }
    }

    private void fetch(long now) {
        // One at a time: a second one would be another call in discovery's queue.
        closeFetch();
        fetch = new Call(false, watches.address());
        fetch.until = now + Watches.PATIENCE;
        begin(fetch);
    }

    private void closeFetch() {
        if (fetch != null) {
            Sockets.closeQuietly(fetch.socket);
        }
        fetch = null;
    }

    private void begin(Call c) {
        journal.count("discovery_calls");
        String target = "/discovery/hosts"
                + (!c.watch
                        ? ""
                        : "?follow=1"
                                + (view.position().number() >= 0 && toldBy.equals(c.address)
                                        ? "&since=" + view.position().number()
                                        : ""));
        try {
            readers.execute(() -> read(c, target));
        } catch (OutOfMemoryError e) {
            // No thread is left. A failed call is followed by another in time, one unheard of is not.
            mailbox.post(new Ended(c, e.toString(), false));
        }
    }

    private void heard(Heard h, long now) {
        Call from = h.from;
        if (from.watch) {
            watches.spoke(from, now);
        }
        if (h.word == null) {
            journal.count("discovery_beats");
        }
        if (h.word != null) {
            toldBy = from.address;
            apply(h.word, from.first, false);
            from.first = false;
        } else if (from.first && from.watch) {
            // A heartbeat alone says that nothing has changed since the revision asked from.
            from.first = false;
            tell(EndpointListKind.CHANGES, List.of());
        }
        if (from.watch && h.word != null && watches.forsaken()) {
            // Its word counts, but the newer watch has failed: the module is to go on asking for one.
            module.updateEndpoints(EndpointListKind.ERROR, List.of());
        }
        if (!from.watch && !from.first) {
            closeFetch();
        }
    }

    private void ended(Call c, String why) {
        if (c.watch) {
            watches.ended(c, why);
        } else {
            closeFetch();
            failed("list", why);
        }
    }

    private void failed(String call, String why) {
        heard = true;
        journal.count("discovery_failures");
        journal.log("discovery-failed", "call", call, "why", why);
        module.updateEndpoints(EndpointListKind.ERROR, List.of());
    }

    private void tell(EndpointListKind kind, List<EndpointEntry> entries) {
        // The list of the configuration is enough to serve with: when all routers start together, discovery
        // takes seconds to tell them all, and their clients would wait for it.
        heard |= kind != EndpointListKind.SAVED;
        known |= kind != EndpointListKind.SAVED
                || entries.stream().anyMatch(e -> e.endpoint().state() == EndpointState.LIVE);
        EndpointSource.tell(kind, told.source(kind, entries), engines, module);
    }

    /** The list or change that the parser stands at the start of. Any thread. */
    private Word word(JsonParser p) throws IOException {
        if (p.currentToken() != JsonToken.START_OBJECT) {
            throw new ConfigurationException("must be an object");
        }
        long number = -1;
        boolean complete = false;
        List<EndpointEntry> entries = null;
        while (p.nextToken() == JsonToken.FIELD_NAME) {
            String name = p.currentName();
            p.nextToken();
            switch (name) {
                case "revision" -> number = (long) Json.requireNumber(p, name);
                case "complete" -> complete = p.getValueAsBoolean(false);
                case "members" -> entries = EndpointListParser.parse(p, names);
                default -> p.skipChildren();
            }
        }
        if (entries == null && complete) {
            // Guards against emptying the list in force by an answer that names no engines at all.
            throw new ConfigurationException("members is missing");
        }
        return new Word(number, complete, entries == null ? List.of() : entries);
    }

    /** Takes a list or a change over, unless a newer one has been. */
    private void apply(Word w, boolean first, boolean saved) {
        long number = w.number;
        boolean complete = w.complete || saved;
        List<EndpointEntry> entries = w.entries;
        View.Position to = new View.Position("", 0, number);
        List<View.Item> items = new ArrayList<>(entries.size());
        for (EndpointEntry e : entries) {
            items.add(
                    e.endpoint().state() == EndpointState.DEAD
                            ? View.Item.removed(e.endpoint().id(), 0)
                            : View.Item.of(e.endpoint().id(), 0, e));
        }
        if (saved) {
            view.saved(items, to);
            tell(EndpointListKind.SAVED, view.entries());
            return;
        }
        // A whole list that opens a watch is taken as it is: discovery may have begun its count anew.
        View.Result r = complete ? view.whole(to, null, items, first) : view.changes(to, items);
        if (r.verdict() != View.Verdict.APPLIED) {
            journal.count("old_revisions");
            return;
        }
        if (complete) {
            tell(EndpointListKind.COMPLETE, view.entries());
        } else {
            List<EndpointEntry> changed = new ArrayList<>(r.delta().put());
            r.delta().gone().forEach(id -> changed.add(EndpointSource.gone(id)));
            tell(EndpointListKind.CHANGES, changed);
        }
        journal.log(
                "list",
                "revision",
                Long.toString(number),
                "complete",
                Boolean.toString(complete),
                "entries",
                Integer.toString(entries.size()));
    }

    // ---- The reader -----------------------------------------------------------------------------------
    private void read(Call c, String target) {
        String why = "ended";
        boolean unreadable = false;
        try (Socket s = c.socket) {
            s.setTcpNoDelay(true);
            s.connect(HostPort.toSocketAddress(c.address), CONNECT_TIMEOUT_MS);
            s.getOutputStream()
                    .write(("GET " + target + " HTTP/1.1\r\nHost: " + c.address + "\r\n\r\n")
                            .getBytes(StandardCharsets.US_ASCII));
            Http.Input in = new Http.Input(s.getInputStream(), clock::micros);
            if (in.await()) {
                Http.Head h = in.head(false);
                if (h.status() == 200) {
                    words(c, in.content(h, Integer.MAX_VALUE));
                } else {
                    why = "status " + h.status();
                }
            }
        } catch (JsonProcessingException | ConfigurationException e) {
            why = e instanceof JsonProcessingException j ? j.getOriginalMessage() : e.getMessage();
            unreadable = true;
        } catch (IOException | RuntimeException | OutOfMemoryError e) {
            why = e.toString();
        }
        mailbox.post(new Ended(c, why, unreadable));
    }

    /** Posts one JSON value after another, and blank bytes between them as signs of life. */
    private void words(Call c, InputStream body) throws IOException {
        Values in = new Values(c, body);
        try (JsonParser p = Json.FACTORY.createParser(in)) {
            while (p.nextToken() != null) {
                in.inside = true;
                Word w = word(p);
                post(new Heard(c, w), in.size);
                in.inside = false;
                in.size = 0;
            }
        }
    }

    /** The bytes of a call's values as they come. */
    private final class Values extends FilterInputStream {
        private final Call call;
        private boolean inside;
        private int size;

        Values(Call call, InputStream in) {
            super(in);
            this.call = call;
        }

        @Override
        public int read(byte[] b, int from, int most) throws IOException {
            int n = super.read(b, from, most);
            boolean blank = n > 0;
            for (int i = from; blank && i < from + n; i++) {
                blank = b[i] <= ' ';
            }
            if (blank && !inside) {
                post(new Heard(call, null), n);
                return n;
            }
            size += Math.max(0, n);
            if (size > MOST_VALUE) {
                throw new ConfigurationException("a list of over " + MOST_VALUE + " bytes");
            }
            return n;
        }
    }

    private void post(Heard h, int bytes) throws IOException {
        if (!mailbox.post(h, bytes)) {
            throw new IOException("mailbox full");
        }
    }
}
