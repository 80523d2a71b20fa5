package magpiehub.discovery;

import java.io.IOException;
import java.nio.charset.StandardCharsets;

/**
 * Reads the endpoints that etcd's values describe, in the form of the platform's discovery. Where a value names no id,
 * the rest of the key behind the prefix is the id.
 */
final class EtcdEntryReader {
    private final int prefixLength;
    private final Entries entries;

    EtcdEntryReader(String prefix, Entries entries) {
        this.prefixLength = prefix.length();
        this.entries = entries;
    }

    /** The endpoint of a key; a value that can't be read gives an item that says why. */
    View.Item read(EtcdKeyValue keyValue) {
        String key = key(keyValue);
        long revision = keyValue.modRevision();
        try {
            String id = key.length() > prefixLength ? key.substring(prefixLength) : null;
            return View.Item.read(key, revision, entries.read(keyValue.value(), id));
        } catch (IOException | RuntimeException e) {
            return View.Item.unreadable(key, revision, JsonObjects.describe(e));
        }
    }

    /** The change that an event of a watch reports. */
    View.Item read(EtcdWatchEvent event) {
        EtcdKeyValue keyValue = event.keyValue();
        return event.isDelete() ? View.Item.removed(key(keyValue), keyValue.modRevision()) : read(keyValue);
    }

    private static String key(EtcdKeyValue keyValue) {
        return new String(keyValue.key(), StandardCharsets.UTF_8);
    }
}
