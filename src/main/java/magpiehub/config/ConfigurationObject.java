package magpiehub.config;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Typed access to the members of a JSON object. An absent key, or one whose value is null, takes a default; a value of
 * the wrong type throws a {@link ConfigurationException} with its path.
 *
 * @param map the members as returned by {@link Json#readObject}
 * @param path the path of the object, with which the paths in error messages begin
 */
public record ConfigurationObject(Map<String, Object> map, String path) {
    /**
     * Parses an input that consists of one JSON object.
     *
     * @param path the name of the input in error messages
     * @throws ConfigurationException if the input is anything else
     */
    public static ConfigurationObject parse(byte[] json, String path) throws IOException {
        try (JsonParser parser = Json.FACTORY.createParser(json)) {
            parser.nextToken();
            ConfigurationObject object = new ConfigurationObject(Json.readObject(parser), path);
            if (parser.nextToken() != null) {
                throw new ConfigurationException(path, "holds more than one value");
            }
            return object;
        } catch (JsonProcessingException e) {
            throw ConfigurationException.invalidJson(path, e.getOriginalMessage());
        }
    }

    /** The number under a key. */
    public double number(String key, double defaultValue) {
        Double value = get(key, Double.class);
        return value == null ? defaultValue : value;
    }

    /** The duration under a key, converted from milliseconds to microseconds. */
    long millisAsMicros(String key, double defaultMillis) {
        return Milliseconds.toMicros(number(key, defaultMillis));
    }

    /**
     * Checks that a required number is present, finite and above 0.
     *
     * @param smallest the smallest number that does not become 0 when it is converted to the unit in use
     */
    void requirePositive(String key, double smallest) {
        Double value = get(key, Double.class);
        if (value == null) {
            throw new ConfigurationException(pathOf(key), "is missing");
        }
        if (!(value >= smallest) || value.isInfinite()) {
            throw new ConfigurationException(pathOf(key), "must be a number above 0");
        }
    }

    /** The string under a key. */
    public String text(String key, String defaultValue) {
        String value = get(key, String.class);
        return value == null ? defaultValue : value;
    }

    /** The boolean under a key. */
    public boolean flag(String key, boolean defaultValue) {
        Boolean value = get(key, Boolean.class);
        return value == null ? defaultValue : value;
    }

    /** The array under a key with values of any type; empty if the key is absent. */
    List<?> list(String key) {
        List<?> values = get(key, List.class);
        return values == null ? List.of() : values;
    }

    /** The array of numbers under a key; empty if the key is absent. */
    public List<Double> numbers(String key) {
        return listOf(key, Double.class, "numbers");
    }

    /** The array of strings under a key; empty if the key is absent. */
    public List<String> texts(String key) {
        return listOf(key, String.class, "strings");
    }

    /** The object under a key; an empty one if the key is absent. */
    @SuppressWarnings("unchecked")
    public ConfigurationObject object(String key) {
        Map<String, Object> members = get(key, Map.class);
        return new ConfigurationObject(members == null ? Map.of() : members, pathOf(key));
    }

    /** The array of objects under a key, each with the path of the array; empty if the key is absent. */
    @SuppressWarnings("unchecked")
    public List<ConfigurationObject> objects(String key) {
        List<ConfigurationObject> objects = new ArrayList<>();
        for (Map<String, Object> members : listOf(key, Map.class, "objects")) {
            objects.add(new ConfigurationObject(members, pathOf(key)));
        }
        return objects;
    }

    private <T> List<T> listOf(String key, Class<T> type, String typeName) {
        List<T> values = new ArrayList<>();
        for (Object value : list(key)) {
            if (!type.isInstance(value)) {
                throw new ConfigurationException(pathOf(key), "must hold " + typeName);
            }
            values.add(type.cast(value));
        }
        return values;
    }

    private <T> T get(String key, Class<T> type) {
        Object value = map.get(key);
        if (value != null && !type.isInstance(value)) {
            throw new ConfigurationException(pathOf(key), "has the wrong type");
        }
        return type.cast(value);
    }

    private String pathOf(String key) {
        return path + "." + key;
    }
}
