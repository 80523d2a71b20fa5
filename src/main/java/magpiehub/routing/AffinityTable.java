package magpiehub.routing;

import java.util.HashMap;
import java.util.Map;

/** The affinity entries by key, an LRU cache that is bounded in size and age. */
final class AffinityTable {
    /** Maximum number of entries, which bounds the memory. */
    private static final int MAX_ENTRIES = 20_000;

    /** How long the replicas of an unused entry are assumed to keep its tokens cached. */
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

    /** Creates a table that holds at most {@code maxEntries} entries. */
    AffinityTable(int maxEntries) {
        this.maxEntries = maxEntries;
    }

    int size() {
        return size;
    }

    /** Returns the least recently used entry, null if the table is empty. */
    AffinityEntry oldest() {
        return oldest;
    }

    /** Returns the entry that was used next after the given one, null if that is the most recently used. */
    AffinityEntry nextNewer(AffinityEntry entry) {
        return entry.newer;
    }

    /** Returns the entry of a prefix, creating it if necessary, and makes it the most recently used one. */
    AffinityEntry usePrefix(long prefixId, long now) {
        return use(byPrefix, prefixId, false, now);
    }

    /** Returns the entry of a session, creating it if necessary, and makes it the most recently used one. */
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
