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

/**
 * What {@code deploy/streams.json} says, or what holds without it. It owns the names, units, defaults and
 * bounds of those settings, and must never guess: an unknown field, a wrong type or a value out of bounds is
 * {@link ConfigurationException} with the file's and the field's name. {@code docs/ops/streams.md} describes each.
 *
 * @param budget bytes that all streams together may hold between their engines' sockets and their clients'
 * @param sendBuffer the system's send buffer of a client's socket (bytes); 0 leaves it to the system
 * @param halfClose whether a client that has closed its sending side, on a front that can find out, reads on
 * @param logAll whether whole streams get a line in the log, too
 * @param classes a class's own, by its number in the settings
 */
public record StreamLimits(
        long budget,
        int sendBuffer,
        boolean halfClose,
        boolean logAll,
        StallDetector.Options pace,
        List<PerClass> classes) {
    /**
     * What one class of requests may take.
     *
     * @param buffer bytes that one client may leave untaken before its engine has to wait
     * @param pause how long a client's socket may take nothing while bytes wait (us)
     * @param hold how long a silent engine is waited for where clients don't ask for the rest (us)
     * @param comments how long an engine may send comments and no event (us)
     */
    public record PerClass(long buffer, long pause, long hold, long comments) {}

    private static final long MS = 1000;
    private static final long KB = 1024;
    /** What holds without a file. */
    private static final long BUFFER_KB = 512;

    private static final long PAUSE_MS = 30_000;
    private static final long SILENCE_MS = 2_000;
    private static final long FOR_EVER_MS = 86_400_000;

    /** What holds without a file: today's values, and an eighth of the heap for all streams. */
    public static StreamLimits none(List<RequestClass> classes, long heap) {
        return of(new ConfigurationObject(Map.of(), "streams.json"), classes, heap);
    }

    /** The file's settings; {@link #none} if there is no such file. {@code heap}: the JVM's limit (bytes). */
    public static StreamLimits read(Path file, List<RequestClass> classes, long heap) throws IOException {
        if (!Files.exists(file)) {
            return none(classes, heap);
        }
        String name = file.getFileName().toString();
        try {
            return of(ConfigurationObject.parse(Files.readAllBytes(file), name), classes, heap);
        } catch (ConfigurationException e) {
            throw e.getMessage().startsWith(name) ? e : new ConfigurationException(name + ": " + e.getMessage());
        }
    }

    public static StreamLimits of(ConfigurationObject f, List<RequestClass> classes, long heap) {
        Reading r = new Reading(f, "");
        long budget = r.number("budget_kb", Math.max(1024, heap / 8 / KB), 256, heap / 2 / KB) * KB;
        long sendBuffer = r.number("send_buffer_kb", 0, 0, 4096) * KB;
        boolean halfClose = f.flag("half_close", false);
        boolean logAll = f.flag("log_whole", false);
        long ceiling = r.number("silence_ms", SILENCE_MS, 100, FOR_EVER_MS) * MS;
        long floor = Math.min(ceiling, r.number("stall_least_ms", ceiling / MS, 100, FOR_EVER_MS) * MS);
        double factor = r.number("stall_factor", 8, 2, 1000);
        PerClass all = perClass(r, new PerClass(BUFFER_KB * KB, PAUSE_MS * MS, FOR_EVER_MS * MS, FOR_EVER_MS * MS));
        Map<String, PerClass> own = new LinkedHashMap<>();
        ConfigurationObject named = f.object("classes");
        for (String c : named.map().keySet()) {
            if (classes.stream().noneMatch(k -> k.name().equals(c))) {
                throw new ConfigurationException("classes." + c + " is not a class of this site's");
            }
            Reading of = new Reading(named.object(c), "classes." + c + ".");
            own.put(c, perClass(of, all));
            of.nothingElse(Set.of());
        }
        r.nothingElse(Set.of("half_close", "log_whole", "classes"));
        List<PerClass> byNumber = new ArrayList<>();
        for (RequestClass c : classes) {
            byNumber.add(own.getOrDefault(c.name(), all));
        }
        return new StreamLimits(
                budget,
                (int) sendBuffer,
                halfClose,
                logAll,
                new StallDetector.Options(floor, ceiling, factor),
                List.copyOf(byNumber));
    }

    private static PerClass perClass(Reading r, PerClass or) {
        return new PerClass(
                r.number("buffer_kb", or.buffer / KB, 64, 65_536) * KB,
                r.number("pause_ms", or.pause / MS, 100, FOR_EVER_MS) * MS,
                r.number("hold_ms", or.hold / MS, 100, FOR_EVER_MS) * MS,
                r.number("comments_ms", or.comments / MS, 100, FOR_EVER_MS) * MS);
    }

    /** Fields that are read are known; any other is a mistake. */
    private static final class Reading {
        private final ConfigurationObject facts;
        private final String path;
        private final Set<String> known = new TreeSet<>();

        Reading(ConfigurationObject facts, String path) {
            this.facts = facts;
            this.path = path;
        }

        long number(String name, long or, long least, long most) {
            known.add(name);
            double v = facts.number(name, (double) or);
            if (v != Math.rint(v) || v < least || v > most) {
                throw new ConfigurationException(path + name + " must be a whole number from " + least + " to " + most);
            }
            return (long) v;
        }

        void nothingElse(Set<String> more) {
            for (String name : facts.map().keySet()) {
                if (!known.contains(name) && !more.contains(name)) {
                    throw new ConfigurationException(path + name + " is not a setting of this file");
                }
            }
        }
    }
}
