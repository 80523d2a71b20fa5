package magpiehub.registry;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import magpiehub.config.Config;
import magpiehub.core.Contract.ListKind;
import magpiehub.core.Contract.State;
import magpiehub.core.Mailbox;
import magpiehub.core.ModuleActor;
import magpiehub.net.Clients;
import magpiehub.net.Engines;
import magpiehub.net.Http;

/**
 * The platform's discovery: it asks when the module says so, one watch and one call at a time, and hands what
 * comes to a {@link View}, which keeps the order of revisions. It owns the address that it asks. It must
 * never ask again by itself (the module backs off) but for the one watch that opens a new address, take
 * silence for peace, apply lists of two watches, or doubt the list: here it counts as it stands.
 */
public final class Discovery implements Source {
    /** Discovery writes at least an empty line each 2 s: after this long the watch has failed (us). What it
     *  had to tell counts as told 6 s later, so a watch that has died unseen is to end before. */
    private static final long SILENCE = 4_500_000;
    /** Discovery serves calls in turn and gives up on those that wait too long; so does this side (us). */
    private static final long PATIENCE = 5_000_000;
    private static final int CONNECT_TIMEOUT_MS = 1000;
    private static final int MAILBOX_BYTES = 8 << 20;

    private record Ask(boolean watch) {
    }

    private record Unwatch() {
    }

    private record Move(String address) {
    }

    private record Line(Call from, byte[] bytes) {
    }

    private record Ended(Call from, String why) {
    }

    /** One call under way. */
    private static final class Call {
        final boolean watch;
        final String address;
        final Socket socket = new Socket();
        boolean first = true;
        long until;

        Call(boolean watch, String address) {
            this.watch = watch;
            this.address = address;
        }
    }

    private String address;
    private final Entries names;
    private final Engines engines;
    private final Mailbox.Clock clock;
    private final ModuleActor.Journal journal;
    private final Mailbox<Object> mailbox;
    private final View view = new View();
    private final Told told = new Told();
    private ModuleActor module;
    private Call watch;
    /** The watch on the address before: it counts until the one on the new address has told its first. */
    private Call former;
    private Call fetch;
    private volatile boolean known;

    /** An actor for discovery at an address. */
    public Discovery(String address, Supplier<Config.Site> site, Engines engines, Mailbox.Clock clock,
            ModuleActor.Journal journal) {
        this.address = address;
        this.names = Entries.platform(site, clock.micros());
        this.engines = engines;
        this.clock = clock;
        this.journal = journal;
        this.mailbox = new Mailbox<>(clock, MAILBOX_BYTES);
    }

    @Override
    public void start(ModuleActor actor, byte[] saved) {
        module = actor;
        if (saved != null) {
            try {
                apply(saved, true, true);
            } catch (IOException | Config.Malformed e) {
                journal.log("known-list-unreadable", "error", e.getMessage());
            }
        }
        Mailbox.thread("discovery", this::run).start();
    }

