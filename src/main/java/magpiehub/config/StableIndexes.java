package magpiehub.config;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

/**
 * Indexes of named values that stay the same over reloads, so that requests in flight can go on naming their class
 * and tenant by index.
 */
final class StableIndexes {
    private StableIndexes() {}

    /**
     * Gives each value its index in a table that only grows: a value that the table holds already keeps its index, any
     * other is appended. Of several values with one name, the first counts.
     *
     * @param values the values now in force
     * @param table all values so far; the new ones are added to it
     * @return the index of each name in force
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
