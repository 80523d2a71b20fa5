package magpiehub.discovery;

import java.io.IOException;
import java.nio.charset.StandardCharsets;

/**
 * Reads the endpoints that etcd's values describe, in the form of the platform's discovery. Where a value names no id,
 * the rest of the key behind the prefix is the id.
 */
final class EtcdEntryReader {
    private final int prefixLength;
    private final EndpointEntryParser entries;

    EtcdEntryReader(String prefix, EndpointEntryParser entries) {
        this.prefixLength = prefix.length();
        this.entries = entries;
    }

    /** The endpoint of a key; a value that can't be read gives an item that says why. */
    ListItem read(EtcdKeyValue keyValue) {
        String key = key(keyValue);
        long revision = keyValue.modRevision();
        try {
            String id = key.length() > prefixLength ? key.substring(prefixLength) : null;
            return ListItem.fromEntry(key, revision, entries.read(keyValue.value(), id));
        } catch (IOException | RuntimeException e) {
            return ListItem.unreadable(key, revision, JsonObjects.describe(e));
        }
    }

    /** The change that an event of a watch reports. */
    ListItem read(EtcdWatchEvent event) {
        EtcdKeyValue keyValue = event.keyValue();
        return event.isDelete() ? ListItem.removed(key(keyValue), keyValue.modRevision()) : read(keyValue);
    }

    private static String key(EtcdKeyValue keyValue) {
        return new String(keyValue.key(), StandardCharsets.UTF_8);
    }
}
