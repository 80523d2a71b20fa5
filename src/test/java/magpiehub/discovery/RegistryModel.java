package magpiehub.discovery;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import magpiehub.concurrent.MonotonicClock;

/**
 * The changes that clients of a fake registry must report, with their times. Each change has a number, which is stored
 * in the cell of its entry. One thread makes the changes; the clients' threads read them.
 */
final class RegistryModel {
    private static final String ENTRY =
            "{\"host_port\":\"127.0.0.1:%d\",\"phase\":\"%s\",\"cell\":%d,\"locality\":\"a\"}";
    private static final String CELL_FIELD = "\"cell\":";

    /**
     * A change of one endpoint.
     *
     * @param cell the number of the change; 0 if the endpoint was removed
     */
    record Change(int cell, long atMicros) {}

    final FakeRegistry registry;
    /** All changes of each endpoint, oldest first; a list must be locked while it is iterated. */
    final Map<String, List<Change>> changes = new ConcurrentHashMap<>();

    private final MonotonicClock clock;
    private final Map<String, Integer> currentCells = new HashMap<>();
    private int lastCell;

    /** Cells up to this one may reappear because of the last restore. */
    volatile int restoredCell;
    /** When the last outage ended; during an outage, clients can't receive changes. */
    volatile long reachableSinceMicros;
    /** When the current outage began; {@link Long#MAX_VALUE} if there is none. */
    volatile long downSinceMicros = Long.MAX_VALUE;
    /** The current or last fault, for the log. */
    volatile String faultPhase = "";

    RegistryModel(FakeRegistry registry, MonotonicClock clock) {
        this.registry = registry;
        this.clock = clock;
    }

    /** Writes an entry. */
    void put(String id, String state, int port) {
        lastCell++;
        record(id, lastCell); // Before a client can report the change.
        registry.put(id, String.format(ENTRY, port, state, lastCell));
    }

    /** Removes an entry. */
    void delete(String id) {
        record(id, 0);
        registry.delete(id);
    }

    /** Restores the registry from older data, atomically for its clients. */
    void restore(long toRevision, String cluster, long newRevision) {
        synchronized (registry) {
            restoredCell = lastCell;
            registry.restore(toRevision, cluster, newRevision);
            Map<String, Integer> cells = currentCells();
            for (String id : List.copyOf(currentCells.keySet())) {
                record(id, cells.getOrDefault(id, 0));
            }
        }
    }

    /** Returns the cell of each endpoint in the registry. */
    Map<String, Integer> currentCells() {
        return cellsAt(Long.MAX_VALUE);
    }

    /** Returns the cell of each endpoint in the registry as of a revision. */
    Map<String, Integer> cellsAt(long revision) {
        Map<String, Integer> cells = new TreeMap<>();
        registry.snapshot(revision, FakeRegistry.PREFIX).forEach((key, version) -> {
            String json = new String(version.value(), StandardCharsets.UTF_8);
            int at = json.indexOf(CELL_FIELD);
            if (at >= 0) {
                int start = at + CELL_FIELD.length();
                cells.put(
                        key.substring(FakeRegistry.PREFIX.length()),
                        Integer.parseInt(json.substring(start, json.indexOf(',', at))));
            }
        });
        return cells;
    }

    private void record(String id, int cell) {
        if (!Integer.valueOf(cell).equals(currentCells.put(id, cell))) {
            changes.computeIfAbsent(id, key -> Collections.synchronizedList(new ArrayList<>()))
                    .add(new Change(cell, clock.micros()));
        }
    }
}
