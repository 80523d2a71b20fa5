package magpiehub.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Drawn losses, many routers: what holds of all of them, and the same for one seed on any machine. */
class SiteFailoverSimulationTest {
    private static final int SCENARIOS = 2_000;

    @Test
    void drawnLossesAreSeenAndNoneIsMadeUp() throws Exception {
        SiteFailoverSimulation.Result r =
                SiteFailoverSimulation.play(1, SCENARIOS, Runtime.getRuntime().availableProcessors());
        String line = SiteFailoverSimulation.line(1, SCENARIOS, r);
        assertEquals(0, r.lostWrongly, line);
        assertTrue(r.seen > 40_000 && r.notSeen <= r.seen / 50, line);
        assertTrue(r.at(0.5) <= 1_000_000 && r.at(0.99) <= 4_000_000, line);
        // Two losses, each at most four, and what engines that are bad by themselves add.
        assertTrue(r.mostChanges <= 16, line);
        System.out.println(line);
    }

    @Test
    void oneSeedGivesOneResultOnAnyNumberOfThreads() throws Exception {
        SiteFailoverSimulation.Result one = SiteFailoverSimulation.play(7, 40, 1);
        assertEquals(one.digest, SiteFailoverSimulation.play(7, 40, 8).digest);
        assertEquals(0x047444b225d08a5dL, one.digest, "on any machine");
        assertTrue(one.digest != SiteFailoverSimulation.play(8, 40, 8).digest);
    }
}
