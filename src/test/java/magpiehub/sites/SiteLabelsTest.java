package magpiehub.sites;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Pins the names in log events, counters and responses to operators, which tools parse. */
class SiteLabelsTest {
    @Test
    void labelsOfStates() {
        assertEquals(
                List.of("whole", "doubted", "lost", "returning", "out"),
                Arrays.stream(SiteState.values()).map(SiteState::label).toList());
    }

    @Test
    void labelsOfCauses() {
        assertEquals(
                List.of(
                        "no_connection",
                        "silence",
                        "errors",
                        "slow",
                        "list",
                        "cut_off",
                        "passed",
                        "answered",
                        "ramped",
                        "operator"),
                Arrays.stream(TransitionCause.values())
                        .map(TransitionCause::label)
                        .toList());
    }
}
