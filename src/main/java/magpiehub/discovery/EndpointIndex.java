package magpiehub.discovery;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import magpiehub.config.EndpointEntry;

/**
 * The endpoints of a list, indexed by the keys under which the source stores them and by endpoint id. If several
 * keys name the same endpoint, the most recently changed key is active, and the others are kept as alternates in
 * case it is removed.
 *
 * <p>Applying changes takes time proportional to their number, and applying a complete list time proportional to its
 * length. An instance belongs to one thread.
 */
final class EndpointIndex {
    /** Recent changes kept to identify the source's history; more than the keys that one burst of changes removes. */
    private static final int MAX_RECENT_CHANGES = 256;

    private record StoredEntry(EndpointEntry entry, long modRevision) {}

    private final ArrayDeque<ListItem> recentChanges = new ArrayDeque<>();
    private Map<String, StoredEntry> entriesByKey = new HashMap<>();
    /** The active key of each endpoint id. */
    private Map<String, String> activeKeyById = new HashMap<>();
    /** The keys that name an endpoint besides its active key. */
    private Map<String, Set<String>> alternateKeysById = new HashMap<>();
    /** Keys that exist but name no endpoint, each with its item, which holds the reason. */
    private Map<String, ListItem> skippedKeys = new LinkedHashMap<>();

    /** The number of endpoints in the list. */
    int size() {
        return activeKeyById.size();
    }

    /** The number of keys at the source, including unreadable ones. */
    int keyCount() {
        return entriesByKey.size() + skippedKeys.size();
    }

    /** Keys whose entries can't be read, each with the reason. */
    Map<String, String> unreadableKeys() {
        Map<String, String> reasons = new LinkedHashMap<>();
        skippedKeys.forEach((key, item) -> reasons.put(key, item.unreadable()));
        reasons.values().removeIf(String::isEmpty);
        return reasons;
    }

    /** The endpoint with this id, or null if there is none. */
    EndpointEntry get(String id) {
        String key = activeKeyById.get(id);
        return key == null ? null : entriesByKey.get(key).entry;
    }

    /** All endpoints, in no particular order. */
    List<EndpointEntry> entries() {
        List<EndpointEntry> entries = new ArrayList<>(activeKeyById.size());
        activeKeyById.values().forEach(key -> entries.add(entriesByKey.get(key).entry));
        return entries;
    }

    /**
     * Replaces all keys.
     *
     * @return the previous entry of each endpoint that was or is now listed; null for an endpoint that is new
     */
    Map<String, EndpointEntry> replaceAll(List<ListItem> items) {
        Map<String, StoredEntry> oldEntries = entriesByKey;
        Map<String, String> oldActiveKeys = activeKeyById;
        entriesByKey = new HashMap<>(items.size() * 2);
        activeKeyById = new HashMap<>(items.size() * 2);
        alternateKeysById = new HashMap<>();
        skippedKeys = new LinkedHashMap<>();
        recentChanges.clear();
        List<ListItem> byRevision = new ArrayList<>(items);
        byRevision.sort(Comparator.comparingLong(ListItem::modRevision));
        Map<String, EndpointEntry> ignored = new HashMap<>();
        for (ListItem item : byRevision) {
            apply(withPreviousAddress(item, oldEntries), ignored);
        }
        Map<String, EndpointEntry> before = new LinkedHashMap<>();
        oldActiveKeys.forEach((id, key) -> before.put(id, oldEntries.get(key).entry));
        activeKeyById.keySet().forEach(id -> before.putIfAbsent(id, null));
        return before;
    }

    /**
     * Applies one change. The previous entry of each affected endpoint is added to {@code before} unless that already
     * contains the endpoint.
     */
    void apply(ListItem change, Map<String, EndpointEntry> before) {
        ListItem item = withPreviousAddress(change, entriesByKey);
        StoredEntry old = entriesByKey.get(item.key());
        if (old != null && !namesSameEndpoint(item, old.entry)) {
            removeKey(item.key(), old.entry.endpoint().id(), before);
        }
        if (item.unreadable() != null) {
            skippedKeys.put(item.key(), item);
            addRecentChange(item);
        } else {
            skippedKeys.remove(item.key());
        }
        if (item.entry() == null) {
            entriesByKey.remove(item.key());
            return;
        }
        recordBefore(item.entry().endpoint().id(), before);
        entriesByKey.put(item.key(), new StoredEntry(item.entry(), item.modRevision()));
        addRecentChange(item);
        addKey(item);
    }

