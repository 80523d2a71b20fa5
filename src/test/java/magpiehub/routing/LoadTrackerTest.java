package magpiehub.routing;

import static magpiehub.routing.RoutingPolicyFixture.loadReport;
import static magpiehub.routing.RoutingPolicyFixture.replicaNames;
import static magpiehub.routing.RoutingPolicyFixture.serveWithReport;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Tests when a replica is skipped because of its load. */
class LoadTrackerTest {
    @Test
    void replicaWithAnOverdueFirstTokenIsSkippedUntilItArrives() {
        RoutingPolicyFixture router = new RoutingPolicyFixture(RoutingPolicyFixture.settings(1)).list(replicaNames(8));
        String home = router.serve(0, 7);
        String waiting = router.submit(0, 7);
        assertEquals(home, router.replicaOf(waiting));
        router.advance(300_000);
        assertEquals(home, router.serve(0, 7), "the first token is not overdue yet");
        router.advance(200_000);
        String id = router.submit(0, 7);
        assertNotEquals(home, router.replicaOf(id), "the first token is overdue");
        router.startStream(waiting, 100_000); // A short time, so that the replica does not count as slow.
        assertEquals(
                home, router.replicaOf(router.submit(0, 7)), "the stream has started, so the replica is used again");
    }

    @Test
    void replicaWithADeepQueueIsSkipped() {
        RoutingPolicyFixture router = new RoutingPolicyFixture(RoutingPolicyFixture.settings(1)).list(replicaNames(10));
        Map<String, Integer> load = new HashMap<>();
        for (int i = 0; i < 30; i++) {
            load.merge(router.replicaOf(router.submit(0, 7)), 1, Integer::sum);
        }
        assertTrue(load.size() > 1, "accumulating requests of one key go to other replicas as well");
        assertTrue(load.values().stream().allMatch(n -> n <= 10), load.toString());
    }

    /** A reported queue has an effect for a short time only, since the report becomes stale. */
    @Test
    void replicaThatReportsAQueueIsSkippedForAShortTime() {
        RoutingPolicyFixture router = new RoutingPolicyFixture(RoutingPolicyFixture.settings(1)).list(replicaNames(8));
        String home = router.serve(0, 7);
        serveWithReport(router, router.submit(0, 7), loadReport(2, 30));
        assertNotEquals(home, router.replicaOf(router.submit(0, 7)));
        router.advance(500_000);
        serveWithReport(router, router.submit(0, 7), loadReport(0, 30));
        assertEquals(home, router.replicaOf(router.submit(0, 7)));
    }
}
