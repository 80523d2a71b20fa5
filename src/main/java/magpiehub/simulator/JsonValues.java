package magpiehub.simulator;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.Base64;
import magpiehub.config.ConfigurationException;

/** Reads a parser's current value; a value of another type causes a {@link ConfigurationException}. */
final class JsonValues {
    private JsonValues() {}

    static long readLong(JsonParser parser) throws IOException {
        requireInteger(parser);
        return parser.getLongValue();
    }

    /** Reads an unsigned 64-bit integer; larger values are truncated to their lowest 64 bits. */
    static long readUnsignedLong(JsonParser parser) throws IOException {
        requireInteger(parser);
        return parser.getBigIntegerValue().longValue();
    }

    private static void requireInteger(JsonParser parser) {
        if (parser.currentToken() != JsonToken.VALUE_NUMBER_INT) {
            throw new ConfigurationException("must be an integer");
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

    static String readString(JsonParser parser) throws IOException {
        if (parser.currentToken() != JsonToken.VALUE_STRING) {
            throw new ConfigurationException("must be a string");
        }
        return parser.getText();
    }

    static byte[] readBase64(JsonParser parser) throws IOException {
        String encoded = readString(parser);
        try {
            return Base64.getDecoder().decode(encoded);
        } catch (IllegalArgumentException e) {
            throw new ConfigurationException("is not valid Base64");
        }
    }
}
