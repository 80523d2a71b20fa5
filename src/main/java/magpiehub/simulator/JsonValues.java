package magpiehub.simulator;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.Base64;
import magpiehub.config.ConfigurationException;

/** Reads the value that a parser stands at; a value of another type is a {@link ConfigurationException}. */
final class JsonValues {
    private JsonValues() {}

    static long readLong(JsonParser parser) throws IOException {
        requireInteger(parser);
        return parser.getLongValue();
    }

    /** The value of its lowest 64 bits, for an integer that may use all of them without a sign. */
    static long readUnsignedLong(JsonParser parser) throws IOException {
        requireInteger(parser);
        return parser.getBigIntegerValue().longValue();
    }

    private static void requireInteger(JsonParser parser) {
        if (parser.currentToken() != JsonToken.VALUE_NUMBER_INT) {
            throw new ConfigurationException("must be a whole number");
        }
    }

    static double readDouble(JsonParser parser) throws IOException {
        if (!parser.currentToken().isNumeric()) {
            throw new ConfigurationException("must be a number");
        }
        return parser.getDoubleValue();
    }

    static boolean readBoolean(JsonParser parser) throws IOException {
        if (!parser.currentToken().isBoolean()) {
            throw new ConfigurationException("must be true or false");
        }
        return parser.getBooleanValue();
    }

    static String readText(JsonParser parser) throws IOException {
        if (parser.currentToken() != JsonToken.VALUE_STRING) {
            throw new ConfigurationException("must be a text");
        }
        return parser.getText();
    }

    static byte[] readBase64(JsonParser parser) throws IOException {
        String text = readText(parser);
        try {
            return Base64.getDecoder().decode(text);
        } catch (IllegalArgumentException e) {
            throw new ConfigurationException("is not base64");
        }
    }
}
