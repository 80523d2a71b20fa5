package magpiehub.store;

import java.util.Map;

/**
 * An eventually consistent key-value store that all routers share: each replica serves reads from the writes that it
 * has received, and every write reaches all replicas in the end. Safe for use by several threads.
 */
public interface KeyValueStore extends AutoCloseable {
    /** Returns the value of a key on this replica; null if it has none. */
    String get(String key);

    /** Returns all entries whose keys begin with a prefix, sorted by key. */
    Map<String, String> entriesWithPrefix(String prefix);

    /** Sets the value of a key; null removes the key. Does not wait for other replicas. */
    void put(String key, String value);

    /** Stops this replica. */
    @Override
    void close();
}
