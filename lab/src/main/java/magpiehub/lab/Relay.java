package magpiehub.lab;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import magpiehub.concurrent.DaemonThreads;

/**
 * TCP relay between two processes that simulates network faults: forwards each connection to one address over a path,
 * subject to the path's faults. On a cut path everything sent is held back, including FIN and RST, and the SYN of a new
 * connection is dropped. Also observes the requests on its connections. Never changes a byte, and never closes a
 * connection that neither side closed, unless the path is reset.
 */
final class Relay implements AutoCloseable {
    /** Maximum number of bytes buffered per direction of a connection, comparable to kernel socket buffers. */
    private static final int ROOM = 512 * 1024;

    private static final int BACKLOG = 512;
    private static final int READ = 16 * 1024;
    /** Interval at which a direction with held data polls its path (us). */
    private static final long LOOK = 10_000;
    /** Interval of connection attempts to a process that has ended (us). */
    private static final long KNOCK = 20_000;

    /**
     * The network path between two sites for one kind of connection, shared by its relays. Direction 0 ("forth") is
     * that in which connections are opened, direction 1 ("back") the opposite one.
     */
    static final class NetworkPath {
        final String name;
        final int from;
        final int to;
        private final boolean[] cut = new boolean[2];
        private boolean blackHole;
        private long delayUs;
        private long jitterUs;
        private long bytesPerS;
        private final SplittableRandom random;
        private final Set<Relay> relays = new HashSet<>();
        /** Start of the current fault and end of the last one (us), used to excuse affected requests. */
        private long faultSince = Long.MAX_VALUE;

        private long faultUntil = Long.MIN_VALUE;

        NetworkPath(String name, int from, int to, long delayUs, long jitterUs, long seed) {
            this.name = name;
            this.from = from;
            this.to = to;
            this.delayUs = delayUs;
            this.jitterUs = jitterUs;
            this.random = new SplittableRandom(seed);
        }

        synchronized long delay() {
            return delayUs + (jitterUs == 0 ? 0 : random.nextLong(jitterUs + 1));
        }

        synchronized boolean cut(int direction) {
            return cut[direction] || blackHole;
        }

        /** Whether a connection's SYN, or the SYN-ACK, is lost. */
        synchronized boolean drops() {
            return cut[0] || cut[1];
        }

        /** Whether there has been a fault at any time since the given one (us). */
        synchronized boolean faulted(long since) {
            return faultSince != Long.MAX_VALUE || faultUntil >= since;
        }

        synchronized long bytesPerS() {
            return bytesPerS;
        }

        private void wrong(boolean now) {
            if (now && faultSince == Long.MAX_VALUE) {
                faultSince = EngineSiteProcess.nowMicros();
            } else if (!now) {
                faultSince = Long.MAX_VALUE;
                faultUntil = EngineSiteProcess.nowMicros();
            }
        }

        /** Stops all traffic in the given directions without notifying either side. */
        void cut(boolean forth, boolean back) throws IOException {
            synchronized (this) {
                cut[0] = forth;
                cut[1] = back;
                wrong(true);
            }
            // A handshake needs both directions, so that either cut prevents new connections.
            for (Relay r : all()) {
                r.apply();
            }
        }

        /** Accepts connections but delivers no data on them. */
        synchronized void blackHole() {
            blackHole = true;
            wrong(true);
        }

        /** Sets delay and jitter (us) and the bandwidth (bytes/s, 0 for unlimited). */
        synchronized void slow(long delay, long jitter, long bytes) {
            delayUs = delay;
            jitterUs = jitter;
            bytesPerS = bytes;
            wrong(true);
        }

        /** Resets all connections; new ones are accepted. */
        void reset() {
            for (Relay r : all()) {
                r.resetAll();
            }
            synchronized (this) {
                faultUntil = EngineSiteProcess.nowMicros();
            }
        }

