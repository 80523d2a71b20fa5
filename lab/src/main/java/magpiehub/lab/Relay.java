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
 * What lies between any two processes of the rig: a listener that hands each connection on to one address,
 * over a path whose faults it obeys. A path that is cut says nothing: what was sent waits on it, ends and
 * resets too, and a new connection's first packet is dropped. It owns the connections over a path and what
 * can be seen of requests on them. It must never change a byte, nor end a connection that neither side ended
 * unless the path is to be reset.
 */
final class Relay implements AutoCloseable {
    /** Bytes that wait in one direction of a connection, as the buffers of a machine would hold them. */
    private static final int ROOM = 512 * 1024;

    private static final int BACKLOG = 512;
    private static final int READ = 16 * 1024;
    /** How often a direction that holds something back looks at its path again (us). */
    private static final long LOOK = 10_000;
    /** How often an ended process is tried again (us). */
    private static final long KNOCK = 20_000;

    /** The path between two places for one kind of connection, in the direction of opening ("forth") and
     *  back. All of its relays obey it. */
    static final class Path {
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
        /** When a fault last began and last ended on it (us): what is judged looks at it. */
        private long faultSince = Long.MAX_VALUE;

        private long faultUntil = Long.MIN_VALUE;

        Path(String name, int from, int to, long delayUs, long jitterUs, long seed) {
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

        /** Whether a connection's first packet, or the answer to it, is lost. */
        synchronized boolean drops() {
            return cut[0] || cut[1];
        }

        /** Whether something was wrong with it at any time since. */
        synchronized boolean faulted(long since) {
            return faultSince != Long.MAX_VALUE || faultUntil >= since;
        }

        synchronized long bytesPerS() {
            return bytesPerS;
        }

        private void wrong(boolean now) {
            if (now && faultSince == Long.MAX_VALUE) {
                faultSince = EngineSite.micros();
            } else if (!now) {
                faultSince = Long.MAX_VALUE;
                faultUntil = EngineSite.micros();
            }
        }

        /** Nothing passes in these directions, and nobody is told. */
        void cut(boolean forth, boolean back) throws IOException {
            synchronized (this) {
                cut[0] = forth;
                cut[1] = back;
                wrong(true);
            }
            // The first packet of a connection has to go one way, and its answer the other.
            for (Relay r : all()) {
                r.apply();
            }
        }

        /** Connections come up, and nothing is ever heard on them. */
        synchronized void blackHole() {
            blackHole = true;
            wrong(true);
        }

        /** Takes so much longer, and carries so many bytes a second (0: any number). */
        synchronized void slow(long delay, long jitter, long bytes) {
            delayUs = delay;
            jitterUs = jitter;
            bytesPerS = bytes;
            wrong(true);
        }

        /** Ends all connections over it at once; new ones come up. */
        void reset() {
            for (Relay r : all()) {
                r.resetAll();
            }
            synchronized (this) {
                faultUntil = EngineSite.micros();
            }
        }

        /** As it was made. */
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

    /** What is seen of requests on a relay to an engine, at the router's end of it. */
    interface Watch {
        /** A request's first byte was written. */
        void began(String call, long at);

        /** It is over: answered, or either side has ended it. */
        void over(String call, long at);
    }

    private final Path path;
    private final InetSocketAddress at;
    private final InetSocketAddress to;
    private final Watch watch;
    private final Set<Link> links = new HashSet<>();
    private ServerSocket server;
    private Thread acceptor;
    private Door door;
    private boolean down;
    private boolean closed;
    /** Connections of its own that fill the listener's queue while the path is cut. */
    private final List<Socket> fillers = new ArrayList<>();

    /** Listens at once; {@code watch} may be null. */
    Relay(Path path, InetSocketAddress at, InetSocketAddress to, Watch watch) throws IOException {
        this.path = path;
        this.at = at;
        this.to = to;
        this.watch = watch;
        synchronized (path) {
            path.relays.add(this);
        }
        apply();
    }

    /** How a relay meets whoever opens a connection: takes it, drops its first packet, or refuses it. */
    private enum Door {
        OPEN,
        DROPS,
        REFUSES
    }

    /** Stands as the path and the process behind it say. */
    private synchronized void apply() throws IOException {
        Door now = closed || (down && !path.drops()) ? Door.REFUSES : path.drops() ? Door.DROPS : Door.OPEN;
        if (now == door) {
            return;
        }
        door = now;
        if (server != null) {
            server.close();
            join(acceptor); // Until it has left the listener, the kernel keeps the address.
        }
        for (Socket s : fillers) {
            s.close();
        }
        fillers.clear();
        if (now == Door.REFUSES) {
            return;
        }
        ServerSocket fresh = new ServerSocket();
        fresh.setReuseAddress(true);
        fresh.bind(at, now == Door.OPEN ? BACKLOG : 1);
        server = fresh;
        if (now == Door.OPEN) {
            acceptor = DaemonThreads.newThread("relay-" + path.name, () -> accept(fresh));
            acceptor.start();
            return;
        }
        acceptor = null;
        // The kernel drops first packets while the queue of a listener is full: it holds one more than asked.
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

    /** The process behind it has ended: connections are refused until it takes one again. */
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
                        EngineSite.sleep(KNOCK);
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
                Link l = new Link(s);
                synchronized (links) {
                    links.add(l);
                }
                l.start();
            } catch (IOException e) {
                return; // It is cut, or over.
            }
        }
    }

