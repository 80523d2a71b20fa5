package magpiehub.config;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

/**
 * Assigns indexes to named values that stay valid across reloads, so that requests in flight can refer to their class
 * and tenant by index.
 */
final class StableIndexes {
    private StableIndexes() {}

    /**
     * Assigns each value its index in an append-only table: a value that the table already contains keeps its index,
     * any other is appended. Of several values with the same name, the first is used.
     *
     * @param values the current values
     * @param table all values so far; new ones are appended
     * @return the index of each current name
     */
    static <T> Map<String, Integer> assign(List<T> values, Function<T, String> nameOf, List<T> table) {
        Map<String, Integer> indexes = new HashMap<>();
        for (T value : values) {
            int index = table.indexOf(value);
            if (index < 0) {
                index = table.size();
                table.add(value);
            }
            indexes.putIfAbsent(nameOf.apply(value), index);
        }
        return Map.copyOf(indexes);
    }
}
