package magpiehub.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests detection of simulated site losses, and that results depend only on the seed. */
class SiteFailoverSimulationTest {
    private static final int SCENARIO_COUNT = 2_000;

    @Test
    void lossesAreDetectedWithoutFalseOnes() throws Exception {
        SiteFailoverSimulation.Result r = SiteFailoverSimulation.run(
                1, SCENARIO_COUNT, Runtime.getRuntime().availableProcessors());
        String line = SiteFailoverSimulation.formatResult(1, SCENARIO_COUNT, r);
        assertEquals(0, r.falseLosses, line);
        assertTrue(r.detected > 40_000 && r.undetected <= r.detected / 50, line);
        assertTrue(r.detectionTimeAt(0.5) <= 1_000_000 && r.detectionTimeAt(0.99) <= 4_000_000, line);
        // Two losses with at most four changes each, and changes caused by engines that fail on their own.
        assertTrue(r.maxChanges <= 16, line);
        System.out.println(line);
    }

    @Test
    void resultDependsOnSeedNotOnThreads() throws Exception {
        SiteFailoverSimulation.Result one = SiteFailoverSimulation.run(7, 40, 1);
        assertEquals(one.digest, SiteFailoverSimulation.run(7, 40, 8).digest);
        assertEquals(0x047444b225d08a5dL, one.digest, "on any machine");
        assertTrue(one.digest != SiteFailoverSimulation.run(8, 40, 8).digest);
    }
}
