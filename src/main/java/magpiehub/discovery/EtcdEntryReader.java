package magpiehub.discovery;

import java.io.IOException;
import java.nio.charset.StandardCharsets;

/**
 * Reads endpoints from etcd's values, which have the JSON format of the platform's discovery service. If a value has no
 * id, the id is the part of the key after the prefix.
 */
final class EtcdEntryReader {
    private final int prefixLength;
    private final EndpointEntryParser entries;

    EtcdEntryReader(String prefix, EndpointEntryParser entries) {
        this.prefixLength = prefix.length();
        this.entries = entries;
    }

    /** Reads the endpoint of a key; returns an unreadable item with the reason if the value is invalid. */
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

    /** Reads the change that a watch event reports. */
    ListItem read(EtcdWatchEvent event) {
        EtcdKeyValue keyValue = event.keyValue();
        return event.isDelete() ? ListItem.removed(key(keyValue), keyValue.modRevision()) : read(keyValue);
    }

    private static String key(EtcdKeyValue keyValue) {
        return new String(keyValue.key(), StandardCharsets.UTF_8);
    }
}
