package magpiehub.upstream;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import magpiehub.config.LoadReportSettings;
import magpiehub.routing.LoadReport;
import org.junit.jupiter.api.Test;

class LoadReportParserTest {
    private final LoadReportParser parser = parserOf("inflight", "queue");

    private static LoadReportParser parserOf(String... fields) {
        return new LoadReportParser(new LoadReportSettings(List.of(fields), true));
    }

    @Test
    void onlyFieldsNamedByTheSettingsAreRead() {
        LoadReport report = parser.parse("{\"inflight\":3,\"queue\":0.5,\"util\":0.9}");
        assertEquals(3, report.inFlight());
        assertEquals(0.5, report.queueLength());
        assertTrue(Double.isNaN(report.utilization()), "not named by the settings");
    }

    @Test
    void aReportWithAMissingOrInvalidFieldIsIgnored() {
        assertNull(parser.parse("{\"inflight\":3}"));
        assertNull(parser.parse("{\"inflight\":3,\"queue\":-1}"));
        assertNull(parser.parse("{\"inflight\":3,\"queue\":1e999}"));
        assertNull(parser.parse("{\"inflight\":3,\"queue\":\"many\"}"));
    }

    @Test
    void inputThatIsNotAnObjectIsIgnored() {
        assertNull(parser.parse(null));
        assertNull(parser.parse(""));
        assertNull(parser.parse("{\"inflight\":3,"));
        assertNull(parser.parse("[".repeat(1000)));
    }

    @Test
    void aReportHasAtMost1024Characters() {
        String report = "{\"inflight\":3,\"queue\":1}";
        assertNotNull(parser.parse(report + " ".repeat(1024 - report.length())));
        assertNull(parser.parse(report + " ".repeat(1025 - report.length())));
    }

    @Test
    void healthChecksCarryReportsIfFieldsAreNamed() {
        assertTrue(parser.isInHealthChecks());
        assertFalse(parserOf().isInHealthChecks());
    }

    @Test
    void aReportIsFoundInAnyCommentLineOfAnEvent() {
        assertEquals("{}", findInComments(": X-Load-Report: {}\n\n"));
        assertEquals("{}", findInComments("data: [DONE]\r\n: X-Load-Report:{} \r\n\r\n"));
    }

    @Test
    void otherLinesHoldNoReport() {
        assertNull(findInComments(""));
        assertNull(findInComments(": X-Load-Report:"));
        assertNull(findInComments(": keep-alive\n\n"));
        assertNull(findInComments("data: : X-Load-Report: {}\n\n"));
    }

    private static String findInComments(String event) {
        return LoadReportParser.findInComments(event.getBytes(UTF_8));
    }
}
