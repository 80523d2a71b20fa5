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
 * <p>Every entry has a {@link LamportTimestamp}. Of two writes of a key the one with the later timestamp stays,
 * wherever and in whatever order they arrive, so replicas that have received the same writes hold the same entries.
 * There is no agreement between replicas and no order between keys: of two concurrent writes, one is lost everywhere.
 * Entries are in memory only; they last as long as one replica does.
 */
public final class LastWriteWinsStore implements KeyValueStore {
    private final String replicaName;
    private final MonotonicClock clock;
    private final EventLog log;
    /** All keys, removed ones included. Written with this locked, read without. */
    private final Map<String, VersionedValue> entries = new ConcurrentSkipListMap<>();
    /** Guarded by this. */
    private final List<PeerLink> links = new ArrayList<>();

    private final PeerListener listener;
    /** The highest counter of all writes that this replica has made or received. Guarded by this. */
    private long counter;

    private volatile boolean isClosed;

    /**
     * Creates an empty replica, which accepts connections from then on.
     *
     * @param replicaName differs from the names of all other replicas
     */
    public LastWriteWinsStore(String replicaName, InetSocketAddress listenAddress, MonotonicClock clock, EventLog log)
            throws IOException {
        this.replicaName = replicaName;
        this.clock = clock;
        this.log = log;
        this.listener = new PeerListener(listenAddress, this::receive, log);
    }

    /**
     * Creates a replica as a deployment's file describes it, with a link to each peer.
     *
     * @return null if there is no such file: the store is then off
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

    /** The port that the replica listens on. */
    public int port() {
        return listener.port();
    }

    /** Starts to send all entries and writes to a peer, given as {@code host:port}. */
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

    /** Takes a write over if it is newer, and forwards it: the replica that made it may not be linked to all others. */
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

    /** Stops this replica. The others keep what it has written. */
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
