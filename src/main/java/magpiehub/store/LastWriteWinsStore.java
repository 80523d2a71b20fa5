package magpiehub.store;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.function.LongSupplier;
import magpiehub.concurrent.MonotonicClock;
import magpiehub.config.ConfigurationException;
import magpiehub.config.ConfigurationObject;
import magpiehub.config.HostPort;
import magpiehub.telemetry.EventLog;

/**
 * One replica of a key-value store that resolves conflicts by last write wins.
 *
 * <p>Every entry has a {@link HybridTimestamp}. Of two writes of a key, each replica keeps the one with the later
 * timestamp, in whatever order they arrive, so replicas that have received the same writes hold the same entries. There
 * is no consensus between replicas and no ordering between keys: of two concurrent writes of a key, one is lost on all
 * replicas. Entries are in memory only, and are lost once no replica is running.
 *
 * <p>A replica that starts knows neither the entries nor the counters of its earlier writes. It fetches both from its
 * peers ({@link CatchUp}) before it takes an operator's write. If no peer answers, the wall clock still orders that
 * write after those made before the start.
 */
public final class LastWriteWinsStore implements KeyValueStore {
    /** The longest wait for a peer to which an operator's writes can be sent. */
    private static final long REPLICATION_TIMEOUT_MILLIS = 700;

    private final String replicaName;
    private final MonotonicClock clock;
    private final EventLog log;
    /** All entries, including tombstones of removed keys. Written with the lock on this held, read without. */
    private final Map<String, VersionedValue> entries = new ConcurrentSkipListMap<>();
    /** Guarded by this. */
    private final List<PeerLink> links = new ArrayList<>();

    private final PeerListener listener;
    private final CatchUp catchUp;
    /** Guarded by this. */
    private final HybridClock hybridClock;

    /** The number of writes applied so far. Written with the lock on this held, read without. */
    private volatile long lastNumber;

    private final ReplicationProgress progress = new ReplicationProgress();
    private volatile boolean isClosed;

    /**
     * Creates a replica, and starts to accept connections, to fetch the peers' entries and to replicate to the peers.
     *
     * @param replicaName the name of this replica, unique among all replicas
     * @param peers the addresses of the other replicas, as {@code host:port}
     * @param wallClockMicros the time since the epoch in microseconds
     */
    LastWriteWinsStore(
            String replicaName,
            InetSocketAddress listenAddress,
            List<String> peers,
            MonotonicClock clock,
            LongSupplier wallClockMicros,
            EventLog log)
            throws IOException {
        this.replicaName = replicaName;
        this.clock = clock;
        this.log = log;
        this.hybridClock = new HybridClock(wallClockMicros);
        this.catchUp = new CatchUp(peers, write -> merge(write.key(), write.value()), clock, log);
        this.listener = new PeerListener(listenAddress, new MessageReceiver(), log);
        catchUp.start();
        peers.forEach(this::addPeer);
    }

    /**
     * Creates a replica with the settings of a file, and waits until it has caught up with its peers, but not longer
     * than for a second.
     *
     * @return null if there is no such file, which means that the store is off
     * @throws ConfigurationException if the file is malformed
     */
    public static LastWriteWinsStore fromFile(Path file, String replicaName, MonotonicClock clock, EventLog log)
            throws IOException, InterruptedException {
        if (!Files.exists(file)) {
            return null;
        }
        ConfigurationObject object = ConfigurationObject.parse(
                Files.readAllBytes(file), file.getFileName().toString());
        String listen = object.text("listen", null);
        if (listen == null) {
            throw new ConfigurationException(file.getFileName() + " gives no address in \"listen\"");
        }
        LastWriteWinsStore store = new LastWriteWinsStore(
                replicaName,
                HostPort.toSocketAddress(HostPort.requireValid(listen)),
                object.texts("peers").stream().map(HostPort::requireValid).toList(),
                clock,
                LastWriteWinsStore::systemTimeMicros,
                log);
        store.awaitCaughtUp();
        return store;
    }

    private static long systemTimeMicros() {
        return ChronoUnit.MICROS.between(Instant.EPOCH, Instant.now());
    }

    private void awaitCaughtUp() throws InterruptedException {
        catchUp.await();
        log.log("store-caught-up", "answered", Integer.toString(catchUp.answeredPeers()));
    }

    /** The port on which the replica listens. */
    public int port() {
        return listener.port();
    }

    /** Starts to replicate all entries and writes to a peer, given as {@code host:port}. */
    void addPeer(String address) {
        PeerLink link = new PeerLink(address, new AppliedWrites(), progress, () -> isClosed, clock, log);
        synchronized (this) {
            links.add(link);
        }
        link.start();
    }

    @Override
    public String get(String key) {
        VersionedValue entry = entries.get(key);
        return entry == null ? null : entry.value();
    }

    @Override
    public Map<String, String> entriesWithPrefix(String prefix) {
        Map<String, String> found = new TreeMap<>();
        entries.forEach((key, entry) -> {
            if (key.startsWith(prefix) && entry.value() != null) {
                found.put(key, entry.value());
            }
        });
        return found;
    }

    @Override
    public synchronized void put(String key, String value) {
        merge(key, new VersionedValue(value, new HybridTimestamp(hybridClock.next(), replicaName)));
    }

    private synchronized boolean hasPeers() {
        return !links.isEmpty();
    }

    /** What the links replicate. */
    private final class AppliedWrites implements PeerLink.Writes {
        @Override
        public Map<String, VersionedValue> entries() {
            return entries;
        }

        @Override
        public long lastNumber() {
            return lastNumber;
        }
    }

    /** Handles the messages of peers and operators. */
    private final class MessageReceiver implements PeerListener.Receiver {
        @Override
        public void receive(StoreMessage message) throws InterruptedException {
            if (message instanceof StoreMessage.ReplicatedWrite write) {
                merge(write.key(), write.value());
            } else if (message instanceof StoreMessage.OperatorWrite write) {
                catchUp.await();
                put(write.key(), write.value());
            }
        }

        @Override
        public void awaitReplicated() throws InterruptedException {
            if (hasPeers() && !progress.awaitSent(lastNumber, REPLICATION_TIMEOUT_MILLIS)) {
                log.count("store_writes_unreplicated");
            }
        }

        @Override
        public void sendSnapshot(OutputStream out) throws IOException {
            SnapshotTransfer.send(entries, out);
        }
    }

    /** Applies a write if it is newer, and forwards it, since its origin may not be linked to all replicas. */
    private synchronized void merge(String key, VersionedValue write) {
        hybridClock.observe(write.timestamp().counter());
        if (write.isNewerThan(entries.get(key))) {
            entries.put(key, write);
            long number = lastNumber + 1;
            lastNumber = number;
            byte[] line = StoreMessageCodec.encode(key, write);
            for (PeerLink link : links) {
                link.send(number, line);
            }
        }
    }

    /** Stops this replica. The other replicas keep the writes that they received from it. */
    @Override
    public void close() {
        isClosed = true;
        listener.close();
        synchronized (this) {
            for (PeerLink link : links) {
                link.close();
            }
        }
    }
}
