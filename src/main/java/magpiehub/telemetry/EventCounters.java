package magpiehub.telemetry;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;

/** Named counters that only grow. Any thread. */
final class EventCounters {
    private final Map<String, LongAdder> counters = new ConcurrentHashMap<>();

    /** Adds one to a counter, which begins at 0. */
    void increment(String name) {
        counters.computeIfAbsent(name, key -> new LongAdder()).increment();
    }

    /** All counters in the order of their names, each as a line of name, blank and value. */
    String toLines() {
        StringBuilder lines = new StringBuilder();
        new TreeMap<>(counters)
                .forEach((name, counter) ->
                        lines.append(name).append(' ').append(counter.sum()).append('\n'));
        return lines.toString();
    }

    /** All counters in the order of their names, each name followed by its value. */
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
