package magpiehub.routing;

import java.util.HashMap;
import java.util.Map;

/** The affinity entries by key, bounded in number and age: the least recently used ones go. */
final class AffinityTable {
    /** Entries kept at most: a bound on memory. */
    private static final int MAX_ENTRIES = 20_000;

    /** How long an unused entry's replicas are believed to have its tokens cached, in microseconds. */
    private static final long IDLE_TIMEOUT_MICROS = 30_000_000;

    private final int maxEntries;
    private final Map<Long, AffinityEntry> byPrefix = new HashMap<>();
    private final Map<Long, AffinityEntry> bySession = new HashMap<>();
    private AffinityEntry newest;
    private AffinityEntry oldest;
    private int size;

    AffinityTable() {
        this(MAX_ENTRIES);
    }

    /** A table of so many entries at most. */
    AffinityTable(int maxEntries) {
        this.maxEntries = maxEntries;
    }

    int size() {
        return size;
    }

    /** The least recently used entry, null if there is none. */
    AffinityEntry oldest() {
        return oldest;
    }

    /** The entry that was used next after another one, null if that is the most recently used. */
    AffinityEntry nextNewer(AffinityEntry entry) {
        return entry.newer;
    }

    /** The entry of a prefix, new if there was none; it becomes the most recently used one. */
    AffinityEntry usePrefix(long prefixId, long now) {
        return use(byPrefix, prefixId, false, now);
    }

    /** The entry of a session, new if there was none; it becomes the most recently used one. */
    AffinityEntry useSession(long sessionId, long now) {
        return use(bySession, sessionId, true, now);
    }

    private AffinityEntry use(Map<Long, AffinityEntry> entries, long key, boolean isSession, long now) {
        AffinityEntry entry = entries.get(key);
        if (entry == null) {
            entry = new AffinityEntry(key, isSession, now);
            entries.put(key, entry);
            size++;
        } else {
            unlink(entry);
        }
        linkAsNewest(entry, now);
        evictOld(entry, now);
        return entry;
    }

    private void linkAsNewest(AffinityEntry entry, long now) {
        entry.lastUsedAt = now;
        entry.older = newest;
        if (newest != null) {
            newest.newer = entry;
        }
        newest = entry;
        oldest = oldest == null ? entry : oldest;
    }

    private void evictOld(AffinityEntry used, long now) {
        while (oldest != used && (size > maxEntries || now - oldest.lastUsedAt > IDLE_TIMEOUT_MICROS)) {
            evict(oldest);
        }
    }

    private void evict(AffinityEntry entry) {
        unlink(entry);
        (entry.isSession() ? bySession : byPrefix).remove(entry.key());
        size--;
        entry.clear();
    }

    private void unlink(AffinityEntry entry) {
        if (entry.newer != null) {
            entry.newer.older = entry.older;
        } else {
            newest = entry.older;
        }
        if (entry.older != null) {
            entry.older.newer = entry.newer;
        } else {
            oldest = entry.newer;
        }
        entry.newer = null;
        entry.older = null;
    }
}
