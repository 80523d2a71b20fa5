package magpiehub.config;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeSet;

/** Compares the current configuration file with a later one, both as returned by {@link Json#readObject}. */
final class ConfigurationComparison {
    /** Keys that a later file may lack although the current one has them. */
    private static final Set<String> OPTIONAL_KEYS = Set.of(
            RouterConfigurationKeys.INITIAL_ENDPOINTS,
            RouterConfigurationKeys.SEED,
            SettingsKeys.LATENCY_OBJECTIVE_STRETCH);

    private ConfigurationComparison() {}

    /**
     * Returns the path of the first key that the current file has and the later one lacks, or null. Guards against a
     * file that is read while it is being written and happens to parse. Of an array of objects, only keys that all its
     * objects have are required.
     */
    static String firstMissingKey(Map<?, ?> current, Map<?, ?> later, String path) {
        for (Map.Entry<?, ?> member : current.entrySet()) {
            if (OPTIONAL_KEYS.contains(member.getKey())) {
                continue;
            }
            String memberPath = path + "." + member.getKey();
            Object laterValue = later.get(member.getKey());
            if (laterValue == null && member.getValue() != null) {
                return memberPath;
            }
            String missing = firstMissingInValue(member.getValue(), laterValue, memberPath);
            if (missing != null) {
                return missing;
            }
        }
        return null;
    }

    private static String firstMissingInValue(Object current, Object later, String path) {
        if (current instanceof Map<?, ?> members && later instanceof Map<?, ?> laterMembers) {
            return firstMissingKey(members, laterMembers, path);
        }
        if (current instanceof List<?> values && later instanceof List<?> laterValues) {
            return firstMissingInElements(commonMembers(values), laterValues, path);
        }
        return null;
    }

    private static String firstMissingInElements(Map<?, ?> required, List<?> later, String path) {
        for (int i = 0; i < later.size(); i++) {
            if (later.get(i) instanceof Map<?, ?> members) {
                String missing = firstMissingKey(required, members, path + "[" + i + "]");
                if (missing != null) {
                    return missing;
                }
            }
        }
        return null;
    }

    /** The members of the array's first object, without those whose keys other objects of the array lack. */
    private static Map<Object, Object> commonMembers(List<?> values) {
        Map<Object, Object> common = new LinkedHashMap<>();
        for (Object value : values) {
            if (value instanceof Map<?, ?> members) {
                if (value == values.get(0)) {
                    common.putAll(members);
                }
                common.keySet().retainAll(members.keySet());
            }
        }
        return common;
    }

    /**
     * Adds the keys whose values differ between two files to a list, in alphabetical order. Members of top-level
     * objects are named {@code object.key}; differences at deeper levels are reported for the member that contains
     * them.
     */
    static void addChangedKeys(Map<?, ?> before, Map<?, ?> after, List<String> changed) {
        addChangedKeys(before, after, "", changed);
    }

    private static void addChangedKeys(Map<?, ?> before, Map<?, ?> after, String prefix, List<String> changed) {
        Set<Object> keys = new TreeSet<>(before.keySet());
        keys.addAll(after.keySet());
        for (Object key : keys) {
            Object valueBefore = before.get(key);
            Object valueAfter = after.get(key);
            boolean mayDescend = prefix.isEmpty() && !key.equals(RouterConfigurationKeys.INITIAL_ENDPOINTS);
            if (mayDescend
                    && valueBefore instanceof Map<?, ?> membersBefore
                    && valueAfter instanceof Map<?, ?> membersAfter) {
                addChangedKeys(membersBefore, membersAfter, key + ".", changed);
            } else if (!Objects.equals(valueBefore, valueAfter)) {
                changed.add(prefix + key);
            }
        }
    }
}
