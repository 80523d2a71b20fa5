package magpiehub.store;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentSkipListMap;
import magpiehub.concurrent.Mailbox;
import magpiehub.concurrent.MonotonicClock;
import magpiehub.config.ConfigurationException;
import magpiehub.config.ConfigurationObject;
import magpiehub.config.HostPort;
import magpiehub.config.Json;
import magpiehub.telemetry.EventLog;

/**
 * A replica of the store in memory: a map whose every entry has a stamp, a count and the name of the replica
 * that wrote it. Of two writes the one with the higher stamp stays, wherever and in whatever order they
 * arrive, so replicas that have heard the same writes hold the same map. Each replica dials each other one
 * and tells it everything, then each change; a link that broke is dialled again and told everything again.
 * It owns the stamps. It must never take a write back, or let a peer that does not read hold up another. It
 * writes nothing to disk: what it holds lives as long as one replica does. It promises no order between keys
 * and no agreement: of two writes at once, one is lost everywhere.
 */
public final class LastWriteWinsStore implements KeyValueStore {
    private static final long REDIAL = 500_000;
    private static final int CONNECT_TIMEOUT_MS = 1000;
    private static final int MAILBOX_BYTES = 4 << 20;
    private static final int MOST_LINE = 256 * 1024;

    /** A written value, null once removed: a removal is kept, or an older write would bring the key back. */
    private record Entry(String value, long count, String by) {
        boolean after(Entry other) {
            return other == null || count > other.count || (count == other.count && by.compareTo(other.by) > 0);
        }
    }

    /** A line for one peer; its thread alone writes to its socket. */
    private final class Link {
        final String peer;
        /** Null while there is no link: the next one begins with everything. */
        private volatile Mailbox<byte[]> lines;

        private volatile Socket socket;

        Link(String peer) {
            this.peer = peer;
        }

        void run() {
            while (!closed) {
                try (Socket s = new Socket()) {
                    socket = s;
                    s.setTcpNoDelay(true);
                    s.connect(HostPort.toSocketAddress(peer), CONNECT_TIMEOUT_MS);
                    // A new mailbox before the map is read: a change from now on is in one or the other.
                    Mailbox<byte[]> fresh = new Mailbox<>(clock, MAILBOX_BYTES);
                    lines = fresh;
                    for (Map.Entry<String, Entry> e : map.entrySet()) {
                        s.getOutputStream().write(line(e.getKey(), e.getValue()));
                    }
                    Mailbox.thread("store-watch", () -> watchEnd(s, fresh)).start();
                    journal.count("store_links");
                    byte[] l = fresh.take(Long.MAX_VALUE);
                    for (; l.length > 0; l = fresh.take(Long.MAX_VALUE)) {
                        s.getOutputStream().write(l);
                    }
                } catch (IOException | OutOfMemoryError e) {
                    journal.count("store_link_failures");
                } catch (InterruptedException e) {
                    return;
                } finally {
                    lines = null; // A change told now must not end the next link while it is being opened.
                }
                try {
                    new Mailbox<byte[]>(clock, 0).take(clock.micros() + REDIAL);
                } catch (InterruptedException e) {
                    return;
                }
            }
        }

        /** Nothing is ever read from a peer on this link but its end, which the writer would not notice. */
        private void watchEnd(Socket s, Mailbox<byte[]> of) {
            try {
                s.getInputStream().read();
            } catch (IOException e) {
                // The end, either way.
            }
            of.post(new byte[0]);
            of.close();
            end(s);
        }

        void tell(byte[] line) {
            Mailbox<byte[]> to = lines;
            if (to != null && !to.post(line, line.length)) {
                end(socket); // The peer does not read: it is told everything on the next link.
            }
        }
    }

    private final String name;
    private final MonotonicClock clock;
    private final EventLog journal;
    private final ServerSocket server = new ServerSocket();
    private final Map<String, Entry> map = new ConcurrentSkipListMap<>();
    private final List<Link> links = new ArrayList<>();
    private final java.util.Set<Socket> accepted = ConcurrentHashMap.newKeySet();
    private final Thread accepting;
    private long count;
    private volatile boolean closed;

    /** A replica of a name of its own that listens at an address and knows its peers' addresses. */
    public LastWriteWinsStore(String name, InetSocketAddress listen, MonotonicClock clock, EventLog journal)
            throws IOException {
        this.name = name;
        this.clock = clock;
        this.journal = journal;
        server.setReuseAddress(true);
        server.bind(listen);
        accepting = Mailbox.thread("store-accept", this::accept);
        accepting.start();
    }

