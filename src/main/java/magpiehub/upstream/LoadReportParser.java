package magpiehub.upstream;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import magpiehub.config.ConfigurationObject;
import magpiehub.config.LoadReportSettings;
import magpiehub.routing.LoadReport;

/**
 * Engines' load reports as the wire has them: a header of an answer, a comment at a stream's end, the body
 * of a probe. It owns their form and the fields that the settings name. It must never harm an answer: what
 * can't be read, lacks a field, or holds one that is negative or no number is no report.
 */
final class LoadReportParser {
    static final String HEADER = "X-Load-Report";
    private static final byte[] COMMENT = (": " + HEADER + ":").getBytes(StandardCharsets.US_ASCII);
    private static final int LONGEST = 1024;

    private final LoadReportSettings said;

    LoadReportParser(LoadReportSettings said) {
        this.said = said;
    }

    /** Whether answers carry reports; where they don't, nothing is looked for. */
    boolean inAnswers() {
        return said.inResponses();
    }

    /** Whether a probe brings one. */
    boolean inProbes() {
        return !said.fields().isEmpty();
    }

    /** The report in a header's value or a body; null if there is none. */
    LoadReport read(String json) {
        if (json == null || json.length() > LONGEST) {
            return null;
        }
        try {
            ConfigurationObject f = ConfigurationObject.parse(json.getBytes(StandardCharsets.UTF_8), "report");
            for (String name : said.fields()) {
                if (!(f.number(name, Double.NaN) >= 0) || Double.isInfinite(f.number(name, 0))) {
                    return null;
                }
            }
            return new LoadReport(
                    value(f, "inflight"),
                    value(f, "queue"),
                    value(f, "util"),
                    value(f, "latency_ms"),
                    value(f, "qps"),
                    value(f, "eps"),
                    value(f, "x0"),
                    value(f, "x1"));
        } catch (IOException | RuntimeException | StackOverflowError e) {
            return null;
        }
    }

    private double value(ConfigurationObject f, String name) {
        return said.fields().contains(name) ? f.number(name, Double.NaN) : Double.NaN;
    }

    /** The text of the report in the comment lines of an event; null if it has none. */
    static String comment(byte[] event) {
        for (int line = 0; line < event.length; ) {
            int end = line;
            while (end < event.length && event[end] != '\n' && event[end] != '\r') {
                end++;
            }
            if (end - line > COMMENT.length && starts(event, line)) {
                int from = line + COMMENT.length;
                return new String(event, from, end - from, StandardCharsets.UTF_8).strip();
            }
            line = end + 1;
        }
        return null;
    }

    private static boolean starts(byte[] event, int at) {
        for (int i = 0; i < COMMENT.length; i++) {
            if (event[at + i] != COMMENT[i]) {
                return false;
            }
        }
        return true;
    }
}
