package magpiehub.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Assumptions;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Runs the site loss scenarios of three seeds, with nine routers and 24 engines. The bounds on times are checked by
 * {@code make proof-site} only, and a machine that is too busy to send the requests in time aborts the test.
 */
// The time limit guards against a run that does not end.
@Timeout(value = 300, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class SiteLossScenarioTest {
    private static final List<String> TIME_BOUNDS = List.of("until nine tenths", "p99 of first tokens");

    @TempDir
    Path folder;

    private void assertBoundsHold(int net, long seed, String caseName) throws IOException {
        SiteLossScenario p = SiteLossScenario.fromSeed(seed, null);
        assertEquals(caseName, p.caseName(), "the case that the seed selects");
        try (Fleet f = new Fleet(
                p.scenario(),
                Fleet.projectRoot().resolve("target/magpiehub.jar"),
                folder,
                net,
                Map.of("site.json", "{}"),
                l -> {})) {
            Fleet.RunResult o = f.run();
            List<RunEvaluation.Bound> bounds = new RunEvaluation(o)
                    .evaluate(p.losses().stream()
                            .map(l -> new RunEvaluation.SiteLoss(
                                    l.site(), l.from() + o.from(), l.until() + o.from(), l.refused()))
                            .toList());
            System.out.println("proof-site seed=" + seed + " case=" + caseName + " rig late p99 ms="
                    + o.sendDelayP99Micros() / 1000);
            bounds.forEach(System.out::println);
            Assumptions.assumeTrue(
                    o.sendDelayP99Micros() <= 50_000, "requests left " + o.sendDelayP99Micros() / 1000 + " ms late");
            List<RunEvaluation.Bound> broken = bounds.stream()
                    .filter(b -> !b.holds() && TIME_BOUNDS.stream().noneMatch(b.name()::contains))
                    .toList();
            assertTrue(broken.isEmpty(), broken + " " + o.attemptsToDrained() + o.failures());
        }
    }

    @Test
    void seedOne() throws IOException {
        assertBoundsHold(246, 1, "cut-back");
    }

    @Test
    void seedTwo() throws IOException {
        assertBoundsHold(247, 2, "cut-off");
    }

    @Test
    void seedThree() throws IOException {
        assertBoundsHold(248, 3, "killed");
    }
}
