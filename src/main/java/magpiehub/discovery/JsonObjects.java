package magpiehub.discovery;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.util.ArrayList;
import java.util.List;
import magpiehub.config.ConfigurationException;
import magpiehub.config.Json;

/**
 * Writes and reads JSON objects member by member, without building a tree, because a list of 10,000 endpoints takes
 * several megabytes.
 */
final class JsonObjects {
    private static final int INITIAL_BYTES = 256;
    private static final int MAX_DESCRIPTION_LENGTH = 200;

    private JsonObjects() {}

    /** Writes the members of one object. */
    interface MemberWriter {
        void write(JsonGenerator generator) throws IOException;
    }

    /** Reads the object whose start the parser is positioned at. */
    interface ObjectReader<T> {
        T read(JsonParser parser) throws IOException;
    }

    /** Called for each member of an object, with the parser at the value, which must be read or skipped. */
    interface MemberReader {
        void read(JsonParser parser, String name) throws IOException;
    }

    /** One object, encoded as UTF-8. */
    static byte[] toBytes(MemberWriter members) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream(INITIAL_BYTES);
        try (JsonGenerator generator = Json.FACTORY.createGenerator(out)) {
            generator.writeStartObject();
            members.write(generator);
            generator.writeEndObject();
        }
        return out.toByteArray();
    }

    /** Reads a stream that contains one object to its end, so that its connection can be reused. */
    static <T> T read(InputStream in, ObjectReader<T> reader) throws IOException {
        try (JsonParser parser = Json.FACTORY.createParser(in)) {
            parser.nextToken();
            T value = reader.read(parser);
            if (parser.nextToken() != null) {
                throw new ConfigurationException("contains more than one value");
            }
            return value;
        }
    }

    /**
     * Checks that the parser is positioned at the start of an object, over whose members {@link #nextMember} iterates.
     *
     * @throws ConfigurationException if it is not
     */
    static void expectObject(JsonParser parser) throws IOException {
        if (parser.currentToken() != JsonToken.START_OBJECT) {
            throw new ConfigurationException("expected an object");
        }
    }

    /**
     * Advances to the value of an object's next member, which must be read or skipped before the next call.
     *
     * @return the member's name; null at the end of the object
     */
    static String nextMember(JsonParser parser) throws IOException {
        if (parser.nextToken() != JsonToken.FIELD_NAME) {
            return null;
        }
        String name = parser.currentName();
        parser.nextToken();
        return name;
    }

    /**
     * Reads the members of the object whose start the parser is positioned at.
     *
     * @throws ConfigurationException if the parser is not at the start of an object
     */
    static void forEachMember(JsonParser parser, MemberReader reader) throws IOException {
        expectObject(parser);
        for (String name = nextMember(parser); name != null; name = nextMember(parser)) {
            reader.read(parser, name);
        }
    }

    /**
     * Reads the array of objects whose start the parser is positioned at.
     *
     * @throws ConfigurationException if the parser is not at the start of an array, or the array contains other values
     */
    static <T> List<T> readObjects(JsonParser parser, ObjectReader<T> reader) throws IOException {
        if (parser.currentToken() != JsonToken.START_ARRAY) {
            throw new ConfigurationException("expected an array");
        }
        List<T> objects = new ArrayList<>();
        while (parser.nextToken() == JsonToken.START_OBJECT) {
            objects.add(reader.read(parser));
        }
        if (parser.currentToken() != JsonToken.END_ARRAY) {
            throw new ConfigurationException("must contain objects only");
        }
        return objects;
    }

    /**
     * Reads an unsigned 64-bit integer that is written as a string or as a number. Values of 2^63 and above, which ids
     * may have, are returned as negative numbers and may only be compared for equality.
     */
    static long readUnsignedLong(JsonParser parser) throws IOException {
        return parser.currentToken() == JsonToken.VALUE_STRING
                ? Long.parseUnsignedLong(parser.getText())
                : parser.getBigIntegerValue().longValue();
    }

    /** A short description of why a value can't be read, for the log. */
    static String describe(Exception failure) {
        String message = failure instanceof JsonProcessingException parsing
                ? parsing.getOriginalMessage()
                : String.valueOf(failure.getMessage());
        // Jackson appends the start position in its own buffer, which does not help a reader of the log.
        int source = message.indexOf(" (start marker");
        String text = source < 0 ? message : message.substring(0, source);
        return text.length() > MAX_DESCRIPTION_LENGTH ? text.substring(0, MAX_DESCRIPTION_LENGTH) : text;
    }
}
