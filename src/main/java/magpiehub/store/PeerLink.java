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
 * Sends all writes to one peer: dials it, sends every entry, then each write as it is made. A connection that breaks is
 * dialled again and begins with every entry. A peer that reads too slowly is disconnected, so that it can't hold up
 * others.
 */
final class PeerLink {
    private static final long REDIAL_INTERVAL_MICROS = 500_000;
    private static final int CONNECT_TIMEOUT_MILLIS = 1000;

    /** Bytes of writes that may wait for the peer. */
    private static final int MAX_QUEUED_BYTES = 4 << 20;

    /** A message to the writing thread: the connection has ended. */
    private static final byte[] END_OF_CONNECTION = {};

    private final String address;
    private final Map<String, VersionedValue> entries;
    private final BooleanSupplier isStoreClosed;
    private final MonotonicClock clock;
    private final EventLog log;
    /** Lines to be written; null while there is no connection, for the next one begins with every entry. */
    private volatile Mailbox<byte[]> queue;
    /** The connection, or the last one; null before the first. */
    private volatile Socket socket;

    /**
     * Creates a link that is not dialled until {@link #start}.
     *
     * @param entries the store's live map, safe to iterate over while it changes
     * @param isStoreClosed ends the link once it is true
     */
    PeerLink(
            String address,
            Map<String, VersionedValue> entries,
            BooleanSupplier isStoreClosed,
            MonotonicClock clock,
            EventLog log) {
        this.address = address;
        this.entries = entries;
        this.isStoreClosed = isStoreClosed;
        this.clock = clock;
        this.log = log;
    }

    /** Starts to dial the peer, on a thread of the link's own; only that thread writes to the socket. */
    void start() {
        DaemonThreads.newThread("store-link", this::run).start();
    }

    private void run() {
        try {
            while (!isStoreClosed.getAsBoolean()) {
                connectAndSend();
                new Mailbox<byte[]>(clock, 0).take(clock.micros() + REDIAL_INTERVAL_MICROS);
            }
        } catch (InterruptedException e) {
            // The thread ends.
        }
    }

    /** Returns once the connection has ended or could not be made. */
    private void connectAndSend() throws InterruptedException {
        try (Socket connection = new Socket()) {
            socket = connection;
            connection.setTcpNoDelay(true);
            connection.connect(HostPort.toSocketAddress(address), CONNECT_TIMEOUT_MILLIS);
            // Before the entries are read: a write from now on is in the entries or in the queue.
            Mailbox<byte[]> newQueue = new Mailbox<>(clock, MAX_QUEUED_BYTES);
            queue = newQueue;
            sendEntries(connection.getOutputStream());
            DaemonThreads.newThread("store-watch", () -> watchForEnd(connection, newQueue))
                    .start();
            log.count("store_links");
            sendWrites(connection.getOutputStream(), newQueue);
        } catch (IOException | OutOfMemoryError e) {
            // OutOfMemoryError: no further thread can be started.
            log.count("store_link_failures");
        } finally {
            // A write that is sent now must not end the next connection while it is being opened.
            queue = null;
        }
    }

    private void sendEntries(OutputStream out) throws IOException {
        for (Map.Entry<String, VersionedValue> entry : entries.entrySet()) {
            out.write(StoreMessageCodec.encode(entry.getKey(), entry.getValue()));
        }
    }

    private static void sendWrites(OutputStream out, Mailbox<byte[]> lines) throws IOException, InterruptedException {
        byte[] line = lines.take(Long.MAX_VALUE);
        while (line.length > 0) {
            out.write(line);
            line = lines.take(Long.MAX_VALUE);
        }
    }

    /** Waits for the peer to close the connection, which the writing thread would not notice: a peer never sends. */
    private static void watchForEnd(Socket connection, Mailbox<byte[]> lines) {
        try {
            connection.getInputStream().read();
        } catch (IOException e) {
            // The connection has ended, like at the end of the input.
        }
        endQueue(lines);
        Sockets.closeQuietly(connection);
    }

    private static void endQueue(Mailbox<byte[]> lines) {
        lines.post(END_OF_CONNECTION);
        lines.close();
    }

    /** Queues a line for the peer. Never waits: a peer that does not read is disconnected, and dialled again. */
    void send(byte[] line) {
        Mailbox<byte[]> lines = queue;
        if (lines != null && !lines.post(line, line.length)) {
            Sockets.closeQuietly(socket);
        }
    }

    /** Ends the connection. The store must be closed by then, or the peer is dialled again. */
    void close() {
        Mailbox<byte[]> lines = queue;
        if (lines != null) {
            endQueue(lines);
        }
        Socket connection = socket;
        if (connection != null) {
            Sockets.closeQuietly(connection);
        }
    }
}
