package magpiehub.telemetry;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;

/** Named counters that only increase. Thread-safe. */
final class EventCounters {
    private final Map<String, LongAdder> counters = new ConcurrentHashMap<>();

    /** Adds one to a counter, which starts at 0. */
    void increment(String name) {
        counters.computeIfAbsent(name, key -> new LongAdder()).increment();
    }

    /** All counters sorted by name, one {@code name value} pair per line. */
    String toLines() {
        StringBuilder lines = new StringBuilder();
        new TreeMap<>(counters)
                .forEach((name, counter) ->
                        lines.append(name).append(' ').append(counter.sum()).append('\n'));
        return lines.toString();
    }

    /** All counters sorted by name, as alternating names and values. */
    String[] toNamesAndValues() {
        Map<String, LongAdder> sorted = new TreeMap<>(counters);
        String[] namesAndValues = new String[2 * sorted.size()];
        int i = 0;
        for (Map.Entry<String, LongAdder> counter : sorted.entrySet()) {
            namesAndValues[i++] = counter.getKey();
            namesAndValues[i++] = Long.toString(counter.getValue().sum());
        }
        return namesAndValues;
    }
}
