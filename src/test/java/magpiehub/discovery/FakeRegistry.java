package magpiehub.discovery;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A registry for tests: one history of keys, several endpoints with injected faults, and two protocols, etcd's JSON
 * gateway ({@link FakeEtcdServer}) and Consul's HTTP API ({@link FakeConsulServer}).
 *
 * <p>The registry's monitor guards the data and is notified of each change. A test may hold the monitor to make several
 * changes atomically.
 */
final class FakeRegistry implements AutoCloseable {
    static final String PREFIX = "fleet/engines/";
    private static final int CACHED_SNAPSHOTS = 4;

    /** A fault of an endpoint. */
    enum Fault {
        NONE,
        /** It resets each new connection. */
        DOWN,
        /** It accepts requests and never responds. */
        SILENT,
        /** It responds to all requests but sends nothing on watches. */
        SILENT_WATCHES,
        /** It sends its responses byte by byte, with pauses. */
        BYTE_BY_BYTE,
        /** It rejects each token. */
        UNAUTHORIZED,
        /** It responds to each request with 429. */
        RATE_LIMITED,
        /** It has no leader (Consul). */
        NO_LEADER
    }

    /** The value of a key since a revision; null if the key was deleted. */
    record Version(long revision, byte[] value) {}

    /** A change of one key; the value is null for a deletion. */
    record Change(long revision, String key, byte[] value) {}

    final FakeEtcdServer etcd = new FakeEtcdServer(this);
    final FakeConsulServer consul = new FakeConsulServer(this);
    final List<FakeRegistryEndpoint> endpoints = new ArrayList<>();

    /** The number of requests by path. */
    final Map<String, Integer> requestCounts = new ConcurrentHashMap<>();

    /** The password in etcd and the token in Consul; null if none is required. */
    String password;

    String cluster = "14841639068965178418";
    long term = 2;
    long revision = 1;

    /** The newest revision whose changes are no longer available. */
    long compacted;

    private final Map<String, List<Version>> versionsByKey = new TreeMap<>();
    private final List<Change> changes = new ArrayList<>();

    /** A cache of recent snapshots, because hundreds of clients read the same one. */
    private final Map<String, Map<String, Version>> snapshots = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Map<String, Version>> e) {
            return size() > CACHED_SNAPSHOTS;
        }
    };

    FakeRegistry(int endpointCount) throws IOException {
        for (int i = 0; i < endpointCount; i++) {
            endpoints.add(new FakeRegistryEndpoint(this));
        }
    }

    List<String> addresses() {
        return endpoints.stream().map(FakeRegistryEndpoint::address).toList();
    }

    int requestCount(String path) {
        return requestCounts.getOrDefault(path, 0);
    }

    synchronized long put(String id, String json) {
        revision++;
        write(PREFIX + id, json.getBytes(UTF_8));
        notifyAll();
        return revision;
    }

    synchronized void delete(String id) {
        revision++;
        write(PREFIX + id, null);
        notifyAll();
    }

    /** Changes several keys in one revision; a null value deletes the key. */
    synchronized void putAll(Map<String, String> jsonById) {
        revision++;
        jsonById.forEach((id, json) -> write(PREFIX + id, json == null ? null : json.getBytes(UTF_8)));
        notifyAll();
    }

    private void write(String key, byte[] value) {
        snapshots.remove(revision + " " + PREFIX); // It is outdated if the revision has several changes.
        versionsByKey.computeIfAbsent(key, k -> new ArrayList<>()).add(new Version(revision, value));
        changes.add(new Change(revision, key, value));
    }

    synchronized void compact() {
        compacted = revision;
    }

    /** Increments the leader's term and closes all connections, as an election of a leader does. */
    synchronized void electLeader() {
        term++;
        closeAllConnections();
    }

    /** Restores the data as of the revision {@code to}; later writes continue from {@code newRevision}. */
    synchronized void restore(long to, String newCluster, long newRevision) {
        snapshots.clear();
        versionsByKey.values().forEach(versions -> versions.removeIf(v -> v.revision > to));
        versionsByKey.values().removeIf(List::isEmpty);
        changes.removeIf(change -> change.revision > to);
        revision = newRevision;
        compacted = newRevision > to ? newRevision : Math.min(compacted, to);
        cluster = newCluster;
        notifyAll();
        closeAllConnections();
    }

    void closeAllConnections() {
        endpoints.forEach(FakeRegistryEndpoint::closeConnections);
    }

    /** Returns the values as of a revision, by key. */
    synchronized Map<String, Version> snapshot(long at, String prefix) {
        long upTo = Math.min(at, revision);
        return snapshots.computeIfAbsent(upTo + " " + prefix, k -> readSnapshot(upTo, prefix));
    }

    private Map<String, Version> readSnapshot(long at, String prefix) {
        Map<String, Version> snapshot = new TreeMap<>();
        versionsByKey.forEach((key, versions) -> {
            if (key.startsWith(prefix)) {
                Version version = latest(versions, at);
                if (version != null && version.value != null) {
                    snapshot.put(key, version);
                }
            }
        });
        return snapshot;
    }

    private static Version latest(List<Version> versions, long at) {
        for (int i = versions.size() - 1; i >= 0; i--) {
            if (versions.get(i).revision <= at) {
                return versions.get(i);
            }
        }
        return null;
    }

    /** Returns the changes in a range of revisions, bounds included. The caller holds the monitor. */
    List<Change> changes(long fromRevision, long toRevision, String prefix) {
        int first = changes.size();
        while (first > 0 && changes.get(first - 1).revision >= fromRevision) {
            first--;
        }
        return changes.subList(first, changes.size()).stream()
                .filter(change -> change.revision <= toRevision && change.key.startsWith(prefix))
                .toList();
    }

    @Override
    public void close() {
        endpoints.forEach(FakeRegistryEndpoint::close);
    }
}
