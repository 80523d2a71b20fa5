package magpiehub.telemetry;

import java.time.Instant;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;

/**
 * Formats events as RFC 5424 messages, one per line, with a header and structured data but no MSG part. Characters that
 * would terminate a name, a value or the message early are replaced or escaped. Immutable.
 */
final class SyslogFormatter {
    /** The facility local0. */
    private static final int FACILITY = 16;
    /** PRIVAL is the facility times this, plus the severity. */
    private static final int SEVERITIES_PER_FACILITY = 8;

    private static final int WARNING = 4;
    private static final int INFORMATIONAL = 6;
    private static final String APP_NAME = "magpiehub";
    /** The program name with the enterprise number that RFC 5612 reserves for documentation. */
    private static final String SD_ID = "magpiehub@32473";
    /** RFC 5424's NILVALUE, for an absent field. */
    private static final String NIL_VALUE = "-";

    private static final int MAX_HOSTNAME_LENGTH = 255;
    /** RFC 5424's length limit for MSGID and SD-NAME. */
    private static final int MAX_NAME_LENGTH = 32;

    private static final int TYPICAL_LINE_LENGTH = 160;
    private static final char DELETE = 0x7f;
    private static final DateTimeFormatter TIMESTAMP =
            DateTimeFormatter.ofPattern("yyyy-MM-dd'T'HH:mm:ss.SSSSSS'Z'").withZone(ZoneOffset.UTC);

    private final String host;
    private final long processId;

    /**
     * Creates a formatter for the messages of one process.
     *
     * @param host the HOSTNAME, which is the router's name
     */
    SyslogFormatter(String host, long processId) {
        this.host = cleanName(host, MAX_HOSTNAME_LENGTH);
        this.processId = processId;
    }

    /** Formats an event as one line, including the line terminator. A trailing name without a value is omitted. */
    String format(Instant time, String event, String... namesAndValues) {
        StringBuilder line = new StringBuilder(TYPICAL_LINE_LENGTH);
        appendHeader(line, time, event);
        if (namesAndValues.length < 2) {
            return line.append(NIL_VALUE).append('\n').toString();
        }
        line.append('[').append(SD_ID);
        for (int i = 0; i + 1 < namesAndValues.length; i += 2) {
            line.append(' ').append(cleanName(namesAndValues[i], MAX_NAME_LENGTH));
            line.append("=\"");
            appendEscaped(line, String.valueOf(namesAndValues[i + 1]));
            line.append('"');
        }
        return line.append("]\n").toString();
    }

    private void appendHeader(StringBuilder line, Instant time, String event) {
        line.append('<').append(FACILITY * SEVERITIES_PER_FACILITY + severity(event));
        line.append(">1 ").append(TIMESTAMP.format(time));
        line.append(' ').append(host);
        line.append(' ').append(APP_NAME);
        line.append(' ').append(processId);
        line.append(' ').append(cleanName(event, MAX_NAME_LENGTH));
        line.append(' ');
    }

    /** Events whose names denote a fault are warnings. */
    private static int severity(String event) {
        boolean isFault = event.endsWith("exception")
                || event.contains("fail")
                || event.contains("unreadable")
                || event.contains("broke")
                || event.contains("without-end")
                || event.contains("error");
        return isFault ? WARNING : INFORMATIONAL;
    }

    /** Escapes characters that would terminate the value; replaces control characters, such as newlines, by spaces. */
    private static void appendEscaped(StringBuilder line, String value) {
        for (int i = 0; i < value.length(); i++) {
            char c = value.charAt(i);
            if (c == '"' || c == '\\' || c == ']') {
                line.append('\\').append(c);
            } else {
                line.append(c < ' ' || c == DELETE ? ' ' : c);
            }
        }
    }

    /** Truncates a name and replaces all but printable ASCII and the delimiters of headers and parameters. */
    private static String cleanName(String name, int maxLength) {
        StringBuilder clean = new StringBuilder();
        for (int i = 0; i < name.length() && clean.length() < maxLength; i++) {
            char c = name.charAt(i);
            clean.append(c <= ' ' || c >= DELETE || c == '=' || c == ']' || c == '"' ? '_' : c);
        }
        return clean.length() == 0 ? NIL_VALUE : clean.toString();
    }
}
