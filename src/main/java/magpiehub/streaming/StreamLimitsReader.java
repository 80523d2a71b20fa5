package magpiehub.streaming;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import magpiehub.config.ConfigurationException;
import magpiehub.config.ConfigurationObject;
import magpiehub.routing.RequestClass;
import magpiehub.streaming.StreamLimits.ClassLimits;

/**
 * Reads {@link StreamLimits} from {@code deploy/streams.json}. Throws a {@link ConfigurationException} that names the
 * file and the key if a key is unknown, a value has the wrong type, or a value is out of bounds.
 */
public final class StreamLimitsReader {
    private static final long MICROS_PER_MILLI = 1000;
    private static final long BYTES_PER_KB = 1024;

    private static final long DAY_MS = 86_400_000;
    private static final long MIN_TIME_MS = 100;
    /** By default, buffers may take this fraction of the heap: one eighth. */
    private static final long DEFAULT_HEAP_DIVISOR = 8;
    /** Buffers may be configured to take at most this fraction of the heap: one half. */
    private static final long MAX_HEAP_DIVISOR = 2;

    private static final long MIN_DEFAULT_BUDGET_KB = 1024;
    private static final long MIN_BUDGET_KB = 256;
    private static final long MAX_SEND_BUFFER_KB = 4096;
    private static final long DEFAULT_BUFFER_KB = 512;
    private static final long MIN_BUFFER_KB = 64;
    private static final long MAX_BUFFER_KB = 65_536;
    private static final long DEFAULT_CLIENT_STALL_MS = 30_000;
    private static final long DEFAULT_SILENCE_MS = 2_000;
    /**
     * A client that does not resume streams must not be left waiting for 5 s after the upstream's last event, but a
     * shorter silence must not cost it the stream. The difference is for the timer's interval and for a hold-up.
     */
    private static final long DEFAULT_NON_RESUMABLE_SILENCE_MS = 4_750;

    private static final long DEFAULT_STALL_FACTOR = 8;
    private static final long MIN_STALL_FACTOR = 2;
    private static final long MAX_STALL_FACTOR = 1000;

    private static final ClassLimits DEFAULT_CLASS_LIMITS = new ClassLimits(
            DEFAULT_BUFFER_KB * BYTES_PER_KB,
            DEFAULT_CLIENT_STALL_MS * MICROS_PER_MILLI,
            DEFAULT_NON_RESUMABLE_SILENCE_MS * MICROS_PER_MILLI,
            DAY_MS * MICROS_PER_MILLI);

    private StreamLimitsReader() {}

    /** The limits that apply without a file. */
    public static StreamLimits defaults(List<RequestClass> classes, long maxHeapBytes) {
        return parse(new ConfigurationObject(Map.of(), "streams.json"), classes, maxHeapBytes);
    }

    /**
     * Reads the limits from a file, or returns the {@link #defaults} if the file does not exist.
     *
     * @param maxHeapBytes the maximum heap size, which bounds the budget
     */
    public static StreamLimits read(Path file, List<RequestClass> classes, long maxHeapBytes) throws IOException {
        if (!Files.exists(file)) {
            return defaults(classes, maxHeapBytes);
        }
        String name = file.getFileName().toString();
        try {
            return parse(ConfigurationObject.parse(Files.readAllBytes(file), name), classes, maxHeapBytes);
        } catch (ConfigurationException e) {
            throw e.getMessage().startsWith(name) ? e : new ConfigurationException(name + ": " + e.getMessage());
        }
    }

