package magpiehub.routing;

import static magpiehub.routing.RoutingPolicyFixture.SECOND;
import static magpiehub.routing.RoutingPolicyFixture.replicaNames;
import static magpiehub.routing.RoutingPolicyFixture.serveManySessions;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests over how many replicas a key is spread. */
class AffinityResolverTest {
    @Test
    void lightPrefixHasOneReplicaAndHeavyOneSeveral() {
        RoutingPolicyFixture router = new RoutingPolicyFixture(RoutingPolicyFixture.settings(1)).list(replicaNames(20));
        serveManySessions(router);
        Set<String> light = new HashSet<>();
        for (int i = 0; i < 3; i++) {
            light.add(router.serve(5, 0));
        }
        assertEquals(1, light.size());
        Set<String> heavy = new HashSet<>();
        for (int i = 0; i < 40; i++) {
            heavy.add(router.serve(6, 0));
        }
        assertTrue(heavy.size() > 2 && heavy.size() <= 8, "replicas of the heavy prefix: " + heavy.size());
    }

    @Test
    void replicasOfAnEntryAreUsedInRotation() {
        RoutingPolicyFixture router = new RoutingPolicyFixture(RoutingPolicyFixture.settings(1)).list(replicaNames(20));
        serveManySessions(router);
        for (int i = 0; i < 60; i++) {
            router.serve(6, 0);
        }
        String last = router.serve(6, 0);
        for (int i = 0; i < 6; i++) {
            String replica = router.serve(6, 0);
            assertNotEquals(last, replica);
            last = replica;
        }
    }

    @Test
    void replicaThatServedARetryJoinsThePrefixsEntry() {
        RoutingPolicyFixture router = new RoutingPolicyFixture(RoutingPolicyFixture.settings(1)).list(replicaNames(10));
        serveManySessions(router);
        String home = router.serve(5, 0);
        String id = router.submit(5, 0);
        router.endAttempt(id, AttemptOutcome.ERROR);
        String second = router.replicaOf(id);
        router.startStream(id, 50_000);
        router.endAttempt(id, AttemptOutcome.OK);
        assertNotEquals(home, second);
        router.advance(8 * SECOND);
        assertEquals(second, router.serve(5, 0), "the replica of the retry has replaced the failed one in the entry");
    }

    @Test
    void hotSessionIsSpread() {
        RoutingPolicyFixture router = new RoutingPolicyFixture(RoutingPolicyFixture.settings(1)).list(replicaNames(10));
        serveManySessions(router);
        Set<String> used = new HashSet<>();
        for (int i = 0; i < 60; i++) {
            used.add(router.serve(0, 7));
        }
        assertTrue(used.size() > 1);
    }
}
