package magpiehub.routing;

import static magpiehub.routing.RoutingPolicyFixture.endpointOfSize;
import static magpiehub.routing.RoutingPolicyFixture.replicaNames;
import static magpiehub.routing.RoutingPolicyFixture.withCosts;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** What endpoint lists change: who gets requests, sizes, and the subset where connections have a price. */
class FleetStateTest {
    @Test
    void drainingReplicaGetsNothingAndOthersKeepTheirKeys() {
        RoutingPolicyFixture router = new RoutingPolicyFixture(RoutingPolicyFixture.settings(1)).list(replicaNames(8));
        Map<Long, String> at = new HashMap<>();
        for (long k = 1; k <= 80; k++) {
            at.put(k, router.serve(0, k));
        }
        String gone = at.get(1L);
        router.policy.onEndpoints(
                router.now,
                EndpointListKind.CHANGES,
                List.of(RoutingPolicyFixture.endpoint(gone, EndpointState.DRAINING, 0)));
        for (long k = 1; k <= 80; k++) {
            String now = router.serve(0, k);
            if (at.get(k).equals(gone)) {
                assertNotEquals(gone, now);
            } else {
                assertEquals(at.get(k), now);
            }
        }
    }

    @Test
    void replicaMissingFromAFullListGetsNothing() {
        RoutingPolicyFixture router = new RoutingPolicyFixture(RoutingPolicyFixture.settings(1)).list(replicaNames(3));
        router.list("10.0.0.1:9000");
        for (long k = 1; k < 20; k++) {
            assertEquals("10.0.0.1:9000", router.serve(0, k));
        }
    }

    @Test
    void deadReplicaIsForgotten() {
        RoutingPolicyFixture router = new RoutingPolicyFixture(RoutingPolicyFixture.settings(1)).list("a", "b");
        String home = router.serve(0, 7);
        router.policy.onEndpoints(
                router.now,
                EndpointListKind.CHANGES,
                List.of(RoutingPolicyFixture.endpoint(home, EndpointState.DEAD, 0)));
        assertNotEquals(home, router.serve(0, 7));
        assertEquals(1, router.policy.knownReplicaCount());
    }

    @Test
    void largestLiveWeightIsTheSize() {
        RoutingPolicyFixture router = withCosts(0, 20, 0, 0, WeightMeaning.LIVE);
        router.policy.onEndpoints(
                router.now,
                EndpointListKind.COMPLETE,
                List.of(endpointOfSize(0, 3), endpointOfSize(1, 1), endpointOfSize(2, 1), endpointOfSize(3, 1)));
        router.policy.onEndpoints(router.now, EndpointListKind.CHANGES, List.of(endpointOfSize(0, 0.5)));
        int big = 0;
        for (long k = 1; k <= 60; k++) {
            big += router.serve(0, k).equals("10.0.0.0:9000") ? 1 : 0;
        }
        assertTrue(big > 20, "half of the fleet's size, got " + big + " of 60");
    }

    @Test
    void routersKeepToFewReplicasWhereConnectionsHaveAPrice() {
        Map<String, Integer> nodes = new HashMap<>();
        for (int me = 0; me < 20; me++) {
            RoutingPolicyFixture router =
                    withCosts(me, 20, 0, 0.1, WeightMeaning.NONE).list(replicaNames(20));
            Set<String> used = new HashSet<>();
            for (long k = 1; k <= 60; k++) {
                used.add(router.serve(0, k));
            }
            assertTrue(used.size() <= 6, "used " + used.size());
            used.forEach(r -> nodes.merge(r, 1, Integer::sum));
        }
        assertEquals(20, nodes.size(), "every replica is somebody's");
        assertTrue(nodes.values().stream().allMatch(n -> n >= 4 && n <= 8), "as many nodes each: " + nodes);
    }
}
