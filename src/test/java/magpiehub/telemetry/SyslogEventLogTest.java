package magpiehub.telemetry;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Instant;
import org.junit.jupiter.api.Test;

/** Tests that log lines conform to RFC 5424 whatever names and values contain, and the counters. */
class SyslogEventLogTest {
    private static final Instant TIMESTAMP = Instant.parse("2026-12-01T10:00:00.5Z");
    private final SyslogFormatter formatter = new SyslogFormatter("n 3", 7);
    private final SyslogEventLog log = new SyslogEventLog(System.err, "n 3", 7);

    @Test
    void valuesAreEscapedAndInvalidCharactersInNamesAreReplaced() {
        assertEquals(
                "<134>1 2026-12-01T10:00:00.500000Z n_3 magpiehub 7 li_st "
                        + "[magpiehub@32473 a_b_=\"q\\\"\\\\\\] \u00e9\" c=\"\"]\n",
                formatter.format(TIMESTAMP, "li st", "a=b]", "q\"\\]\n\u00e9", "c", ""));
    }

    @Test
    void failuresAreWarningsAndAbsentDataIsTheNilValue() {
        assertEquals(
                "<132>1 2026-12-01T10:00:00.500000Z n_3 magpiehub 7 engine-error -\n",
                formatter.format(TIMESTAMP, "engine-error"));
    }

    @Test
    void countersAreSortedByName() {
        log.count("taken");
        log.count("answered_served");
        log.count("taken");
        assertEquals("answered_served 1\ntaken 2\n", log.counters());
    }
}
