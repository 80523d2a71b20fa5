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

/** When a replica is passed over for its load. */
class LoadTrackerTest {
    @Test
    void replicaWithAnOverdueFirstTokenIsPassedOverUntilItComes() {
        RoutingPolicyFixture router = new RoutingPolicyFixture(RoutingPolicyFixture.settings(1)).list(replicaNames(8));
        String home = router.serve(0, 7);
        String waits = router.submit(0, 7);
        assertEquals(home, router.replicaOf(waits));
        router.advance(300_000);
        assertEquals(home, router.serve(0, 7), "what may begin at any moment is no sign");
        router.advance(200_000);
        String id = router.submit(0, 7);
        assertNotEquals(home, router.replicaOf(id), "a request waits there, and its node sends more");
        router.startStream(waits, 100_000); // Told as short: this is not about replicas found slow by what they took.
        assertEquals(home, router.replicaOf(router.submit(0, 7)), "begun: its place is right again");
    }

    @Test
    void replicaWithADeepQueueIsPassedOver() {
        RoutingPolicyFixture router = new RoutingPolicyFixture(RoutingPolicyFixture.settings(1)).list(replicaNames(10));
        Map<String, Integer> load = new HashMap<>();
        for (int i = 0; i < 30; i++) {
            load.merge(router.replicaOf(router.submit(0, 7)), 1, Integer::sum);
        }
        assertTrue(load.size() > 1, "one key's requests that pile up spill");
        assertTrue(load.values().stream().allMatch(n -> n <= 10), load.toString());
    }

    /** A report of waiting requests counts for a moment only: it is stale by then. */
    @Test
    void aReplicaThatReportsAQueueIsPassedOverForAMoment() {
        RoutingPolicyFixture router = new RoutingPolicyFixture(RoutingPolicyFixture.settings(1)).list(replicaNames(8));
        String home = router.serve(0, 7);
        serveWithReport(router, router.submit(0, 7), loadReport(2, 30));
        assertNotEquals(home, router.replicaOf(router.submit(0, 7)));
        router.advance(500_000);
        serveWithReport(router, router.submit(0, 7), loadReport(0, 30));
        assertEquals(home, router.replicaOf(router.submit(0, 7)));
    }
}
