package magpiehub.config;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import magpiehub.routing.Endpoint;
import magpiehub.routing.EndpointState;

/** Parses the entries of an endpoint list. Unknown fields are ignored; an entry without an id is an error. */
public final class EndpointListParser {
    private EndpointListParser() {}

    /**
     * Parses the array at whose start the parser is positioned, and leaves the parser at its end.
     *
     * @throws ConfigurationException if the parser is not at the start of an array, or an entry is malformed
     */
    public static List<EndpointEntry> parse(JsonParser parser, EndpointFieldNames names) throws IOException {
        if (parser.currentToken() != JsonToken.START_ARRAY) {
            throw new ConfigurationException("must be an array");
        }
        List<EndpointEntry> entries = new ArrayList<>();
        while (parser.nextToken() == JsonToken.START_OBJECT) {
            entries.add(parseEntry(parser, names));
        }
        if (parser.currentToken() != JsonToken.END_ARRAY) {
            throw new ConfigurationException("must hold objects only");
        }
        return entries;
    }

    private static EndpointEntry parseEntry(JsonParser parser, EndpointFieldNames names) throws IOException {
        String id = null;
        String address = null;
        EndpointState state = EndpointState.LIVE;
        int zone = 0;
        int machineType = 0;
        int cell = 0;
        double weight = 1;
        double startedAt = 0;
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            String name = parser.currentName();
            EndpointField field = names.fieldNamed(name);
            parser.nextToken();
            if (field == null) {
                parser.skipChildren();
                continue;
            }
            switch (field) {
                case ID -> id = Json.requireString(parser, name);
                case ADDRESS -> address = Json.requireString(parser, name);
                case STATE -> state = names.parseState(Json.requireString(parser, name));
                case ZONE -> zone = names.readIndex(field, parser);
                case MACHINE_TYPE -> machineType = names.readIndex(field, parser);
                case CELL -> cell = (int) Json.requireNumber(parser, name);
                case WEIGHT -> weight = Json.requireNumber(parser, name);
                case STARTED_AT -> startedAt = Json.requireNumber(parser, name);
                default -> throw new AssertionError(field);
            }
        }
        if (id == null) {
            throw new ConfigurationException("an entry has no id");
        }
        long startedAtMicros = names.startedAtMicros(startedAt);
        return new EndpointEntry(new Endpoint(id, zone, machineType, cell, state, weight, startedAtMicros), address);
    }
}