        /** Removes all faults and sets the regular delay and jitter (us). */
        void heal(long delay, long jitter) throws IOException {
            synchronized (this) {
                cut[0] = false;
                cut[1] = false;
                blackHole = false;
                delayUs = delay;
                jitterUs = jitter;
                bytesPerS = 0;
                wrong(false);
            }
            for (Relay r : all()) {
                r.apply();
            }
        }

        private synchronized List<Relay> all() {
            return List.copyOf(relays);
        }
    }

    /** Observes the requests on a relay to an engine, at the router's end. */
    interface RequestObserver {
        /** A request's first byte was received from the router. */
        void began(String call, long at);

        /** The request has ended: the response is complete, or either side has closed the connection. */
        void over(String call, long at);
    }

    private final NetworkPath path;
    private final InetSocketAddress at;
    private final InetSocketAddress to;
    private final RequestObserver watch;
    private final Set<RelayedConnection> links = new HashSet<>();
    private ServerSocket server;
    private Thread acceptor;
    private ListenerState door;
    private boolean down;
    private boolean closed;
    /** The relay's own connections, which fill the listener's backlog while the path is cut. */
    private final List<Socket> fillers = new ArrayList<>();

    /** Creates a relay that listens immediately; {@code watch} may be null. */
    Relay(NetworkPath path, InetSocketAddress at, InetSocketAddress to, RequestObserver watch) throws IOException {
        this.path = path;
        this.at = at;
        this.to = to;
        this.watch = watch;
        synchronized (path) {
            path.relays.add(this);
        }
        apply();
    }

    /** How the listener treats new connections: accepts them, drops their SYN, or refuses them. */
    private enum ListenerState {
        OPEN,
        DROPS,
        REFUSES
    }

    /** Brings the listener into the state that the path and the target process require. */
    private synchronized void apply() throws IOException {
        ListenerState now = closed || (down && !path.drops())
                ? ListenerState.REFUSES
                : path.drops() ? ListenerState.DROPS : ListenerState.OPEN;
        if (now == door) {
            return;
        }
        door = now;
        if (server != null) {
            server.close();
            join(acceptor); // The kernel holds the address until the accepting thread has left the listener.
        }
        for (Socket s : fillers) {
            s.close();
        }
        fillers.clear();
        if (now == ListenerState.REFUSES) {
            return;
        }
        ServerSocket fresh = new ServerSocket();
        fresh.setReuseAddress(true);
        fresh.bind(at, now == ListenerState.OPEN ? BACKLOG : 1);
        server = fresh;
        if (now == ListenerState.OPEN) {
            acceptor = DaemonThreads.newThread("relay-" + path.name, () -> accept(fresh));
            acceptor.start();
            return;
        }
        acceptor = null;
        // The kernel drops SYNs while the accept queue is full; the queue holds one more than the requested backlog.
        for (int i = 0; i < 2; i++) {
            Socket s = new Socket();
            s.connect(at, 1_000);
            fillers.add(s);
        }
    }

