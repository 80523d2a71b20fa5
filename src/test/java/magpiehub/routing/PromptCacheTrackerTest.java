package magpiehub.routing;

import static magpiehub.routing.RoutingPolicyFixture.SECOND;
import static magpiehub.routing.RoutingPolicyFixture.replicaNames;
import static magpiehub.routing.RoutingPolicyFixture.serveManySessions;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Tests the effects of reported cache hits. */
class PromptCacheTrackerTest {
    @Test
    void cacheMissMovesAPrefixButALostCacheDoesNotMoveAll() {
        RoutingPolicyFixture router = new RoutingPolicyFixture(RoutingPolicyFixture.settings(1)).list(replicaNames(10));
        serveManySessions(router);
        Map<Long, String> replicaByPrefix = new HashMap<>();
        for (long k = 1; k <= 30; k++) {
            replicaByPrefix.put(k, router.serve(k, 0));
            router.serve(k, 0);
        }
        router.advance(2 * SECOND);
        for (long k = 1; k <= 30; k++) {
            String id = router.submit(k, 0);
            router.startStream(id, 50_000);
            router.serveWithCachedTokens(id, 0);
        }
        int stayed = 0;
        for (long k = 1; k <= 30; k++) {
            stayed += router.serve(k, 0).equals(replicaByPrefix.get(k)) ? 1 : 0;
        }
        assertTrue(stayed >= 28, "stayed: " + stayed);
    }
}
