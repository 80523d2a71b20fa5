package magpiehub.routing;

import static magpiehub.routing.RoutingPolicyFixture.SECOND;
import static magpiehub.routing.RoutingPolicyFixture.replicaNames;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests which replicas get health checks, and how often. */
class HealthCheckerTest {
    @Test
    void idleReplicasAreCheckedAtARateSharedByTheRouters() {
        RoutingPolicyFixture one = new RoutingPolicyFixture(RoutingPolicyFixture.settings(1)).list(replicaNames(10));
        one.advance(60 * SECOND);
        assertTrue(
                one.checkedReplicas.size() >= 20 && one.checkedReplicas.size() <= 70,
                "health checks of a single router: " + one.checkedReplicas.size());
        RoutingPolicyFixture many = new RoutingPolicyFixture(RoutingPolicyFixture.settings(10)).list(replicaNames(10));
        many.advance(60 * SECOND);
        assertTrue(
                many.checkedReplicas.size() <= 8,
                "health checks of one of ten routers: " + many.checkedReplicas.size());
    }
}
