package magpiehub.discovery;

import magpiehub.config.EndpointEntry;
import magpiehub.routing.EndpointState;

/**
 * One key of a complete list, or one change to a key.
 *
 * @param key the key under which the source stores the entry; if two keys name the same endpoint, the one
 *     with the higher {@code modRevision} wins
 * @param modRevision the revision at which the key last changed; 0 if the source does not report it
 * @param entry the endpoint; null if the key was removed, can't be read or names no endpoint in service
 * @param unreadable why the key can't be read; empty if it can be read but names no endpoint in service; null
 *     otherwise
 */
public record ListItem(String key, long modRevision, EndpointEntry entry, String unreadable) {
    /** A key that names an endpoint. */
    public static ListItem of(String key, long modRevision, EndpointEntry entry) {
        return new ListItem(key, modRevision, entry, null);
    }

    /** A key that was removed. */
    public static ListItem removed(String key, long modRevision) {
        return new ListItem(key, modRevision, null, null);
    }

    /** A key whose entry can't be read. */
    public static ListItem unreadable(String key, long modRevision, String reason) {
        return new ListItem(key, modRevision, null, reason);
    }

    /**
     * A key with the entry parsed from its value. A key whose entry says that the endpoint is gone exists at
     * the source, but is not part of the list.
     */
    public static ListItem fromEntry(String key, long modRevision, EndpointEntry entry) {
        return entry.endpoint().state() == EndpointState.DEAD
                ? new ListItem(key, modRevision, null, "")
                : of(key, modRevision, entry);
    }
}
