package magpiehub.discovery;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.Map;
import java.util.function.Supplier;
import magpiehub.config.ConfigurationException;
import magpiehub.config.EndpointEntry;
import magpiehub.config.EndpointField;
import magpiehub.config.EndpointFieldNames;
import magpiehub.config.HostPort;
import magpiehub.config.Json;
import magpiehub.config.SiteSettings;
import magpiehub.routing.Endpoint;
import magpiehub.routing.EndpointState;

/**
 * What the fields of an entry mean: the discovery page's names, which entries in other registries have too.
 * It owns the words for phases and the two clocks of a start. It must never guess at an entry that other
 * routers could read otherwise: {@link #strict} reading says what is wrong and leaves the rest of the list
 * alone.
 */
final class Entries implements EndpointFieldNames {
    private final Supplier<SiteSettings> site;
    /** Monotonic time less Unix time (us), taken once: entries told twice must give the same start. */
    private final long offset;

    private final boolean strict;

    private Entries(Supplier<SiteSettings> site, long offset, boolean strict) {
        this.site = site;
        this.offset = offset;
        this.strict = strict;
    }

    /** Entries as the platform tells them, believed as they stand; {@code now} is monotonic (us). */
    static Entries platform(Supplier<SiteSettings> site, long now) {
        return new Entries(site, now - System.currentTimeMillis() * 1000, false);
    }

    /** Entries that people and scripts write: each is checked by itself. */
    static Entries strict(Supplier<SiteSettings> site, long now) {
        return new Entries(site, now - System.currentTimeMillis() * 1000, true);
    }

    /** An entry's fields while they are read, as texts: what is wrong is said at the end, so that a parser in
     *  the middle of a list is never left inside an entry. */
    final class Fields {
        private final java.util.Map<String, String> texts = new java.util.HashMap<>(16);

        /** A field by its name on the discovery page; unknown ones are left alone. */
        void set(String name, JsonParser p) throws IOException {
            if (fieldNamed(name) != null && p.currentToken() != JsonToken.VALUE_NULL) {
                texts.put(name, scalar(p));
            } else {
                p.skipChildren();
            }
        }

        void set(String name, String value) {
            if (value != null) {
                texts.put(name, value);
            }
        }

        /** The object that the parser stands at the start of. */
        Fields read(JsonParser p) throws IOException {
            while (p.nextToken() == JsonToken.FIELD_NAME) {
                String name = p.currentName();
                p.nextToken();
                set(name, p);
            }
            return this;
        }

        /**
         * The entry.
         *
         * @param name the id where the fields give none
         * @throws ConfigurationException saying which field is wrong
         */
        EndpointEntry entry(String name) {
            String id = texts.getOrDefault("id", name);
            if (id == null || id.isEmpty() || id.length() > 256) {
                throw new ConfigurationException("id is missing or too long");
            }
            String address = texts.get("host_port");
            if (address == null) {
                throw new ConfigurationException("host_port is missing");
            }
            HostPort.requireValid(address);
            double size = number("size", 1);
            if (!(size > 0) || size > 1e6) {
                throw new ConfigurationException("size must be above 0");
            }
            return new EndpointEntry(
                    new Endpoint(
                            id,
                            place("locality", site.get().zones()),
                            place("flavor", site.get().machineTypes()),
                            (int) number("cell", 0),
                            parseState(texts.getOrDefault("phase", "Ready")),
                            size,
                            startedAtMicros(number("up_since_ms", 0))),
                    address);
        }

        private double number(String field, double absent) {
            String v = texts.get(field);
            try {
                return v == null ? absent : Double.parseDouble(v);
            } catch (NumberFormatException e) {
                throw new ConfigurationException(field + " must be a number: " + v);
            }
        }

