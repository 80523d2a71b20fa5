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

/** Tests the effects of endpoint lists: eligible replicas, sizes, and the subset where connections have a cost. */
class FleetStateTest {
    @Test
    void drainingReplicaGetsNoRequestsAndOthersKeepTheirKeys() {
        RoutingPolicyFixture router = new RoutingPolicyFixture(RoutingPolicyFixture.settings(1)).list(replicaNames(8));
        Map<Long, String> replicaByKey = new HashMap<>();
        for (long k = 1; k <= 80; k++) {
            replicaByKey.put(k, router.serve(0, k));
        }
        String draining = replicaByKey.get(1L);
        router.policy.onEndpoints(
                router.now,
                EndpointListKind.CHANGES,
                List.of(RoutingPolicyFixture.endpoint(draining, EndpointState.DRAINING, 0)));
        for (long k = 1; k <= 80; k++) {
            String replica = router.serve(0, k);
            if (replicaByKey.get(k).equals(draining)) {
                assertNotEquals(draining, replica);
            } else {
                assertEquals(replicaByKey.get(k), replica);
            }
        }
    }

    @Test
    void replicaMissingFromACompleteListGetsNoRequests() {
        RoutingPolicyFixture router = new RoutingPolicyFixture(RoutingPolicyFixture.settings(1)).list(replicaNames(3));
        router.list("10.0.0.1:9000");
        for (long k = 1; k < 20; k++) {
            assertEquals("10.0.0.1:9000", router.serve(0, k));
        }
    }

    @Test
    void deadReplicaIsRemoved() {
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
        int servedByLargest = 0;
        for (long k = 1; k <= 60; k++) {
            servedByLargest += router.serve(0, k).equals("10.0.0.0:9000") ? 1 : 0;
        }
        assertTrue(
                servedByLargest > 20,
                "served by the replica with half of the fleet's size: " + servedByLargest + " of 60");
    }

    @Test
    void routersUseFewReplicasWhereConnectionsHaveACost() {
        Map<String, Integer> routersByReplica = new HashMap<>();
        for (int instanceIndex = 0; instanceIndex < 20; instanceIndex++) {
            RoutingPolicyFixture router =
                    withCosts(instanceIndex, 20, 0, 0.1, WeightMeaning.NONE).list(replicaNames(20));
            Set<String> used = new HashSet<>();
            for (long k = 1; k <= 60; k++) {
                used.add(router.serve(0, k));
            }
            assertTrue(used.size() <= 6, "used " + used.size());
            used.forEach(r -> routersByReplica.merge(r, 1, Integer::sum));
        }
        assertEquals(20, routersByReplica.size(), "every replica is used by a router");
        assertTrue(
                routersByReplica.values().stream().allMatch(n -> n >= 4 && n <= 8),
                "routers per replica: " + routersByReplica);
    }
}
