package magpiehub.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Compares all decisions of seeded scenarios with recorded digests. A difference means that a decision has changed; if
 * the change was meant as a refactoring, find the step that changed it. The recorded digests are replaced only together
 * with an intended change of behaviour, in the same commit, whose message says so.
 */
class DecisionDigestTest {
    private static final Path RECORDED = Path.of("src/test/resources/decision-digests.txt");
    private static final int SEEDS = 30;
    private static final int EVENTS = 20_000;

    @Test
    void decisionsAreThoseRecorded() throws IOException {
        List<String> lines = new ArrayList<>();
        for (int seed = 1; seed <= SEEDS; seed++) {
            lines.add(seed + " " + new DecisionScenario(seed).digestAfter(EVENTS));
        }
        assertEquals(Files.readString(RECORDED).strip(), String.join("\n", lines));
    }
}
