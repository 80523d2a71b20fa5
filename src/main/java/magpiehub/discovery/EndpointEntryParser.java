package magpiehub.discovery;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.List;
import java.util.function.Supplier;
import magpiehub.config.ConfigurationException;
import magpiehub.config.EndpointEntry;
import magpiehub.config.EndpointField;
import magpiehub.config.EndpointFieldNames;
import magpiehub.config.Json;
import magpiehub.config.SiteSettings;
import magpiehub.routing.Endpoint;
import magpiehub.routing.EndpointState;

/**
 * Parses and writes the entries of endpoint lists. The platform's discovery and the registries use the same
 * field names.
 *
 * <p>A strict parser rejects an entry that routers of other versions might interpret differently; the other entries
 * of the list are not affected. Thread-safe.
 */
public final class EndpointEntryParser implements EndpointFieldNames {
    private static final int MAX_ENTRY_BYTES = 64 * 1024;
    private static final long MICROS_PER_MILLI = 1000;

    private final Supplier<SiteSettings> site;
    /** Monotonic time minus Unix time. Computed once, so that an entry read twice gives the same start time. */
    private final long monotonicOffsetMicros;

    private final boolean strict;

    private EndpointEntryParser(Supplier<SiteSettings> site, long nowMicros, boolean strict) {
        this.site = site;
        this.monotonicOffsetMicros = nowMicros - System.currentTimeMillis() * MICROS_PER_MILLI;
        this.strict = strict;
    }

    /** A parser for the platform's entries, which are trusted; {@code nowMicros} is monotonic. */
    public static EndpointEntryParser lenient(Supplier<SiteSettings> site, long nowMicros) {
        return new EndpointEntryParser(site, nowMicros, false);
    }

    /** A parser for entries written by operators and scripts, each of which is validated. */
    public static EndpointEntryParser strict(Supplier<SiteSettings> site, long nowMicros) {
        return new EndpointEntryParser(site, nowMicros, true);
    }

    /** Starts an entry whose fields are set one at a time. */
    public EndpointEntryBuilder newEntry() {
        return new EndpointEntryBuilder(this);
    }

    SiteSettings site() {
        return site.get();
    }

    /** A string, number or boolean as a string; for arrays and objects a string that is not a valid value. */
    public static String scalar(JsonParser parser) throws IOException {
        if (parser.currentToken().isScalarValue()) {
            return parser.getText();
        }
        parser.skipChildren();
        return "\0";
    }

    /**
     * Parses one entry from a JSON document, for example
     * {@code {"id":"s-1","host_port":"10.1.0.18:8080","locality":"a","phase":"Ready","size":1.0}}.
     *
     * @param defaultId the id if the document contains none; may be null
     * @throws ConfigurationException if the document or a field is invalid; the message names the field
     */
    public EndpointEntry read(byte[] json, String defaultId) throws IOException {
        if (json.length > MAX_ENTRY_BYTES) {
            throw new ConfigurationException("larger than 64 KiB");
        }
        try (JsonParser parser = Json.FACTORY.createParser(json)) {
            if (parser.nextToken() != JsonToken.START_OBJECT) {
                throw new ConfigurationException("must be an object");
            }
            EndpointEntryBuilder entry = newEntry().readObject(parser);
            if (parser.currentToken() != JsonToken.END_OBJECT || parser.nextToken() != null) {
                throw new ConfigurationException("must be exactly one complete object");
            }
            return entry.build(defaultId);
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
    public int readIndex(EndpointField field, JsonParser parser) throws IOException {
        if (parser.currentToken().isNumeric()) {
            return parser.getIntValue();
        }
        SiteSettings settings = site.get();
        List<String> names = field == EndpointField.ZONE ? settings.zones() : settings.machineTypes();
        return names.indexOf(Json.requireString(parser, field.label()));
    }

    @Override
    public EndpointState parseState(String phase) {
        return switch (phase) {
            case "Ready" -> EndpointState.LIVE;
            case "Terminating" -> EndpointState.DRAINING;
            case "Gone" -> EndpointState.DEAD;
            default -> {
                if (strict) {
                    throw new ConfigurationException("phase must be Ready, Terminating or Gone: " + phase);
                }
                // Avoids sending requests to an endpoint in a phase that this version does not know.
                yield EndpointState.DRAINING;
            }
        };
    }

    /** Converts a start time from Unix milliseconds to monotonic microseconds; 0 stands for none and stays 0. */
    @Override
    public long startedAtMicros(double unixMillis) {
        return unixMillis <= 0 ? 0 : Math.max(1, Math.round(unixMillis * MICROS_PER_MILLI) + monotonicOffsetMicros);
    }

    /** Writes an entry as a JSON object that {@link EndpointEntryBuilder#readObject} reads. */
    void write(EndpointEntry entry, JsonGenerator json) throws IOException {
        Endpoint endpoint = entry.endpoint();
        json.writeStartObject();
        json.writeStringField("id", endpoint.id());
        json.writeStringField("host_port", entry.address());
        writeName(json, "locality", site.get().zones(), endpoint.zone());
        writeName(json, "flavor", site.get().machineTypes(), endpoint.machineType());
        json.writeNumberField("cell", (double) endpoint.cell());
        json.writeStringField("phase", endpoint.state() == EndpointState.LIVE ? "Ready" : "Terminating");
        json.writeNumberField("size", endpoint.weight());
        json.writeNumberField("up_since_ms", unixMillis(endpoint.startedAt()));
        json.writeEndObject();
    }

    /** The inverse of {@link #startedAtMicros}, truncated to whole milliseconds. */
    private double unixMillis(long startedAtMicros) {
        if (startedAtMicros == 0) {
            return 0;
        }
        long wholeMillis = (startedAtMicros - monotonicOffsetMicros) / MICROS_PER_MILLI;
        return (double) wholeMillis;
    }

    /** Writes the name of a zone or machine type, or its index if the settings have no name for it. */
    private static void writeName(JsonGenerator json, String field, List<String> names, int index) throws IOException {
        if (index < names.size()) {
            json.writeStringField(field, names.get(index));
        } else {
            json.writeNumberField(field, (double) index);
        }
    }
}
