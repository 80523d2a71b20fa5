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
 * The endpoints of a list by the keys under which the source stores them, and by their ids. Where several keys
 * name one endpoint, the one changed last counts, and the others are kept for when it is removed.
 *
 * <p>A change costs work in the size of the change, a complete list in its own size. An instance belongs to
 * one thread.
 */
final class EndpointIndex {
    /** Changes remembered to recognize a history by; more than the keys that one burst removes. */
    private static final int MAX_RECENT_CHANGES = 256;

    private record StoredEntry(EndpointEntry entry, long modRevision) {}

    private final ArrayDeque<ListItem> recentChanges = new ArrayDeque<>();
    private Map<String, StoredEntry> entriesByKey = new HashMap<>();
    /** The key that counts for each endpoint id. */
    private Map<String, String> ownerById = new HashMap<>();
    /** The other keys that name an endpoint. */
    private Map<String, Set<String>> rivalsById = new HashMap<>();
    /** Keys that exist and name no endpoint, with the reason. */
    private Map<String, ListItem> skippedKeys = new LinkedHashMap<>();

    /** Endpoints in the list. */
    int size() {
        return ownerById.size();
    }

    /** Keys that the source has, with those that can't be read. */
    int keyCount() {
        return entriesByKey.size() + skippedKeys.size();
    }

    /** Keys whose entries can't be read, with the reason. */
    Map<String, String> unreadableKeys() {
        Map<String, String> reasons = new LinkedHashMap<>();
        skippedKeys.forEach((key, item) -> reasons.put(key, item.unreadable()));
        reasons.values().removeIf(String::isEmpty);
        return reasons;
    }

    /** An endpoint by its id, or null. */
    EndpointEntry get(String id) {
        String key = ownerById.get(id);
        return key == null ? null : entriesByKey.get(key).entry;
    }

    /** All endpoints, in no order. */
    List<EndpointEntry> entries() {
        List<EndpointEntry> entries = new ArrayList<>(ownerById.size());
        ownerById.values().forEach(key -> entries.add(entriesByKey.get(key).entry));
        return entries;
    }

    /**
     * Replaces all keys.
     *
     * @return each endpoint that was listed before or is now, as it was before; null for those that are new
     */
    Map<String, EndpointEntry> replaceAll(List<ListItem> items) {
        Map<String, StoredEntry> oldEntries = entriesByKey;
        Map<String, String> oldOwners = ownerById;
        entriesByKey = new HashMap<>(items.size() * 2);
        ownerById = new HashMap<>(items.size() * 2);
        rivalsById = new HashMap<>();
        skippedKeys = new LinkedHashMap<>();
        recentChanges.clear();
        List<ListItem> byRevision = new ArrayList<>(items);
        byRevision.sort(Comparator.comparingLong(ListItem::modRevision));
        Map<String, EndpointEntry> ignored = new HashMap<>();
        for (ListItem item : byRevision) {
            apply(withKnownAddress(item, oldEntries), ignored);
        }
        Map<String, EndpointEntry> before = new LinkedHashMap<>();
        oldOwners.forEach((id, key) -> before.put(id, oldEntries.get(key).entry));
        ownerById.keySet().forEach(id -> before.putIfAbsent(id, null));
        return before;
    }

    /** Applies one change; {@code before} receives each affected endpoint as it was, unless it has it. */
    void apply(ListItem change, Map<String, EndpointEntry> before) {
        ListItem item = withKnownAddress(change, entriesByKey);
        StoredEntry old = entriesByKey.get(item.key());
        if (old != null && !namesSameEndpoint(item, old.entry)) {
            release(item.key(), old.entry.endpoint().id(), before);
        }
        if (item.unreadable() != null) {
            skippedKeys.put(item.key(), item);
            remember(item);
        } else {
            skippedKeys.remove(item.key());
        }
        if (item.entry() == null) {
            entriesByKey.remove(item.key());
            return;
        }
        recordBefore(item.entry().endpoint().id(), before);
        entriesByKey.put(item.key(), new StoredEntry(item.entry(), item.modRevision()));
        remember(item);
        claim(item);
    }

    /**
     * The last change that is still in force, or null if that is not known any more. Changes to keys that were
     * changed again or removed are forgotten.
     */
    ListItem lastChangeInForce() {
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

    /** Whether a key has exactly this entry, or is unreadable for this reason, since this revision. */
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

    /** An entry without an address is at the address that its key had before. */
    private static ListItem withKnownAddress(ListItem item, Map<String, StoredEntry> known) {
        if (item.entry() == null || item.entry().address() != null) {
            return item;
        }
        StoredEntry old = known.get(item.key());
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

    /** Makes the key of an entry the one that counts for its endpoint, unless another was changed later. */
    private void claim(ListItem item) {
        String id = item.entry().endpoint().id();
        String key = item.key();
        String owner = ownerById.get(id);
        if (owner == null || owner.equals(key)) {
            ownerById.put(id, key);
            return;
        }
        boolean wins = item.modRevision() >= entriesByKey.get(owner).modRevision;
        ownerById.put(id, wins ? key : owner);
        Set<String> rivals = rivalsById.computeIfAbsent(id, k -> new HashSet<>());
        rivals.add(wins ? owner : key);
        rivals.remove(wins ? key : owner);
    }

    /** Removes a key that no longer names an endpoint; the rival key changed last takes its place. */
    private void release(String key, String id, Map<String, EndpointEntry> before) {
        recordBefore(id, before);
        entriesByKey.remove(key);
        Set<String> rivals = rivalsById.get(id);
        if (!key.equals(ownerById.get(id))) {
            rivals.remove(key);
        } else if (rivals == null) {
            ownerById.remove(id);
        } else {
            String next = rivals.stream()
                    .max(Comparator.<String>comparingLong(rival -> entriesByKey.get(rival).modRevision)
                            .thenComparing(rival -> rival))
                    .orElseThrow();
            ownerById.put(id, next);
            rivals.remove(next);
        }
        if (rivals != null && rivals.isEmpty()) {
            rivalsById.remove(id);
        }
    }

    private void remember(ListItem item) {
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