        /** A zone's or a kind's number, by its name or as a number; 0 where the entry does not say. */
        private int place(String field, java.util.List<String> all) {
            String v = texts.get(field);
            if (v == null || v.isEmpty()) {
                return 0;
            }
            int i = all.indexOf(v);
            if (i < 0 && v.length() < 10 && v.chars().allMatch(c -> c >= '0' && c <= '9')) {
                i = Integer.parseInt(v);
            }
            if (i < 0 || i >= Math.max(1, all.size())) {
                throw new ConfigurationException(field + " is none of " + all + ": " + v);
            }
            return i;
        }
    }

    /** A text, number or flag as a text; what is neither can be nobody's value. */
    static String scalar(JsonParser p) throws IOException {
        if (p.currentToken().isScalarValue()) {
            return p.getText();
        }
        p.skipChildren();
        return "\0";
    }

    /**
     * One entry as a JSON text, for example
     * {@code {"id":"s-1","host_port":"10.1.0.18:8080","locality":"a","phase":"Ready","size":1.0}}.
     *
     * @param name the id where the text gives none
     * @throws ConfigurationException saying which field is wrong
     */
    EndpointEntry read(byte[] json, String name) throws IOException {
        if (json.length > 64 * 1024) {
            throw new ConfigurationException("larger than 64 KiB");
        }
        try (JsonParser p = Json.FACTORY.createParser(json)) {
            if (p.nextToken() != JsonToken.START_OBJECT) {
                throw new ConfigurationException("must be an object");
            }
            Fields f = new Fields().read(p);
            if (p.currentToken() != JsonToken.END_OBJECT || p.nextToken() != null) {
                throw new ConfigurationException("must be one whole object");
            }
            return f.entry(name);
        }
    }

    @Override
    public EndpointField fieldNamed(String name) {
        return switch (name) {
            case "id" -> EndpointField.ID;
            case "host_port" -> EndpointField.ADDRESS;
            case "locality" -> EndpointField.ZONE;
            case "flavor" -> EndpointField.MACHINE_TYPE;
            case "cell" -> EndpointField.CELL;
            case "phase" -> EndpointField.STATE;
            case "size" -> EndpointField.WEIGHT;
            case "up_since_ms" -> EndpointField.STARTED_AT;
            default -> null;
        };
    }

    @Override
    public int readIndex(EndpointField field, JsonParser p) throws IOException {
        if (p.currentToken().isNumeric()) {
            return p.getIntValue();
        }
        SiteSettings now = site.get();
        return (field == EndpointField.ZONE ? now.zones() : now.machineTypes())
                .indexOf(Json.requireText(p, field.label()));
    }

    @Override
    public EndpointState parseState(String word) {
        return switch (word) {
            case "Ready" -> EndpointState.LIVE;
            case "Terminating" -> EndpointState.DRAINING;
            case "Gone" -> EndpointState.DEAD;
            default -> {
                if (strict) {
                    throw new ConfigurationException("phase is none of Ready, Terminating, Gone: " + word);
                }
                // Guards against sending work to an engine in a phase that this program does not know.
                yield EndpointState.DRAINING;
            }
        };
    }

    @Override
    public long startedAtMicros(double ms) {
        return ms <= 0 ? 0 : Math.max(1, Math.round(ms * 1000) + offset);
    }

    /** The inverse of {@link Fields}, for a list kept on disk. */
    Map<String, Object> write(EndpointEntry e) {
        Endpoint s = e.endpoint();
        Map<String, Object> m = new java.util.LinkedHashMap<>();
        m.put("id", s.id());
        m.put("host_port", e.address());
        m.put("locality", named(site.get().zones(), s.zone()));
        m.put("flavor", named(site.get().machineTypes(), s.kind()));
        m.put("cell", (double) s.cell());
        m.put("phase", s.state() == EndpointState.LIVE ? "Ready" : "Terminating");
        m.put("size", s.weight());
        m.put("up_since_ms", s.onlineSince() == 0 ? 0.0 : (double) ((s.onlineSince() - offset) / 1000));
        return m;
    }

    /** A place's name, or its number where the settings have none. */
    private static Object named(java.util.List<String> names, int place) {
        return place < names.size() ? names.get(place) : (Object) (double) place;
    }
}
