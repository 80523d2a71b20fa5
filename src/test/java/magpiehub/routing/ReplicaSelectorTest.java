package magpiehub.routing;

import static magpiehub.routing.RoutingPolicyFixture.replicaNames;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests which replicas get the requests of a key, and when a key moves. */
class ReplicaSelectorTest {
    @Test
    void knownSessionStaysAndNewOnesSpread() {
        RoutingPolicyFixture router = new RoutingPolicyFixture(RoutingPolicyFixture.settings(1)).list(replicaNames(8));
        Map<Long, String> replicaByKey = new HashMap<>();
        for (long k = 1; k <= 64; k++) {
            replicaByKey.put(k, router.serve(0, k));
        }
        assertTrue(new HashSet<>(replicaByKey.values()).size() >= 7, "new keys spread over the fleet");
        for (long k = 1; k <= 64; k++) {
            assertEquals(replicaByKey.get(k), router.serve(0, k), "a known key stays");
        }
    }

    @Test
    void routersSelectTheSameReplicaForAKey() {
        RoutingPolicyFixture firstRouter =
                new RoutingPolicyFixture(RoutingPolicyFixture.settings(2)).list(replicaNames(8));
        RoutingPolicyFixture secondRouter =
                new RoutingPolicyFixture(RoutingPolicyFixture.settings(2)).list(replicaNames(8));
        for (long k = 1; k <= 30; k++) {
            firstRouter.serve(0, 1000 + k);
        }
        for (long k = 1; k <= 30; k++) {
            assertEquals(firstRouter.serve(0, k), secondRouter.serve(0, k));
        }
    }

    @Test
    void prefixAndSessionIdsAreIndependent() {
        RoutingPolicyFixture router = new RoutingPolicyFixture(RoutingPolicyFixture.settings(1)).list(replicaNames(16));
        int same = 0;
        for (long k = 1; k <= 40; k++) {
            same += router.serve(k, 0).equals(router.serve(0, k)) ? 1 : 0;
        }
        assertTrue(same < 20, "the same id maps to different replicas as prefix and as session");
    }

    @Test
    void requestsWithoutKeysAreSpreadOverTheFleet() {
        RoutingPolicyFixture router = new RoutingPolicyFixture(RoutingPolicyFixture.settings(1)).list(replicaNames(4));
        Set<String> seen = new HashSet<>();
        for (int i = 0; i < 40; i++) {
            seen.add(router.serve(0, 0));
        }
        assertEquals(4, seen.size());
    }

    @Test
    void keysStayInPlaceWhileTheFleetIsOverloaded() {
        RoutingPolicyFixture router = new RoutingPolicyFixture(RoutingPolicyFixture.settings(1)).list(replicaNames(10));
        String home = router.serve(0, 7);
        for (long k = 100; k < 130; k++) {
            String id = router.submit(0, k);
            router.endAttempt(id, AttemptOutcome.FULL);
            for (int i = 0; i < 5 && router.finalAnswers.get(id) == null; i++) {
                router.endAttempt(id, AttemptOutcome.FULL);
            }
        }
        assertEquals(
                home, router.replicaOf(router.submit(0, 7)), "the replica was at capacity, but has the tokens cached");
        String id = router.submit(0, 8);
        router.endAttempt(id, AttemptOutcome.FULL);
        assertEquals(1, router.attemptCounts.get(id), "a rejection for lack of capacity is not retried");
    }

    /** While the fleet is overloaded, a key stays at its replica unless few tokens are found cached. */
    @Test
    void anOverloadedFleetMovesKeysOnlyIfFewTokensAreCached() {
        assertEquals(true, staysWhileOverloaded(900));
        assertEquals(false, staysWhileOverloaded(100));
    }

    private static boolean staysWhileOverloaded(long cachedTokens) {
        RoutingPolicyFixture router = new RoutingPolicyFixture(RoutingPolicyFixture.settings(1)).list(replicaNames(8));
        String home = router.serve(0, 7);
        for (int i = 0; i < 12; i++) {
            String id = router.submit(0, 100 + i);
            router.startStream(id, 1_100_000); // Late, like all first tokens here.
            router.serveWithCachedTokens(id, cachedTokens);
        }
        assertEquals(home, router.replicaOf(router.submit(0, 7)));
        router.advance(410_000);
        return home.equals(router.replicaOf(router.submit(0, 7)));
    }
}
