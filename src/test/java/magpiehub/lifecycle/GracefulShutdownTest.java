package magpiehub.lifecycle;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import magpiehub.routing.DeduplicationScope;
import magpiehub.routing.Idempotency;
import magpiehub.routing.RequestClass;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The phases of a graceful shutdown are derived from the deadlines of the request classes. */
class GracefulShutdownTest {
    private static RequestClass withDeadline(long ms) {
        return new RequestClass(
                "c", Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0, true, 0, 0, 0, ms * 1000, 0, 1, 0);
    }

    @ParameterizedTest
    @CsvSource({"300, 500, 600, 700", "1000, 500, 700, 1400", "3000, 500, 1700, 3400", "20000, 500, 1700, 3400"})
    void theLongestDeadlineCountsUpToThreeSeconds(long deadline, long admit, long keep, long finish) {
        ShutdownPhases phases = ShutdownPhases.forClasses(List.of(withDeadline(100), withDeadline(deadline)));
        assertEquals(new ShutdownPhases(600, admit, keep, finish), phases);
        assertTrue(phases.admitUnresumableMillis() < 700, "a request that is admitted later must be answered");
        assertTrue(
                phases.finishMillis() < Math.min(3000, deadline) + 700,
                "the last phase ends after the process is killed");
    }

    @Test
    void aSiteWithoutClassesHasTheLongestPhases() {
        assertEquals(new ShutdownPhases(600, 500, 1700, 3400), ShutdownPhases.forClasses(List.of()));
    }
}
