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
    private static final int MAX_BUFFERED_BYTES = 512 * 1024;

    private static final int LISTEN_BACKLOG = 512;
    private static final int READ_BUFFER_BYTES = 16 * 1024;
    /** Interval at which a direction with held data polls its path (us). */
    private static final long CUT_POLL_INTERVAL_MICROS = 10_000;
    /** Interval of connection attempts to a process that has ended (us). */
    private static final long RECONNECT_INTERVAL_MICROS = 20_000;

    /**
     * The network path between two sites for one kind of connection, shared by its relays. Direction 0 ("forth") is
     * that in which connections are opened, direction 1 ("back") the opposite one.
     */
    static final class NetworkPath {
        final String name;
        final int from;
        final int to;
        private final boolean[] isCut = new boolean[2];
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

        synchronized long nextDelayMicros() {
            return delayUs + (jitterUs == 0 ? 0 : random.nextLong(jitterUs + 1));
        }

        synchronized boolean isCut(int direction) {
            return isCut[direction] || blackHole;
        }

        /** Whether a connection's SYN, or the SYN-ACK, is lost. */
        synchronized boolean dropsSyn() {
            return isCut[0] || isCut[1];
        }

        /** Whether there has been a fault at any time since the given one (us). */
        synchronized boolean hasFaultSince(long since) {
            return faultSince != Long.MAX_VALUE || faultUntil >= since;
        }

        synchronized long bytesPerS() {
            return bytesPerS;
        }

        private void recordFault(boolean now) {
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
                isCut[0] = forth;
                isCut[1] = back;
                recordFault(true);
            }
            // A handshake needs both directions, so that either cut prevents new connections.
            for (Relay relay : currentRelays()) {
                relay.updateListener();
            }
        }

        /** Accepts connections but delivers no data on them. */
        synchronized void blackHole() {
            blackHole = true;
            recordFault(true);
        }

        /** Sets delay and jitter (us) and the bandwidth (bytes/s, 0 for unlimited). */
        synchronized void slow(long delay, long jitter, long bytes) {
            delayUs = delay;
            jitterUs = jitter;
            bytesPerS = bytes;
            recordFault(true);
        }

        /** Resets all connections; new ones are accepted. */
        void reset() {
            for (Relay relay : currentRelays()) {
                relay.resetAll();
            }
            synchronized (this) {
                faultUntil = EngineSiteProcess.nowMicros();
            }
        }

        /** Removes all faults and sets the regular delay and jitter (us). */
        void heal(long delay, long jitter) throws IOException {
            synchronized (this) {
                isCut[0] = false;
                isCut[1] = false;
                blackHole = false;
                delayUs = delay;
                jitterUs = jitter;
                bytesPerS = 0;
                recordFault(false);
            }
            for (Relay relay : currentRelays()) {
                relay.updateListener();
            }
        }

        private synchronized List<Relay> currentRelays() {
            return List.copyOf(relays);
        }
    }

    /** Observes the requests on a relay to an engine, at the router's end. */
    interface RequestObserver {
        /** A request's first byte was received from the router. */
        void onRequestStarted(String requestId, long atMicros);

        /** The request has ended: the response is complete, or either side has closed the connection. */
        void onRequestEnded(String requestId, long atMicros);
    }

    private final NetworkPath path;
    private final InetSocketAddress listenAddress;
    private final InetSocketAddress targetAddress;
    private final RequestObserver observer;
    private final Set<RelayedConnection> connections = new HashSet<>();
    private ServerSocket server;
    private Thread acceptor;
    private ListenerState state;
    private boolean targetDown;
    private boolean closed;
    /** The relay's own connections, which fill the listener's backlog while the path is cut. */
    private final List<Socket> fillers = new ArrayList<>();

    /** Creates a relay that listens immediately; {@code observer} may be null. */
    Relay(NetworkPath path, InetSocketAddress listenAddress, InetSocketAddress targetAddress, RequestObserver observer)
            throws IOException {
        this.path = path;
        this.listenAddress = listenAddress;
        this.targetAddress = targetAddress;
        this.observer = observer;
        synchronized (path) {
            path.relays.add(this);
        }
        updateListener();
    }

    /** How the listener treats new connections: accepts them, drops their SYN, or refuses them. */
    private enum ListenerState {
        ACCEPTING,
        DROPPING,
        REFUSING
    }

    /** Brings the listener into the state that the path and the target process require. */
    private synchronized void updateListener() throws IOException {
        ListenerState required = closed || (targetDown && !path.dropsSyn())
                ? ListenerState.REFUSING
                : path.dropsSyn() ? ListenerState.DROPPING : ListenerState.ACCEPTING;
        if (required == state) {
            return;
        }
        state = required;
        if (server != null) {
            server.close();
            join(acceptor); // The kernel holds the address until the accepting thread has left the listener.
        }
        for (Socket socket : fillers) {
            socket.close();
        }
        fillers.clear();
        if (required == ListenerState.REFUSING) {
            return;
        }
        ServerSocket newServer = new ServerSocket();
        newServer.setReuseAddress(true);
        newServer.bind(listenAddress, required == ListenerState.ACCEPTING ? LISTEN_BACKLOG : 1);
        server = newServer;
        if (required == ListenerState.ACCEPTING) {
            acceptor = DaemonThreads.newThread("relay-" + path.name, () -> accept(newServer));
            acceptor.start();
            return;
        }
        acceptor = null;
        // The kernel drops SYNs while the accept queue is full; the queue holds one more than the requested backlog.
        for (int i = 0; i < 2; i++) {
            Socket socket = new Socket();
            socket.connect(listenAddress, 1_000);
            fillers.add(socket);
        }
    }

    private static void join(Thread thread) {
        try {
            if (thread != null) {
                thread.join();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Refuses connections, because the target process has ended, until the target accepts one again. */
    void markTargetDown() throws IOException {
        synchronized (this) {
            if (targetDown || closed) {
                return;
            }
            targetDown = true;
            updateListener();
        }
        DaemonThreads.newThread("relay-reconnect", () -> {
                    while (true) {
                        EngineSiteProcess.sleep(RECONNECT_INTERVAL_MICROS);
                        try (Socket socket = new Socket()) {
                            socket.connect(targetAddress, 1_000);
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
                                targetDown = false;
                                updateListener();
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
                Socket socket = from.accept();
                RelayedConnection connection = new RelayedConnection(socket);
                synchronized (connections) {
                    connections.add(connection);
                }
                connection.start();
            } catch (IOException e) {
                return; // The path is cut, or the relay is closed.
            }
        }
    }

    private void resetAll() {
        List<RelayedConnection> all;
        synchronized (connections) {
            all = List.copyOf(connections);
        }
        all.forEach(RelayedConnection::reset);
    }

    @Override
    public void close() throws IOException {
        synchronized (this) {
            closed = true;
            updateListener();
        }
        synchronized (path) {
            path.relays.remove(this);
        }
        resetAll();
    }

    /** One relayed connection: the client's socket and the one to the target. */
    private final class RelayedConnection {
        final Socket client;
        private final Socket target = new Socket();
        private RequestTracker requests;
        private int endedDirections;

        RelayedConnection(Socket client) {
            this.client = client;
        }

        void start() {
            DaemonThreads.newThread("relay-forth", this::forwardRequests).start();
        }

        private void forwardRequests() {
            try {
                client.setTcpNoDelay(true);
                target.setTcpNoDelay(true);
                target.connect(targetAddress, 2_000);
                requests = observer == null ? null : new RequestTracker(observer);
            } catch (IOException e) {
                reset(); // The target is not reachable; the client sees a reset.
                refuseNewConnections();
                return;
            }
            DaemonThreads.newThread("relay-back", () -> forward(1, target, client))
                    .start();
            forward(0, client, target);
        }

        private void refuseNewConnections() {
            try {
                markTargetDown();
            } catch (IOException e) {
                throw new java.io.UncheckedIOException(e);
            }
        }

        void reset() {
            abort(client);
            abort(target);
            remove();
        }

        private void remove() {
            synchronized (connections) {
                connections.remove(this);
            }
            if (requests != null) {
                requests.end(EngineSiteProcess.nowMicros());
            }
        }

        /** Forwards one direction: data is delayed in order and held back while the path is cut. */
        private void forward(int direction, Socket source, Socket destination) {
            ArrayDeque<Segment> waiting = new ArrayDeque<>();
            int bufferedBytes = 0;
            long freeAt = 0;
            boolean sourceEnded = false;
            byte[] buffer = new byte[READ_BUFFER_BYTES];
            try {
                InputStream in = source.getInputStream();
                while (true) {
                    long now = EngineSiteProcess.nowMicros();
                    Segment head = waiting.peekFirst();
                    boolean open = head == null || !path.isCut(direction);
                    if (head != null && open && head.due <= now && freeAt <= now) {
                        waiting.pollFirst();
                        if (head.bytes == null) {
                            finish(destination, head.reset);
                            return;
                        }
                        bufferedBytes -= head.bytes.length;
                        if (direction == 1 && requests != null) {
                            requests.onResponseBytes(head.bytes, now);
                        }
                        destination.getOutputStream().write(head.bytes);
                        long rate = path.bytesPerS();
                        freeAt = rate == 0 ? 0 : now + head.bytes.length * 1_000_000L / rate;
                        continue;
                    }
                    long waitMicros = head == null
                            ? 0
                            : open ? Math.max(1, Math.max(head.due, freeAt) - now) : CUT_POLL_INTERVAL_MICROS;
                    if (sourceEnded || bufferedBytes >= MAX_BUFFERED_BYTES) {
                        EngineSiteProcess.sleep(waitMicros);
                        continue;
                    }
                    Segment segment = read(in, source, buffer, waitMicros, direction);
                    if (segment != null) {
                        waiting.addLast(segment);
                        sourceEnded = segment.bytes == null;
                        bufferedBytes += sourceEnded ? 0 : segment.bytes.length;
                    }
                }
            } catch (IOException e) {
                reset(); // The receiver has closed; the sender sees a reset, as on a real network.
            }
        }

        /** Reads one piece of data; returns null if nothing arrived within the time. */
        private Segment read(InputStream in, Socket source, byte[] buffer, long waitMicros, int direction)
                throws IOException {
            int n;
            boolean reset = false;
            try {
                source.setSoTimeout((int) Math.min(Integer.MAX_VALUE, waitMicros == 0 ? 0 : (waitMicros + 999) / 1000));
                n = in.read(buffer);
            } catch (SocketTimeoutException e) {
                return null;
            } catch (IOException e) {
                n = -1;
                reset = true;
            }
            long now = EngineSiteProcess.nowMicros();
            if (direction == 0 && requests != null) {
                if (n > 0) {
                    requests.onRequestBytes(buffer, n, now);
                } else {
                    requests.end(now);
                }
            }
            return new Segment(now + path.nextDelayMicros(), n > 0 ? java.util.Arrays.copyOf(buffer, n) : null, reset);
        }

        /** Forwards the end of one direction, or a reset. */
        private void finish(Socket destination, boolean reset) throws IOException {
            if (reset) {
                reset();
                return;
            }
            destination.shutdownOutput();
            boolean both;
            synchronized (this) {
                both = ++endedDirections == 2;
            }
            if (both) {
                client.close();
                target.close();
                remove();
            }
        }
    }

    private record Segment(long due, byte[] bytes, boolean reset) {}

    /** Ends a connection with a reset. */
    static void abort(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
        } catch (IOException e) {
            // The socket is already closed.
        }
        try {
            socket.close();
        } catch (IOException e) {
            return;
        }
    }

    /** Tracks the pending request of one connection from the bytes that pass; there is at most one at a time. */
    static final class RequestTracker {
        private final RequestObserver observer;
        private String pendingId;
        private final StringBuilder head = new StringBuilder();
        private long contentBytesLeft;
        /** Bytes left of the current chunk with its line break; chunks are parsed, as data may look like the end. */
        private long chunkBytesLeft;

        /** The current line between chunks, as far as it has arrived. */
        private final StringBuilder line = new StringBuilder();
        /** Whether the last chunk's size, 0, has been read. */
        private boolean sawLastChunk;

        RequestTracker(RequestObserver observer) {
            this.observer = observer;
        }

        synchronized void onRequestBytes(byte[] bytes, int length, long atMicros) {
            if (pendingId != null) {
                return; // The rest of the request's body.
            }
            String text = new String(bytes, 0, length, StandardCharsets.ISO_8859_1);
            int headerStart = text.startsWith("POST ")
                    ? text.toLowerCase(java.util.Locale.ROOT).indexOf("x-call-id: ")
                    : -1;
            if (headerStart >= 0) {
                pendingId = text.substring(headerStart + 11, text.indexOf('\r', headerStart))
                        .strip();
                head.setLength(0);
                line.setLength(0);
                chunkBytesLeft = 0;
                sawLastChunk = false;
                contentBytesLeft = 0;
                observer.onRequestStarted(pendingId, atMicros);
            }
        }

        synchronized void onResponseBytes(byte[] bytes, long atMicros) {
            if (pendingId == null) {
                return;
            }
            int from = 0;
            if (head.indexOf("\r\n\r\n") < 0) {
                int before = head.length();
                head.append(new String(bytes, StandardCharsets.ISO_8859_1));
                int end = head.indexOf("\r\n\r\n");
                if (end < 0) {
                    return;
                }
                from = end + 4 - before;
                head.setLength(end + 4);
                int headerStart =
                        head.toString().toLowerCase(java.util.Locale.ROOT).indexOf("content-length:");
                contentBytesLeft = headerStart < 0
                        ? -1
                        : Long.parseLong(head.substring(headerStart + 15, head.indexOf("\r", headerStart))
                                .strip());
            }
            if (contentBytesLeft >= 0) {
                contentBytesLeft -= bytes.length - from;
                if (contentBytesLeft <= 0) {
                    end(atMicros);
                }
                return;
            }
            for (int i = from; i < bytes.length; i++) {
                if (chunkBytesLeft > 0) {
                    int skipped = (int) Math.min(chunkBytesLeft, bytes.length - i);
                    chunkBytesLeft -= skipped;
                    i += skipped - 1;
                } else if (bytes[i] != '\n') {
                    line.append((char) (bytes[i] & 0xff));
                } else if (parseLine(line.toString().strip())) {
                    end(atMicros);
                    return;
                }
            }
        }

        /** Parses a line between chunks; returns true if it ends the response. */
        private boolean parseLine(String text) {
            line.setLength(0);
            if (sawLastChunk) {
                return text.isEmpty(); // Any other line is a trailer.
            }
            try {
                long size = Long.parseLong(text.split(";", 2)[0].strip(), 16);
                sawLastChunk = size == 0;
                chunkBytesLeft = size == 0 ? 0 : size + 2;
            } catch (NumberFormatException e) {
                // Not a chunk size: the rest cannot be parsed, so that the request ends with its connection.
                chunkBytesLeft = Long.MAX_VALUE;
            }
            return false;
        }

        synchronized void end(long atMicros) {
            if (pendingId != null) {
                String requestId = pendingId;
                pendingId = null;
                observer.onRequestEnded(requestId, atMicros);
            }
        }
    }
}
