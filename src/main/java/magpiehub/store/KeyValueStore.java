package magpiehub.store;

import java.util.Map;

/**
 * A key-value store that all routers share. It is eventually consistent: a write reaches every replica in the end, and
 * until then each answers from what it has received. Safe for use by several threads.
 */
public interface KeyValueStore extends AutoCloseable {
    /** Returns the value of a key as this replica knows it; null if it has none. */
    String get(String key);

    /** Returns all entries whose keys begin with a prefix, in the order of their keys. */
    Map<String, String> entriesWithPrefix(String prefix);

    /** Sets the value of a key; null removes the key. Does not wait for other replicas. */
    void put(String key, String value);

    /** Stops this replica. */
    @Override
    void close();
}
