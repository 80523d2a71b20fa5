package magpiehub.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** An object's members: absent keys take a default, values of the wrong type are malformed. */
public record ConfigurationObject(Map<String, Object> map, String path) {
    private <T> T get(String key, Class<T> type) {
        Object v = map.get(key);
        if (v != null && !type.isInstance(v)) {
            throw new ConfigurationException(path + "." + key + " has the wrong type");
        }
        return type.cast(v);
    }

    public double number(String key, double absent) {
        Double v = get(key, Double.class);
        return v == null ? absent : v;
    }

    /** Of a value that has to be there, and above 0 in whole units of so much. */
    void positive(String key, double unit) {
        Double v = get(key, Double.class);
        if (v == null || !(v >= unit) || v.isInfinite()) {
            throw new ConfigurationException(
                    path + "." + key + (v == null ? " is missing" : " must be a number above 0"));
        }
    }

    long micros(String key, double absentMs) {
        return Config.micros(number(key, absentMs));
    }

    public String text(String key, String absent) {
        String v = get(key, String.class);
        return v == null ? absent : v;
    }

    public boolean flag(String key, boolean absent) {
        Boolean v = get(key, Boolean.class);
        return v == null ? absent : v;
    }

    List<?> list(String key) {
        List<?> v = get(key, List.class);
        return v == null ? List.of() : v;
    }

    private <T> List<T> all(String key, Class<T> type, String what) {
        List<T> r = new ArrayList<>();
        for (Object o : list(key)) {
            if (!type.isInstance(o)) {
                throw new ConfigurationException(path + "." + key + " must hold " + what);
            }
            r.add(type.cast(o));
        }
        return r;
    }

    public List<Double> numbers(String key) {
        return all(key, Double.class, "numbers");
    }

    public List<String> texts(String key) {
        return all(key, String.class, "texts");
    }

    @SuppressWarnings("unchecked")
    public ConfigurationObject object(String key) {
        Map<String, Object> m = get(key, Map.class);
        return new ConfigurationObject(m == null ? Map.of() : m, path + "." + key);
    }

    @SuppressWarnings("unchecked")
    public List<ConfigurationObject> objects(String key) {
        List<ConfigurationObject> r = new ArrayList<>();
        for (Map<String, Object> m : all(key, Map.class, "objects")) {
            r.add(new ConfigurationObject(m, path + "." + key));
        }
        return r;
    }
}