    public int port() {
        return server.getLocalPort();
    }

    /** A replica as a file of the deployment's describes it; null if there is none, and then the store is
     * off. */
    public static LastWriteWinsStore read(Path file, String name, MonotonicClock clock, EventLog journal)
            throws IOException {
        if (!Files.exists(file)) {
            return null;
        }
        ConfigurationObject f = ConfigurationObject.parse(
                Files.readAllBytes(file), file.getFileName().toString());
        String listen = f.text("listen", null);
        if (listen == null) {
            throw new ConfigurationException(file.getFileName() + " gives no address in \"listen\"");
        }
        LastWriteWinsStore s =
                new LastWriteWinsStore(name, HostPort.toSocketAddress(HostPort.requireValid(listen)), clock, journal);
        f.texts("peers").forEach(s::join);
        return s;
    }

    /** Starts telling a peer. */
    public void join(String peer) {
        Link l = new Link(HostPort.requireValid(peer));
        synchronized (this) {
            links.add(l);
        }
        Mailbox.thread("store-link", l::run).start();
    }

    @Override
    public String get(String key) {
        Entry e = map.get(key);
        return e == null ? null : e.value;
    }

    @Override
    public Map<String, String> under(String beginning) {
        Map<String, String> r = new java.util.TreeMap<>();
        map.forEach((k, e) -> {
            if (k.startsWith(beginning) && e.value != null) {
                r.put(k, e.value);
            }
        });
        return r;
    }

    @Override
    public synchronized void put(String key, String value) {
        merge(key, new Entry(value, count + 1, name));
    }

    /** Takes a write over if it is the newer one, and tells it on: links may be missing between others. */
    private synchronized void merge(String key, Entry e) {
        count = Math.max(count, e.count);
        if (e.after(map.get(key))) {
            map.put(key, e);
            byte[] line = line(key, e);
            links.forEach(l -> l.tell(line));
        }
    }

    private static byte[] line(String key, Entry e) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try (JsonGenerator g = Json.FACTORY.createGenerator(out)) {
            g.writeStartObject();
            g.writeStringField("key", key);
            if (e.value != null) {
                g.writeStringField("value", e.value);
            }
            g.writeStringField("count", Long.toString(e.count));
            g.writeStringField("by", e.by);
            g.writeEndObject();
        } catch (IOException x) {
            throw new IllegalStateException(x);
        }
        out.write('\n');
        return out.toByteArray();
    }

    private void accept() {
        while (!closed) {
            try {
                Socket s = server.accept();
                accepted.add(s);
                s.setTcpNoDelay(true);
                Mailbox.thread("store-reader", () -> read(s)).start();
            } catch (IOException | OutOfMemoryError e) {
                journal.count("store_link_failures");
            }
        }
    }

    private void read(Socket s) {
        try (s) {
            InputStream in = new BufferedInputStream(s.getInputStream(), 4096);
            ByteArrayOutputStream line = new ByteArrayOutputStream();
            for (int b = in.read(); b >= 0; b = in.read()) {
                if (b != '\n') {
                    line.write(b);
                    if (line.size() > MOST_LINE) {
                        throw new IOException("line too long");
                    }
                    continue;
                }
                ConfigurationObject f = ConfigurationObject.parse(line.toByteArray(), "store");
                line.reset();
                String key = f.text("key", null);
                String by = f.text("by", null);
                if (key == null) {
                    throw new IOException("malformed line");
                }
                if (by == null) {
                    put(key, f.text("value", null)); // An operator's write: it gets its stamp here.
                    continue;
                }
                merge(key, new Entry(f.text("value", null), Long.parseLong(f.text("count", "")), by));
            }
        } catch (IOException | RuntimeException | OutOfMemoryError e) {
            journal.count("store_link_failures");
        } finally {
            accepted.remove(s);
        }
    }

    private static void end(Socket s) {
        try {
            s.close();
        } catch (IOException e) {
            // Closed is closed.
        }
    }

    /** Ends this replica; the others keep what it wrote. */
    @Override
    public void close() {
        closed = true;
        try {
            server.close();
            // The port is free only once the thread that waits on it has left the kernel.
            accepting.join();
        } catch (IOException e) {
            // Closed is closed.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        accepted.forEach(LastWriteWinsStore::end);
        synchronized (this) {
            for (Link l : links) {
                Mailbox<byte[]> to = l.lines;
                if (to != null) {
                    to.post(new byte[0]);
                    to.close();
                }
                if (l.socket != null) {
                    end(l.socket);
                }
            }
        }
    }
}