    /**
     * The most recent change that has not been replaced by a later change or a removal of its key; null if it is no
     * longer among the recent changes. Replaced changes are dropped from them.
     */
    ListItem lastChangeInEffect() {
        for (ListItem item = recentChanges.peekLast(); item != null; item = recentChanges.peekLast()) {
            StoredEntry stored = entriesByKey.get(item.key());
            ListItem skipped = skippedKeys.get(item.key());
            if ((stored != null && stored.modRevision == item.modRevision())
                    || (skipped != null && skipped.modRevision() == item.modRevision())) {
                return item;
            }
            recentChanges.removeLast();
        }
        return null;
    }

    /** Whether a key has had exactly this entry, or been unreadable for this reason, since the item's revision. */
    boolean contains(ListItem item) {
        StoredEntry stored = entriesByKey.get(item.key());
        if (stored != null) {
            return stored.modRevision == item.modRevision() && stored.entry.equals(item.entry());
        }
        ListItem skipped = skippedKeys.get(item.key());
        return skipped != null
                && skipped.modRevision() == item.modRevision()
                && skipped.unreadable().equals(item.unreadable());
    }

    /** Gives an entry without an address the previous address of its key. */
    private static ListItem withPreviousAddress(ListItem item, Map<String, StoredEntry> previousEntries) {
        if (item.entry() == null || item.entry().address() != null) {
            return item;
        }
        StoredEntry old = previousEntries.get(item.key());
        if (old == null || old.entry.address() == null) {
            return item;
        }
        EndpointEntry entry = new EndpointEntry(item.entry().endpoint(), old.entry.address());
        return ListItem.of(item.key(), item.modRevision(), entry);
    }

    private static boolean namesSameEndpoint(ListItem item, EndpointEntry entry) {
        return item.entry() != null
                && item.entry().endpoint().id().equals(entry.endpoint().id());
    }

    /** Makes the key of an entry the active key of its endpoint, unless another key was changed later. */
    private void addKey(ListItem item) {
        String id = item.entry().endpoint().id();
        String key = item.key();
        String activeKey = activeKeyById.get(id);
        if (activeKey == null || activeKey.equals(key)) {
            activeKeyById.put(id, key);
            return;
        }
        boolean isLatest = item.modRevision() >= entriesByKey.get(activeKey).modRevision;
        activeKeyById.put(id, isLatest ? key : activeKey);
        Set<String> alternates = alternateKeysById.computeIfAbsent(id, k -> new HashSet<>());
        alternates.add(isLatest ? activeKey : key);
        alternates.remove(isLatest ? key : activeKey);
    }

    /** Removes a key that no longer names an endpoint; the most recently changed alternate key replaces it. */
    private void removeKey(String key, String id, Map<String, EndpointEntry> before) {
        recordBefore(id, before);
        entriesByKey.remove(key);
        Set<String> alternates = alternateKeysById.get(id);
        if (!key.equals(activeKeyById.get(id))) {
            alternates.remove(key);
        } else if (alternates == null) {
            activeKeyById.remove(id);
        } else {
            String next = alternates.stream()
                    .max(Comparator.<String>comparingLong(alternate -> entriesByKey.get(alternate).modRevision)
                            .thenComparing(alternate -> alternate))
                    .orElseThrow();
            activeKeyById.put(id, next);
            alternates.remove(next);
        }
        if (alternates != null && alternates.isEmpty()) {
            alternateKeysById.remove(id);
        }
    }

    private void addRecentChange(ListItem item) {
        if (item.modRevision() > 0) {
            recentChanges.addLast(item);
            if (recentChanges.size() > MAX_RECENT_CHANGES) {
                recentChanges.removeFirst();
            }
        }
    }

    private void recordBefore(String id, Map<String, EndpointEntry> before) {
        if (!before.containsKey(id)) {
            before.put(id, get(id));
        }
    }
}
