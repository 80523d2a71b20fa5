package magpiehub.sites;

import static org.junit.Assert.assertEquals;

import java.util.Arrays;
import java.util.List;
import org.junit.Test;

/** The names in log events, counters and answers to operators, which must stay as tools know them. */
public class SiteLabelsTest {
    @Test
    public void labelsOfStates() {
        assertEquals(
                List.of("whole", "doubted", "lost", "returning", "out"),
                Arrays.stream(SiteState.values()).map(SiteState::label).toList());
    }

    @Test
    public void labelsOfCauses() {
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
