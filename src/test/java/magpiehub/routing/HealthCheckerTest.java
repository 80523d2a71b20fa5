package magpiehub.routing;

import static magpiehub.routing.RoutingPolicyFixture.SECOND;
import static magpiehub.routing.RoutingPolicyFixture.replicaNames;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Which replicas are probed, and how often. */
class HealthCheckerTest {
    @Test
    void silentReplicasAreProbedAtARateSharedByTheRouters() {
        RoutingPolicyFixture one = new RoutingPolicyFixture(RoutingPolicyFixture.settings(1)).list(replicaNames(10));
        one.advance(60 * SECOND);
        assertTrue(
                one.probedReplicas.size() >= 20 && one.probedReplicas.size() <= 70,
                "alone: " + one.probedReplicas.size());
        RoutingPolicyFixture many = new RoutingPolicyFixture(RoutingPolicyFixture.settings(10)).list(replicaNames(10));
        many.advance(60 * SECOND);
        assertTrue(many.probedReplicas.size() <= 8, "one of ten: " + many.probedReplicas.size());
    }
}
