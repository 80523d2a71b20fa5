package magpiehub.protocol;

import java.nio.charset.StandardCharsets;

/** Parses server-sent events, each given as the bytes up to its blank line. */
public final class ServerSentEvents {
    private static final String DATA_FIELD = "data:";
    private static final String LINE_END = "\r\n|\n|\r";

    private ServerSentEvents() {}

    /** Whether the event begins with a comment, which carries no data. */
    static boolean isComment(byte[] event) {
        return event.length > 0 && event[0] == ':';
    }

    /** Returns the event's data: the values of its {@code data} fields, joined by line feeds. */
    public static String data(byte[] event) {
        StringBuilder data = new StringBuilder();
        for (String line : new String(event, StandardCharsets.UTF_8).split(LINE_END)) {
            if (line.startsWith(DATA_FIELD)) {
                // A single space after the colon is not part of the value.
                int valueStart = line.startsWith(DATA_FIELD + " ") ? DATA_FIELD.length() + 1 : DATA_FIELD.length();
                data.append(data.length() > 0 ? "\n" : "").append(line, valueStart, line.length());
            }
        }
        return data.toString();
    }

    /** Whether one of the event's data lines has this value, apart from white space around it. */
    public static boolean hasDataLine(byte[] event, String value) {
        for (String line : new String(event, StandardCharsets.UTF_8).split(LINE_END)) {
            if (line.startsWith(DATA_FIELD)
                    && line.substring(DATA_FIELD.length()).strip().equals(value)) {
                return true;
            }
        }
        return false;
    }
}