    private void resetAll() {
        List<Link> all;
        synchronized (links) {
            all = List.copyOf(links);
        }
        all.forEach(Link::reset);
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

    /** One connection: the side that opened it, and the one it goes on to. */
    private final class Link {
        final Socket opener;
        private final Socket target = new Socket();
        private Requests seen;
        private int ended;

        Link(Socket opener) {
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
                seen = watch == null ? null : new Requests(watch);
            } catch (IOException e) {
                reset(); // Nobody is there, and the path tells so.
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
                seen.end(EngineSite.micros());
            }
        }

        /** One direction: what is read waits for its time, in order, and for the path. */
        private void pump(int direction, Socket from, Socket into) {
            ArrayDeque<Piece> waiting = new ArrayDeque<>();
            int held = 0;
            long freeAt = 0;
            boolean over = false;
            byte[] buf = new byte[READ];
            try {
                InputStream in = from.getInputStream();
                while (true) {
                    long now = EngineSite.micros();
                    Piece head = waiting.peekFirst();
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
                        EngineSite.sleep(wait);
                        continue;
                    }
                    Piece p = read(in, from, buf, wait, direction);
                    if (p != null) {
                        waiting.addLast(p);
                        over = p.bytes == null;
                        held += over ? 0 : p.bytes.length;
                    }
                }
            } catch (IOException e) {
                reset(); // Who reads has gone: the other side is told, as the network would.
            }
        }

        /** Null if nothing came in this time. */
        private Piece read(InputStream in, Socket from, byte[] buf, long wait, int direction) throws IOException {
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
            long now = EngineSite.micros();
            if (direction == 0 && seen != null) {
                if (n > 0) {
                    seen.request(buf, n, now);
                } else {
                    seen.end(now);
                }
            }
            return new Piece(now + path.delay(), n > 0 ? java.util.Arrays.copyOf(buf, n) : null, reset);
        }

        /** One side has ended its sending, or the connection. */
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

    private record Piece(long due, byte[] bytes, boolean reset) {}

    /** Ends a connection with a reset. */
    static void abort(Socket s) {
        try {
            s.setSoLinger(true, 0);
        } catch (IOException e) {
            // It is closed already.
        }
        try {
            s.close();
        } catch (IOException e) {
            return;
        }
    }

    /** The request that is out on one connection, by what passes: a connection carries one at a time. */
    static final class Requests {
        private final Watch watch;
        private String out;
        private final StringBuilder head = new StringBuilder();
        private long length;
        /** Bytes of the chunk in hand that are to come, with its line end; the line in hand; whether the last
         *  chunk's size has come. Chunks are counted: what one holds may look like the last. */
        private long left;

        private final StringBuilder line = new StringBuilder();
        private boolean last;

        Requests(Watch watch) {
            this.watch = watch;
        }

        synchronized void request(byte[] b, int n, long at) {
            if (out != null) {
                return; // The rest of its body.
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

        /** A line between chunks; true if the answer has ended with it. */
        private boolean line(String text) {
            line.setLength(0);
            if (last) {
                return text.isEmpty(); // Else a trailer.
            }
            try {
                long size = Long.parseLong(text.split(";", 2)[0].strip(), 16);
                last = size == 0;
                left = size == 0 ? 0 : size + 2;
            } catch (NumberFormatException e) {
                left = Long.MAX_VALUE; // No chunk: what follows can't be read; it ends with its connection.
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
