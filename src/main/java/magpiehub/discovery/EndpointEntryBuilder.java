package magpiehub.discovery;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import magpiehub.config.ConfigurationException;
import magpiehub.config.EndpointEntry;
import magpiehub.config.HostPort;
import magpiehub.config.SiteSettings;
import magpiehub.routing.Endpoint;

/**
 * Collects the fields of one entry as strings and builds the entry from them. Only {@link #build} reports errors,
 * so that an invalid entry never stops a list parser in the middle of that entry.
 */
public final class EndpointEntryBuilder {
    private static final int MAX_ID_LENGTH = 256;
    private static final double MAX_SIZE = 1e6;

    private final EndpointEntryParser parser;
    private final Map<String, String> values = new HashMap<>(16);

    EndpointEntryBuilder(EndpointEntryParser parser) {
        this.parser = parser;
    }

    /** Sets a field from the value that the parser is positioned at; fields with unknown names are skipped. */
    public void set(String name, JsonParser value) throws IOException {
        if (parser.fieldNamed(name) != null && value.currentToken() != JsonToken.VALUE_NULL) {
            values.put(name, EndpointEntryParser.scalar(value));
        } else {
            value.skipChildren();
        }
    }

    /** Sets a field unless the value is null. */
    public void set(String name, String value) {
        if (value != null) {
            values.put(name, value);
        }
    }

    /** Sets all fields of the object whose start the parser is positioned at. */
    public EndpointEntryBuilder readObject(JsonParser object) throws IOException {
        while (object.nextToken() == JsonToken.FIELD_NAME) {
            String name = object.currentName();
            object.nextToken();
            set(name, object);
        }
        return this;
    }

    /**
     * Builds the entry.
     *
     * @param defaultId the id if the fields contain none; may be null
     * @throws ConfigurationException if a field is invalid; the message names it
     */
    public EndpointEntry build(String defaultId) {
        String id = values.getOrDefault("id", defaultId);
        if (id == null || id.isEmpty() || id.length() > MAX_ID_LENGTH) {
            throw new ConfigurationException("id is missing or longer than " + MAX_ID_LENGTH + " characters");
        }
        String address = values.get("host_port");
        if (address == null) {
            throw new ConfigurationException("host_port is missing");
        }
        HostPort.requireValid(address);
        double size = number("size", 1);
        if (!(size > 0) || size > MAX_SIZE) {
            throw new ConfigurationException("size must be above 0 and at most " + (long) MAX_SIZE);
        }
        SiteSettings site = parser.site();
        Endpoint endpoint = new Endpoint(
                id,
                indexOf("locality", site.zones()),
                indexOf("flavor", site.machineTypes()),
                (int) number("cell", 0),
                parser.parseState(values.getOrDefault("phase", "Ready")),
                size,
                parser.startedAtMicros(number("up_since_ms", 0)));
        return new EndpointEntry(endpoint, address);
    }

    private double number(String field, double defaultValue) {
        String value = values.get(field);
        try {
            return value == null ? defaultValue : Double.parseDouble(value);
        } catch (NumberFormatException e) {
            throw new ConfigurationException(field + " must be a number: " + value);
        }
    }

    /** The index of a zone or machine type that the entry gives by name or by index; 0 if the entry gives none. */
    private int indexOf(String field, List<String> names) {
        String value = values.get(field);
        if (value == null || value.isEmpty()) {
            return 0;
        }
        int index = names.indexOf(value);
        if (index < 0 && value.length() < 10 && value.chars().allMatch(c -> c >= '0' && c <= '9')) {
            index = Integer.parseInt(value);
        }
        if (index < 0 || index >= Math.max(1, names.size())) {
            throw new ConfigurationException(field + " must be one of " + names + ": " + value);
        }
        return index;
    }
}
