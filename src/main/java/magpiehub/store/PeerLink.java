package magpiehub.store;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.Map;
import java.util.function.BooleanSupplier;
import magpiehub.concurrent.DaemonThreads;
import magpiehub.concurrent.Mailbox;
import magpiehub.concurrent.MonotonicClock;
import magpiehub.config.HostPort;
import magpiehub.http.Sockets;
import magpiehub.telemetry.EventLog;

/**
 * Replicates to one peer: connects to it, sends all entries, then each write as it is made. When the connection is
 * lost, the link reconnects and sends all entries again. A peer that reads too slowly is disconnected, so that it can't
 * delay other peers.
 */
final class PeerLink {
    private static final long RECONNECT_INTERVAL_MICROS = 500_000;
    private static final int CONNECT_TIMEOUT_MILLIS = 1000;

    /** Largest size of the writes queued for the peer. */
    private static final int MAX_QUEUED_BYTES = 4 << 20;

    /** Tells the writing thread that the connection was closed. */
    private static final NumberedLine CONNECTION_CLOSED = new NumberedLine(0, new byte[0]);

    /** The encoded write of the replica with the given number. */
    private record NumberedLine(long number, byte[] line) {}

    /** The writes of the replica that a link replicates. */
    interface Writes {
        /** All entries; safe to iterate over while they change. */
        Map<String, VersionedValue> entries();

        /** The number of the last write that {@link #entries} contain. */
        long lastNumber();
    }

    private final String address;
    private final Writes writes;
    private final ReplicationProgress progress;
    private final BooleanSupplier isStoreClosed;
    private final MonotonicClock clock;
    private final EventLog log;
    /** Lines to be written; null while there is no connection, since the next one starts with all entries. */
    private volatile Mailbox<NumberedLine> queue;
    /** The current or last connection; null before the first. */
    private volatile Socket socket;

    /**
     * Creates a link that does not connect until {@link #start}.
     *
     * @param progress records what has been written to the peer's connection
     * @param isStoreClosed stops the link once it returns true
     */
    PeerLink(
            String address,
            Writes writes,
            ReplicationProgress progress,
            BooleanSupplier isStoreClosed,
            MonotonicClock clock,
            EventLog log) {
        this.address = address;
        this.writes = writes;
        this.progress = progress;
        this.isStoreClosed = isStoreClosed;
        this.clock = clock;
        this.log = log;
    }

    /** Starts a thread that connects to the peer; no other thread writes to the socket. */
    void start() {
        DaemonThreads.newThread("store-link", this::run).start();
    }

    private void run() {
        try {
            while (!isStoreClosed.getAsBoolean()) {
                connectAndSend();
                new Mailbox<byte[]>(clock, 0).take(clock.micros() + RECONNECT_INTERVAL_MICROS);
            }
        } catch (InterruptedException e) {
            // The link stops with its thread.
        }
    }

    /** Returns once the connection is closed or could not be opened. */
    private void connectAndSend() throws InterruptedException {
        try (Socket connection = new Socket()) {
            socket = connection;
            connection.setTcpNoDelay(true);
            connection.connect(HostPort.toSocketAddress(address), CONNECT_TIMEOUT_MILLIS);
            // The queue is set before the entries are read, so that each later write is in one or the other.
            Mailbox<NumberedLine> newQueue = new Mailbox<>(clock, MAX_QUEUED_BYTES);
            queue = newQueue;
            long lastNumber = writes.lastNumber();
            SnapshotTransfer.sendEntries(writes.entries(), connection.getOutputStream());
            progress.recordSent(lastNumber);
            DaemonThreads.newThread("store-watch", () -> awaitDisconnect(connection, newQueue))
                    .start();
            log.count("store_links");
            sendWrites(connection.getOutputStream(), newQueue);
        } catch (IOException | OutOfMemoryError e) {
            // OutOfMemoryError is thrown if no further thread can be started.
            log.count("store_link_failures");
        } finally {
            // Otherwise a write to the old queue could close the next connection while it is being opened.
            queue = null;
        }
    }

    private void sendWrites(OutputStream out, Mailbox<NumberedLine> lines) throws IOException, InterruptedException {
        NumberedLine next = lines.take(Long.MAX_VALUE);
        while (next.line().length > 0) {
            out.write(next.line());
            progress.recordSent(next.number());
            next = lines.take(Long.MAX_VALUE);
        }
    }

    /**
     * Waits until the peer closes the connection, then stops the writing thread, which would not notice by itself while
     * there is nothing to write. A peer never sends data.
     */
    private static void awaitDisconnect(Socket connection, Mailbox<NumberedLine> lines) {
        try {
            connection.getInputStream().read();
        } catch (IOException e) {
            // The connection was lost: handled like the end of the input.
        }
        closeQueue(lines);
        Sockets.closeQuietly(connection);
    }

    private static void closeQueue(Mailbox<NumberedLine> lines) {
        lines.post(CONNECTION_CLOSED);
        lines.close();
    }

    /**
     * Queues the encoded write with the given number for the peer. Never blocks: if the queue is full, the link
     * disconnects and connects again.
     */
    void send(long number, byte[] line) {
        Mailbox<NumberedLine> lines = queue;
        if (lines != null && !lines.post(new NumberedLine(number, line), line.length)) {
            Sockets.closeQuietly(socket);
        }
    }

    /** Closes the connection. The store must be closed before, or the link connects again. */
    void close() {
        Mailbox<NumberedLine> lines = queue;
        if (lines != null) {
            closeQueue(lines);
        }
        Socket connection = socket;
        if (connection != null) {
            Sockets.closeQuietly(connection);
        }
    }
}