    @Override
    public boolean known() {
        return known;
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
            long until = Math.min(Math.min(watch == null ? Long.MAX_VALUE : watch.until,
                    former == null ? Long.MAX_VALUE : former.until),
                    fetch == null ? Long.MAX_VALUE : fetch.until);
            Object m = mailbox.take(until);
            long now = clock.micros();
            if (m instanceof Ask a) {
                ask(a.watch, now);
            } else if (m instanceof Unwatch) {
                Call c = watch;
                watch = null;
                close(c);
                close(former);
                former = null;
            } else if (m instanceof Move to) {
                move(to.address, now);
            } else if (m instanceof Maintain o) {
                o.carry(told, engines, module);
            } else if (m instanceof Line l
                    && (l.from == watch || l.from == former || l.from == fetch)) {
                line(l, now);
            } else if (m instanceof Ended e
                    && (e.from == watch || e.from == former || e.from == fetch)) {
                ended(e.from, e.why);
            } else if (m == null) {
                for (Call c : new Call[] {watch, former, fetch}) {
                    if (c != null && c.until <= now) {
                        ended(c, "silent");
                    }
                }
            }
        } catch (RuntimeException | OutOfMemoryError e) {
            // Ends what was being done; a call that came to nothing by it ends as silent.
            journal.count("discovery_exceptions");
            journal.log("discovery-exception", "error", e.toString());
        }
    }

    /** Guards against a gap: the watch on the old address goes on until the new one has spoken. The new
     *  address is asked at once, since the old one's end would come too late, and for the whole list. */
    private void move(String to, long now) {
        if (to.equals(address)) {
            return;
        }
        journal.count("discovery_moves");
        journal.log("discovery-moved", "from", address, "to", to);
        address = to;
        if (former == null && watch != null && !watch.first) {
            former = watch;
            watch = null;
        }
        ask(true, now);
    }

    private void ask(boolean forWatch, long now) {
        // One of a kind at a time: a second watch would be another call in discovery's queue.
        close(forWatch ? watch : fetch);
        Call c = new Call(forWatch, address);
        c.until = now + PATIENCE;
        if (forWatch) {
            watch = c;
        } else {
            fetch = c;
        }
        journal.count("discovery_calls");
        String target = "/discovery/hosts" + (!forWatch ? ""
                : "?follow=1" + (view.position().number() >= 0 && former == null
                        ? "&since=" + view.position().number() : ""));
        Mailbox.thread("discovery-reader", () -> read(c, target)).start();
    }

    private void line(Line l, long now) {
        l.from.until = now + SILENCE;
        if (l.from == watch && former != null) {
            close(former);
            former = null;
        }
        try {
            if (l.bytes.length > 0 && !new String(l.bytes, StandardCharsets.UTF_8).isBlank()) {
                apply(l.bytes, l.from.first, false);
                l.from.first = false;
            } else if (l.from.first) {
                // A heartbeat alone says that nothing has changed since the revision asked from.
                l.from.first = false;
                tell(ListKind.CHANGES, List.of());
            }
        } catch (IOException | Config.Malformed e) {
            journal.log("list-unreadable", "error", e.getMessage());
            ended(l.from, "unreadable");
            return;
        }
        if (!l.from.watch && !l.from.first) {
            close(fetch);
            fetch = null;
        }
    }

    private void ended(Call c, String why) {
        close(c);
        if (c == former) {
            former = null; // Its address has closed it; the watch on the new one is under way or asked for.
            return;
        }
        if (c == watch) {
            watch = null;
        } else {
            fetch = null;
        }
        journal.count("discovery_failures");
        journal.log("discovery-failed", "call", c.watch ? "watch" : "list", "why", why);
        module.list(ListKind.ERROR, List.of());
    }

    private void tell(ListKind kind, List<Config.Entry> entries) {
        // The list of the configuration is enough to serve with: when all routers start together, discovery
        // takes seconds to tell them all, and their clients would wait for it.
        known |= kind != ListKind.SAVED
                || entries.stream().anyMatch(e -> e.server().state() == State.LIVE);
        Source.tell(kind, told.source(kind, entries), engines, module);
    }

    /** Takes a list or a change over, unless a newer one has been. */
    private void apply(byte[] json, boolean first, boolean saved) throws IOException {
        long number = -1;
        boolean complete = saved;
        List<Config.Entry> entries = List.of();
        try (JsonParser p = Config.JSON.createParser(json)) {
            if (p.nextToken() != JsonToken.START_OBJECT) {
                throw new Config.Malformed("must be an object");
            }
            while (p.nextToken() == JsonToken.FIELD_NAME) {
                String name = p.currentName();
                p.nextToken();
                switch (name) {
                    case "revision" -> number = (long) Config.number(p, name);
                    case "complete" -> complete = p.getValueAsBoolean(false);
                    case "members" -> entries = Config.entries(p, names);
                    default -> p.skipChildren();
                }
            }
        }
        View.Position to = new View.Position("", 0, number);
        List<View.Item> items = new ArrayList<>(entries.size());
        for (Config.Entry e : entries) {
            items.add(e.server().state() == State.DEAD ? View.Item.removed(e.server().id(), 0)
                    : View.Item.of(e.server().id(), 0, e));
        }
        if (saved) {
            view.saved(items, to);
            tell(ListKind.SAVED, view.entries());
            return;
        }
        // A whole list that opens a watch is taken as it is: discovery may have begun its count anew.
        View.Result r = complete ? view.whole(to, null, items, first) : view.changes(to, items);
        if (r.verdict() != View.Verdict.APPLIED) {
            journal.count("old_revisions");
            return;
        }
        if (complete) {
            tell(ListKind.COMPLETE, view.entries());
        } else {
            List<Config.Entry> changed = new ArrayList<>(r.delta().put());
            r.delta().gone().forEach(id -> changed.add(Source.gone(id)));
            tell(ListKind.CHANGES, changed);
        }
        journal.log("list", "revision", Long.toString(number), "complete", Boolean.toString(complete),
                "entries", Integer.toString(entries.size()));
    }

    private static void close(Call c) {
        if (c != null) {
            Clients.closeQuietly(c.socket);
        }
    }

    // ---- The reader -----------------------------------------------------------------------------------
    private void read(Call c, String target) {
        String why = "ended";
        try (Socket s = c.socket) {
            s.setTcpNoDelay(true);
            s.connect(Config.socketAddress(c.address), CONNECT_TIMEOUT_MS);
            s.getOutputStream().write(("GET " + target + " HTTP/1.1\r\nHost: " + c.address
                    + "\r\n\r\n")
                    .getBytes(StandardCharsets.US_ASCII));
            Http.Input in = new Http.Input(s.getInputStream(), clock::micros);
            if (in.await()) {
                Http.Head h = in.head(false);
                if (h.status() == 200) {
                    in.lines(h, line -> post(c, line));
                } else {
                    why = "status " + h.status();
                }
            }
        } catch (IOException | InterruptedException | RuntimeException | OutOfMemoryError e) {
            why = e.toString();
        }
        mailbox.post(new Ended(c, why));
    }

    private void post(Call c, byte[] line) throws IOException {
        if (!mailbox.post(new Line(c, line), line.length)) {
            throw new IOException("mailbox full");
        }
    }
}
