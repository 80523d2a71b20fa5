package magpiehub.upstream;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import magpiehub.config.ConfigurationObject;
import magpiehub.config.LoadReportSettings;
import magpiehub.routing.LoadReport;

/**
 * Parses the load reports of upstreams, which are sent in a response header, in a comment at the end of a stream, or in
 * the body of a health check's response. A report that is malformed, lacks a field, or has a negative or infinite value
 * is ignored; it never affects the response that carries it.
 *
 * <p>Immutable.
 */
final class LoadReportParser {
    /** The name of the response header, with which the comment begins too. */
    static final String HEADER = "X-Load-Report";

    private static final byte[] COMMENT_PREFIX = (": " + HEADER + ":").getBytes(StandardCharsets.US_ASCII);
    private static final int MAX_LENGTH = 1024;

    private final LoadReportSettings settings;

    LoadReportParser(LoadReportSettings settings) {
        this.settings = settings;
    }

    /** Whether responses carry load reports; if not, they are not searched. */
    boolean isInResponses() {
        return settings.inResponses();
    }

    /** Whether responses to health checks carry a load report. */
    boolean isInHealthChecks() {
        return !settings.fields().isEmpty();
    }

    /** Parses the value of a header or comment, or a response body; returns null if it is not a valid report. */
    LoadReport parse(String json) {
        if (json == null || json.length() > MAX_LENGTH) {
            return null;
        }
        try {
            ConfigurationObject report = ConfigurationObject.parse(json.getBytes(StandardCharsets.UTF_8), "report");
            return hasAllFields(report) ? toLoadReport(report) : null;
        } catch (IOException | RuntimeException | StackOverflowError e) {
            return null;
        }
    }

    private boolean hasAllFields(ConfigurationObject report) {
        for (String name : settings.fields()) {
            boolean isNumber = report.number(name, Double.NaN) >= 0;
            if (!isNumber || Double.isInfinite(report.number(name, 0))) {
                return false;
            }
        }
        return true;
    }

    private LoadReport toLoadReport(ConfigurationObject report) {
        return new LoadReport(
                value(report, "inflight"),
                value(report, "queue"),
                value(report, "util"),
                value(report, "latency_ms"),
                value(report, "qps"),
                value(report, "eps"),
                value(report, "x0"),
                value(report, "x1"));
    }

    /** The value of a field, or NaN if the site's settings don't name the field. */
    private double value(ConfigurationObject report, String name) {
        return settings.fields().contains(name) ? report.number(name, Double.NaN) : Double.NaN;
    }

    /** Returns the load report in the comment lines of a stream's event, or null if there is none. */
    static String findInComments(byte[] event) {
        for (int lineStart = 0; lineStart < event.length; ) {
            int lineEnd = lineEnd(event, lineStart);
            if (lineEnd - lineStart > COMMENT_PREFIX.length && hasPrefixAt(event, lineStart)) {
                int textStart = lineStart + COMMENT_PREFIX.length;
                return new String(event, textStart, lineEnd - textStart, StandardCharsets.UTF_8).strip();
            }
            lineStart = lineEnd + 1;
        }
        return null;
    }

    private static int lineEnd(byte[] event, int lineStart) {
        int position = lineStart;
        while (position < event.length && event[position] != '\n' && event[position] != '\r') {
            position++;
        }
        return position;
    }

    private static boolean hasPrefixAt(byte[] event, int position) {
        for (int i = 0; i < COMMENT_PREFIX.length; i++) {
            if (event[position + i] != COMMENT_PREFIX[i]) {
                return false;
            }
        }
        return true;
    }
}