    /** Parses the limits from the JSON object of the file. */
    public static StreamLimits parse(ConfigurationObject file, List<RequestClass> classes, long maxHeapBytes) {
        CheckedObject top = new CheckedObject(file, "");
        long heapKb = maxHeapBytes / DEFAULT_HEAP_DIVISOR / BYTES_PER_KB;
        long budgetBytes = top.number(
                        "budget_kb",
                        Math.max(MIN_DEFAULT_BUDGET_KB, heapKb),
                        MIN_BUDGET_KB,
                        maxHeapBytes / MAX_HEAP_DIVISOR / BYTES_PER_KB)
                * BYTES_PER_KB;
        long sendBufferBytes = top.number("send_buffer_kb", 0, 0, MAX_SEND_BUFFER_KB) * BYTES_PER_KB;
        boolean halfClose = file.flag("half_close", false);
        boolean logsComplete = file.flag("log_whole", false);
        StallLimits stall = parseStall(top);
        ClassLimits common = parseClass(top, DEFAULT_CLASS_LIMITS);
        Map<String, ClassLimits> overrides = parseOverrides(file.object("classes"), classes, common);
        top.requireNoOtherKeys(Set.of("half_close", "log_whole", "classes"));
        List<ClassLimits> byIndex = new ArrayList<>();
        for (RequestClass requestClass : classes) {
            byIndex.add(overrides.getOrDefault(requestClass.name(), common));
        }
        return new StreamLimits(
                budgetBytes, (int) sendBufferBytes, halfClose, logsComplete, stall, List.copyOf(byIndex));
    }

    private static StallLimits parseStall(CheckedObject object) {
        long maxMicros = object.number("silence_ms", DEFAULT_SILENCE_MS, MIN_TIME_MS, DAY_MS) * MICROS_PER_MILLI;
        long minMicros =
                object.number("stall_least_ms", maxMicros / MICROS_PER_MILLI, MIN_TIME_MS, DAY_MS) * MICROS_PER_MILLI;
        double factor = object.number("stall_factor", DEFAULT_STALL_FACTOR, MIN_STALL_FACTOR, MAX_STALL_FACTOR);
        return new StallLimits(Math.min(maxMicros, minMicros), maxMicros, factor);
    }

    private static Map<String, ClassLimits> parseOverrides(
            ConfigurationObject byName, List<RequestClass> classes, ClassLimits common) {
        Map<String, ClassLimits> overrides = new LinkedHashMap<>();
        for (String name : byName.map().keySet()) {
            if (classes.stream().noneMatch(known -> known.name().equals(name))) {
                throw new ConfigurationException("classes." + name + " is not a class of this site");
            }
            CheckedObject object = new CheckedObject(byName.object(name), "classes." + name + ".");
            overrides.put(name, parseClass(object, common));
            object.requireNoOtherKeys(Set.of());
        }
        return overrides;
    }

    private static ClassLimits parseClass(CheckedObject object, ClassLimits defaults) {
        return new ClassLimits(
                object.number("buffer_kb", defaults.bufferBytes() / BYTES_PER_KB, MIN_BUFFER_KB, MAX_BUFFER_KB)
                        * BYTES_PER_KB,
                object.millis("pause_ms", defaults.clientStallMicros()),
                object.millis("hold_ms", defaults.nonResumableSilenceMicros()),
                object.millis("comments_ms", defaults.commentsOnlyMicros()));
    }

    /** A JSON object whose numbers are checked against bounds; records the keys that have been read. */
    private static final class CheckedObject {
        private final ConfigurationObject object;
        private final String path;
        private final Set<String> readKeys = new TreeSet<>();

        CheckedObject(ConfigurationObject object, String path) {
            this.object = object;
            this.path = path;
        }

        /** The integer for a key; throws if it is out of bounds. */
        long number(String key, long defaultValue, long min, long max) {
            readKeys.add(key);
            double value = object.number(key, (double) defaultValue);
            if (value != Math.rint(value) || value < min || value > max) {
                throw new ConfigurationException(path + key + " must be a whole number from " + min + " to " + max);
            }
            return (long) value;
        }

        /** The time for a key, converted from milliseconds to microseconds. */
        long millis(String key, long defaultMicros) {
            return number(key, defaultMicros / MICROS_PER_MILLI, MIN_TIME_MS, DAY_MS) * MICROS_PER_MILLI;
        }

        /** Throws if there is any other key, so that a misspelled key is not silently ignored. */
        void requireNoOtherKeys(Set<String> alsoKnown) {
            for (String key : object.map().keySet()) {
                if (!readKeys.contains(key) && !alsoKnown.contains(key)) {
                    throw new ConfigurationException(path + key + " is not a setting of this file");
                }
            }
        }
    }
}
