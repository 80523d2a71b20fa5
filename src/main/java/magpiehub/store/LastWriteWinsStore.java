package magpiehub.store;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentSkipListMap;
import magpiehub.concurrent.MonotonicClock;
import magpiehub.config.ConfigurationException;
import magpiehub.config.ConfigurationObject;
import magpiehub.config.HostPort;
import magpiehub.telemetry.EventLog;

/**
 * One replica of a key-value store that resolves conflicts by last write wins.
 *
 * <p>Every entry has a {@link LamportTimestamp}. Of two writes of a key, each replica keeps the one with the later
 * timestamp, in whatever order they arrive, so replicas that have received the same writes hold the same entries. There
 * is no consensus between replicas and no ordering between keys: of two concurrent writes of a key, one is lost on all
 * replicas. Entries are in memory only, and are lost once no replica is running.
 */
public final class LastWriteWinsStore implements KeyValueStore {
    private final String replicaName;
    private final MonotonicClock clock;
    private final EventLog log;
    /** All entries, including tombstones of removed keys. Written with the lock on this held, read without. */
    private final Map<String, VersionedValue> entries = new ConcurrentSkipListMap<>();
    /** Guarded by this. */
    private final List<PeerLink> links = new ArrayList<>();

    private final PeerListener listener;
    /** The highest counter of the writes that this replica has made or received. Guarded by this. */
    private long counter;

    private volatile boolean isClosed;

    /**
     * Creates an empty replica and starts to accept connections.
     *
     * @param replicaName the name of this replica, unique among all replicas
     */
    public LastWriteWinsStore(String replicaName, InetSocketAddress listenAddress, MonotonicClock clock, EventLog log)
            throws IOException {
        this.replicaName = replicaName;
        this.clock = clock;
        this.log = log;
        this.listener = new PeerListener(listenAddress, this::receive, log);
    }

    /**
     * Creates a replica with the settings of a file, and a link to each peer that the file names.
     *
     * @return null if there is no such file, which means that the store is off
     * @throws ConfigurationException if the file is malformed
     */
    public static LastWriteWinsStore fromFile(Path file, String replicaName, MonotonicClock clock, EventLog log)
            throws IOException {
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
                replicaName, HostPort.toSocketAddress(HostPort.requireValid(listen)), clock, log);
        object.texts("peers").forEach(store::addPeer);
        return store;
    }

    /** The port on which the replica listens. */
    public int port() {
        return listener.port();
    }

    /** Starts to replicate all entries and writes to a peer, given as {@code host:port}. */
    public void addPeer(String address) {
        PeerLink link = new PeerLink(HostPort.requireValid(address), entries, () -> isClosed, clock, log);
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
        merge(key, new VersionedValue(value, new LamportTimestamp(counter + 1, replicaName)));
    }

    private void receive(StoreMessage message) {
        if (message instanceof StoreMessage.ReplicatedWrite write) {
            merge(write.key(), write.value());
        } else if (message instanceof StoreMessage.OperatorWrite write) {
            put(write.key(), write.value());
        }
    }

    /** Applies a write if it is newer, and forwards it, since its origin may not be linked to all replicas. */
    private synchronized void merge(String key, VersionedValue write) {
        counter = Math.max(counter, write.timestamp().counter());
        if (write.isNewerThan(entries.get(key))) {
            entries.put(key, write);
            byte[] line = StoreMessageCodec.encode(key, write);
            for (PeerLink link : links) {
                link.send(line);
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
