package magpiehub.store;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import magpiehub.concurrent.DaemonThreads;
import magpiehub.concurrent.MonotonicClock;
import magpiehub.telemetry.EventLog;

/**
 * Fetches the entries of all peers once, after the start of a replica, whose memory is empty. Until then a write made
 * here could get a timestamp below that of an earlier one, and would be lost on all replicas.
 *
 * <p>Peers that do not answer are waited for only up to a time limit, since the store has to remain available.
 */
final class CatchUp {
    /** The longest wait for peers that do not answer. */
    private static final long TIMEOUT_MICROS = 1_000_000;

    private final List<String> peers;
    private final Consumer<StoreMessage.ReplicatedWrite> receiver;
    private final MonotonicClock clock;
    private final EventLog log;
    private final long deadlineMicros;
    private final CountDownLatch pendingPeers;
    private final AtomicInteger answeredPeers = new AtomicInteger();

    /**
     * Creates a catch-up that does nothing before {@link #start}. Its time limit counts from now.
     *
     * @param peers the peers' addresses as {@code host:port}
     * @param receiver receives each entry; called from several threads at once
     */
    CatchUp(List<String> peers, Consumer<StoreMessage.ReplicatedWrite> receiver, MonotonicClock clock, EventLog log) {
        this.peers = peers;
        this.receiver = receiver;
        this.clock = clock;
        this.log = log;
        this.deadlineMicros = clock.micros() + TIMEOUT_MICROS;
        this.pendingPeers = new CountDownLatch(peers.size());
    }

    /** The number of peers whose entries have arrived completely. */
    int answeredPeers() {
        return answeredPeers.get();
    }

    /** Starts to fetch the entries, from each peer on a thread of its own. */
    void start() {
        for (String peer : peers) {
            DaemonThreads.newThread("store-catch-up", () -> fetchFrom(peer)).start();
        }
    }

    private void fetchFrom(String peer) {
        try {
            SnapshotTransfer.fetch(peer, receiver);
            answeredPeers.incrementAndGet();
        } catch (IOException | RuntimeException | OutOfMemoryError e) {
            log.count("store_catch_up_failures");
        } finally {
            pendingPeers.countDown();
        }
    }

    /** Waits until the entries of all peers that answer have arrived, or until the time limit. */
    void await() throws InterruptedException {
        if (!pendingPeers.await(deadlineMicros - clock.micros(), TimeUnit.MICROSECONDS)) {
            log.count("store_catch_up_timeouts");
        }
    }
}
