package magpiehub.simulator;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Collects the reply to one batch, a JSON message a line, and sends it in one piece, so that malformed input leaves no
 * reply half written. Not thread-safe.
 */
final class ReplyWriter {
    private static final int INITIAL_CAPACITY = 1 << 14;
    private static final int MICROS_PER_MILLI = 1000;
    private static final int FIRST_PRINTABLE = 0x20;
    private static final int FIRST_BEYOND_PRINTABLE = 0x7f;
    private static final String END_OF_REPLY = "{\"EOR\":{}}\n";

    private byte[] buffer = new byte[INITIAL_CAPACITY];
    private int length;

    /** Drops what was written since the last reply was sent. */
    void clear() {
        length = 0;
    }

    /** Ends the reply and sends it. */
    void send(OutputStream out) throws IOException {
        ascii(END_OF_REPLY);
        out.write(buffer, 0, length);
        out.flush();
        clear();
    }

    /** Begins a message of a simulated router; its fields follow, then {@link #endMessage}. */
    ReplyWriter startMessage(String name, int instance) {
        return ascii("{\"").ascii(name).ascii("\":{\"who\":").digits(instance);
    }

    /** Ends the message begun by {@link #startMessage}. */
    void endMessage() {
        ascii("}}\n");
    }

    /** Adds an integer. */
    ReplyWriter number(String name, long value) {
        return fieldName(name).digits(value);
    }

    /** Adds a truth value. */
    ReplyWriter flag(String name, boolean value) {
        return fieldName(name).ascii(value ? "true" : "false");
    }

    /** Adds a time given in microseconds as milliseconds with three decimals. */
    ReplyWriter millis(String name, long micros) {
        fieldName(name);
        long magnitude = micros;
        if (micros < 0) {
            put('-');
            magnitude = -micros;
        }
        digits(magnitude / MICROS_PER_MILLI);
        put('.');
        int decimals = (int) (magnitude % MICROS_PER_MILLI);
        put('0' + decimals / 100);
        put('0' + decimals / 10 % 10);
        put('0' + decimals % 10);
        return this;
    }

    /** Adds a text, escaped as JSON requires; what is not ASCII is written as UTF-8. */
    ReplyWriter text(String name, String value) {
        fieldName(name);
        put('"');
        int index = 0;
        while (index < value.length()) {
            index = character(value, index);
        }
        put('"');
        return this;
    }

    /** Writes the character at an index and returns the index of the next, which is 2 on for a surrogate pair. */
    private int character(String text, int index) {
        char character = text.charAt(index);
        if (character == '"' || character == '\\') {
            put('\\');
            put(character);
        } else if (character >= FIRST_PRINTABLE && character < FIRST_BEYOND_PRINTABLE) {
            put(character);
        } else if (character < FIRST_PRINTABLE) {
            ascii(String.format("\\u%04x", (int) character));
        } else {
            return beyondAscii(text, index);
        }
        return index + 1;
    }

    private int beyondAscii(String text, int index) {
        boolean pair = Character.isHighSurrogate(text.charAt(index)) && index + 1 < text.length();
        int end = pair ? index + 2 : index + 1;
        for (byte octet : text.substring(index, end).getBytes(StandardCharsets.UTF_8)) {
            put(octet);
        }
        return end;
    }

    private ReplyWriter fieldName(String name) {
        return ascii(",\"").ascii(name).ascii("\":");
    }

    private ReplyWriter ascii(String text) {
        for (int index = 0; index < text.length(); index++) {
            put(text.charAt(index));
        }
        return this;
    }

    private ReplyWriter digits(long value) {
        if (value < 0) {
            put('-');
            return digits(-value);
        }
        if (value >= 10) {
            digits(value / 10);
        }
        put((int) ('0' + value % 10));
        return this;
    }

    private void put(int octet) {
        if (length == buffer.length) {
            buffer = Arrays.copyOf(buffer, length * 2);
        }
        buffer[length++] = (byte) octet;
    }
}