    private static void join(Thread t) {
        try {
            if (t != null) {
                t.join();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Refuses connections, because the target process has ended, until the target accepts one again. */
    void down() throws IOException {
        synchronized (this) {
            if (down || closed) {
                return;
            }
            down = true;
            apply();
        }
        DaemonThreads.newThread("relay-knock", () -> {
                    while (true) {
                        EngineSiteProcess.sleep(KNOCK);
                        try (Socket s = new Socket()) {
                            s.connect(to, 1_000);
                        } catch (IOException e) {
                            synchronized (this) {
                                if (closed) {
                                    return;
                                }
                            }
                            continue;
                        }
                        try {
                            synchronized (this) {
                                down = false;
                                apply();
                            }
                        } catch (IOException e) {
                            throw new java.io.UncheckedIOException(e);
                        }
                        return;
                    }
                })
                .start();
    }

    private void accept(ServerSocket from) {
        while (true) {
            try {
                Socket s = from.accept();
                RelayedConnection l = new RelayedConnection(s);
                synchronized (links) {
                    links.add(l);
                }
                l.start();
            } catch (IOException e) {
                return; // The path is cut, or the relay is closed.
            }
        }
    }

    private void resetAll() {
        List<RelayedConnection> all;
        synchronized (links) {
            all = List.copyOf(links);
        }
        all.forEach(RelayedConnection::reset);
    }

    @Override
    public void close() throws IOException {
        synchronized (this) {
            closed = true;
            apply();
        }
        synchronized (path) {
            path.relays.remove(this);
        }
        resetAll();
    }

    /** One relayed connection: the client's socket and the one to the target. */
    private final class RelayedConnection {
        final Socket opener;
        private final Socket target = new Socket();
        private RequestTracker seen;
        private int ended;

        RelayedConnection(Socket opener) {
            this.opener = opener;
        }

        void start() {
            DaemonThreads.newThread("relay-forth", this::forth).start();
        }

        private void forth() {
            try {
                opener.setTcpNoDelay(true);
                target.setTcpNoDelay(true);
                target.connect(to, 2_000);
                seen = watch == null ? null : new RequestTracker(watch);
            } catch (IOException e) {
                reset(); // The target is not reachable; the client sees a reset.
                refuse();
                return;
            }
            DaemonThreads.newThread("relay-back", () -> pump(1, target, opener)).start();
            pump(0, opener, target);
        }

        private void refuse() {
            try {
                down();
            } catch (IOException e) {
                throw new java.io.UncheckedIOException(e);
            }
        }

        void reset() {
            abort(opener);
            abort(target);
            gone();
        }

        private void gone() {
            synchronized (links) {
                links.remove(this);
            }
            if (seen != null) {
                seen.end(EngineSiteProcess.nowMicros());
            }
        }

        /** Forwards one direction: data is delayed in order and held back while the path is cut. */
        private void pump(int direction, Socket from, Socket into) {
            ArrayDeque<Segment> waiting = new ArrayDeque<>();
            int held = 0;
            long freeAt = 0;
            boolean over = false;
            byte[] buf = new byte[READ];
            try {
                InputStream in = from.getInputStream();
                while (true) {
                    long now = EngineSiteProcess.nowMicros();
                    Segment head = waiting.peekFirst();
                    boolean open = head == null || !path.cut(direction);
                    if (head != null && open && head.due <= now && freeAt <= now) {
                        waiting.pollFirst();
                        if (head.bytes == null) {
                            finish(into, head.reset);
                            return;
                        }
                        held -= head.bytes.length;
                        if (direction == 1 && seen != null) {
                            seen.answer(head.bytes, now);
                        }
                        into.getOutputStream().write(head.bytes);
                        long rate = path.bytesPerS();
                        freeAt = rate == 0 ? 0 : now + head.bytes.length * 1_000_000L / rate;
                        continue;
                    }
                    long wait = head == null ? 0 : open ? Math.max(1, Math.max(head.due, freeAt) - now) : LOOK;
                    if (over || held >= ROOM) {
                        EngineSiteProcess.sleep(wait);
                        continue;
                    }
                    Segment p = read(in, from, buf, wait, direction);
                    if (p != null) {
                        waiting.addLast(p);
                        over = p.bytes == null;
                        held += over ? 0 : p.bytes.length;
                    }
                }
            } catch (IOException e) {
                reset(); // The receiver has closed; the sender sees a reset, as on a real network.
            }
        }

        /** Reads one piece of data; returns null if nothing arrived within the time. */
        private Segment read(InputStream in, Socket from, byte[] buf, long wait, int direction) throws IOException {
            int n;
            boolean reset = false;
            try {
                from.setSoTimeout((int) Math.min(Integer.MAX_VALUE, wait == 0 ? 0 : (wait + 999) / 1000));
                n = in.read(buf);
            } catch (SocketTimeoutException e) {
                return null;
            } catch (IOException e) {
                n = -1;
                reset = true;
            }
            long now = EngineSiteProcess.nowMicros();
            if (direction == 0 && seen != null) {
                if (n > 0) {
                    seen.request(buf, n, now);
                } else {
                    seen.end(now);
                }
            }
            return new Segment(now + path.delay(), n > 0 ? java.util.Arrays.copyOf(buf, n) : null, reset);
        }

        /** Forwards the end of one direction, or a reset. */
        private void finish(Socket into, boolean reset) throws IOException {
            if (reset) {
                reset();
                return;
            }
            into.shutdownOutput();
            boolean both;
            synchronized (this) {
                both = ++ended == 2;
            }
            if (both) {
                opener.close();
                target.close();
                gone();
            }
        }
    }

    private record Segment(long due, byte[] bytes, boolean reset) {}

    /** Ends a connection with a reset. */
    static void abort(Socket s) {
        try {
            s.setSoLinger(true, 0);
        } catch (IOException e) {
            // The socket is already closed.
        }
        try {
            s.close();
        } catch (IOException e) {
            return;
        }
    }

    /** Tracks the pending request of one connection from the bytes that pass; there is at most one at a time. */
    static final class RequestTracker {
        private final RequestObserver watch;
        private String out;
        private final StringBuilder head = new StringBuilder();
        private long length;
        /** Bytes left of the current chunk with its line break; chunks are parsed, as data may look like the end. */
        private long left;

        /** The current line between chunks, as far as it has arrived. */
        private final StringBuilder line = new StringBuilder();
        /** Whether the last chunk's size, 0, has been read. */
        private boolean last;

        RequestTracker(RequestObserver watch) {
            this.watch = watch;
        }

        synchronized void request(byte[] b, int n, long at) {
            if (out != null) {
                return; // The rest of the request's body.
            }
            String s = new String(b, 0, n, StandardCharsets.ISO_8859_1);
            int id =
                    s.startsWith("POST ") ? s.toLowerCase(java.util.Locale.ROOT).indexOf("x-call-id: ") : -1;
            if (id >= 0) {
                out = s.substring(id + 11, s.indexOf('\r', id)).strip();
                head.setLength(0);
                line.setLength(0);
                left = 0;
                last = false;
                length = 0;
                watch.began(out, at);
            }
        }

        synchronized void answer(byte[] b, long at) {
            if (out == null) {
                return;
            }
            int from = 0;
            if (head.indexOf("\r\n\r\n") < 0) {
                int before = head.length();
                head.append(new String(b, StandardCharsets.ISO_8859_1));
                int end = head.indexOf("\r\n\r\n");
                if (end < 0) {
                    return;
                }
                from = end + 4 - before;
                head.setLength(end + 4);
                int at2 = head.toString().toLowerCase(java.util.Locale.ROOT).indexOf("content-length:");
                length = at2 < 0
                        ? -1
                        : Long.parseLong(head.substring(at2 + 15, head.indexOf("\r", at2))
                                .strip());
            }
            if (length >= 0) {
                length -= b.length - from;
                if (length <= 0) {
                    end(at);
                }
                return;
            }
            for (int i = from; i < b.length; i++) {
                if (left > 0) {
                    int skipped = (int) Math.min(left, b.length - i);
                    left -= skipped;
                    i += skipped - 1;
                } else if (b[i] != '\n') {
                    line.append((char) (b[i] & 0xff));
                } else if (line(line.toString().strip())) {
                    end(at);
                    return;
                }
            }
        }

        /** Parses a line between chunks; returns true if it ends the response. */
        private boolean line(String text) {
            line.setLength(0);
            if (last) {
                return text.isEmpty(); // Any other line is a trailer.
            }
            try {
                long size = Long.parseLong(text.split(";", 2)[0].strip(), 16);
                last = size == 0;
                left = size == 0 ? 0 : size + 2;
            } catch (NumberFormatException e) {
                left = Long.MAX_VALUE; // Not a chunk size: the rest cannot be parsed, so that the request ends with its
                // connection.
            }
            return false;
        }

        synchronized void end(long at) {
            if (out != null) {
                String call = out;
                out = null;
                watch.over(call, at);
            }
        }
    }
}
