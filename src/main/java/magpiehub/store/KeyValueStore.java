package magpiehub.store;

import java.util.Map;

/**
 * Where the product keeps configuration and state that its routers have in common. What is put here is seen
 * by every replica in the end; until then each answers from what it has heard. It must never be needed to
 * route a request.
 */
public interface KeyValueStore extends AutoCloseable {
    /** A key's value here and now; null if it has none. */
    String get(String key);

    /** All keys with a beginning, in order. */
    Map<String, String> under(String beginning);

    /** Gives a key a value; a null value removes it. */
    void put(String key, String value);

    @Override
    void close();
}
