package magpiehub.simulator;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.io.InputStream;
import magpiehub.config.ConfigurationException;
import magpiehub.config.Json;

/**
 * Reads the simulator's messages, which are objects of the form <code>{"NAME":{fields}}</code>. Tracks the position
 * in the input for error messages. Not thread-safe.
 */
final class MessageReader {
    private final JsonParser parser;
    private final MessageFields fields = new MessageFields();
    private String messageName = "";
    private String fieldName = "";

    MessageReader(InputStream in) throws IOException {
        parser = Json.FACTORY.createParser(in);
    }

    /**
     * Returns the next message, or null at the end of the input. The next call overwrites the returned object.
     *
     * @throws MalformedMessageException if the input is valid JSON but not a valid message
     */
    MessageFields next() throws IOException {
        if (parser.nextToken() == null) {
            return null;
        }
        messageName = "";
        fieldName = "";
        expect(parser.currentToken(), JsonToken.START_OBJECT, "a message must be an object");
        expect(parser.nextToken(), JsonToken.FIELD_NAME, "a message must have a name");
        messageName = parser.currentName();
        expect(parser.nextToken(), JsonToken.START_OBJECT, "the fields must be an object");
        readFields();
        expect(parser.nextToken(), JsonToken.END_OBJECT, "a message must have exactly one name");
        return fields;
    }

    private void readFields() throws IOException {
        fields.reset(messageName);
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            fieldName = parser.currentName();
            parser.nextToken();
            readField();
        }
        fieldName = "";
        expect(parser.currentToken(), JsonToken.END_OBJECT, "the fields object must be closed");
    }

    private void readField() throws IOException {
        try {
            fields.readField(fieldName, parser);
        } catch (ConfigurationException e) {
            throw new MalformedMessageException(location(), e.getMessage());
        }
    }

    private void expect(JsonToken actual, JsonToken expected, String reason) {
        if (actual != expected) {
            throw new MalformedMessageException(location(), reason);
        }
    }

    /** The message being read, or {@code message.field} within one of its fields; empty between messages. */
    String location() {
        return fieldName.isEmpty() ? messageName : messageName + "." + fieldName;
    }

    /** The current line of the input, counted from 1. */
    int lineNumber() {
        return parser.currentLocation().getLineNr();
    }
}
