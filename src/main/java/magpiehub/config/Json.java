package magpiehub.config;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * JSON values as Java objects: an object is a {@code Map} in the order of its members, an array a {@code List}, a
 * number a {@code Double}, a string a {@code String}, a boolean a {@code Boolean}, and null is null.
 */
public final class Json {
    /**
     * The only factory, so that all parsers share its symbol tables of field names. Safe for use by several threads.
     */
    public static final JsonFactory FACTORY = new JsonFactory();

    private Json() {}

    /**
     * Reads the object at whose start the parser is positioned, and leaves the parser at its end.
     *
     * @throws ConfigurationException if the parser is not at the start of an object
     */
    public static Map<String, Object> readObject(JsonParser parser) throws IOException {
        if (parser.currentToken() != JsonToken.START_OBJECT) {
            throw new ConfigurationException("must be an object");
        }
        Map<String, Object> members = new LinkedHashMap<>();
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            String name = parser.currentName();
            parser.nextToken();
            members.put(name, readValue(parser));
        }
        return members;
    }

    private static Object readValue(JsonParser parser) throws IOException {
        return switch (parser.currentToken()) {
            case START_OBJECT -> readObject(parser);
            case START_ARRAY -> readArray(parser);
            case VALUE_NUMBER_INT, VALUE_NUMBER_FLOAT -> parser.getDoubleValue();
            case VALUE_TRUE -> Boolean.TRUE;
            case VALUE_FALSE -> Boolean.FALSE;
            case VALUE_STRING -> parser.getText();
            default -> null;
        };
    }

    private static List<Object> readArray(JsonParser parser) throws IOException {
        List<Object> values = new ArrayList<>();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            values.add(readValue(parser));
        }
        return values;
    }

    /**
     * Returns the string at which the parser is positioned.
     *
     * @param name the field's name in the error message
     * @throws ConfigurationException if the parser is at anything else
     */
    public static String requireString(JsonParser parser, String name) throws IOException {
        if (parser.currentToken() != JsonToken.VALUE_STRING) {
            throw new ConfigurationException(name, "must be a string");
        }
        return parser.getText();
    }

    /**
     * Returns the number at which the parser is positioned.
     *
     * @param name the field's name in the error message
     * @throws ConfigurationException if the parser is at anything else
     */
    public static double requireNumber(JsonParser parser, String name) throws IOException {
        if (parser.currentToken() == null || !parser.currentToken().isNumeric()) {
            throw new ConfigurationException(name, "must be a number");
        }
        return parser.getDoubleValue();
    }

    /** Serializes a value of the kinds that {@link #readObject} returns; any other value is written as null. */
    static byte[] write(Object value) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (JsonGenerator generator = FACTORY.createGenerator(bytes)) {
            writeValue(generator, value);
        }
        return bytes.toByteArray();
    }

    private static void writeValue(JsonGenerator generator, Object value) throws IOException {
        if (value instanceof Map<?, ?> members) {
            writeObject(generator, members);
        } else if (value instanceof List<?> values) {
            generator.writeStartArray();
            for (Object element : values) {
                writeValue(generator, element);
            }
            generator.writeEndArray();
        } else if (value instanceof Double number) {
            generator.writeNumber(number);
        } else if (value instanceof Boolean flag) {
            generator.writeBoolean(flag);
        } else if (value instanceof String text) {
            generator.writeString(text);
        } else {
            generator.writeNull();
        }
    }

    private static void writeObject(JsonGenerator generator, Map<?, ?> members) throws IOException {
        generator.writeStartObject();
        for (Map.Entry<?, ?> member : members.entrySet()) {
            generator.writeFieldName((String) member.getKey());
            writeValue(generator, member.getValue());
        }
        generator.writeEndObject();
    }
}
