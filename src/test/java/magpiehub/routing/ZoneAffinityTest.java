package magpiehub.routing;

import static magpiehub.routing.RoutingPolicyFixture.endpointOfSize;
import static magpiehub.routing.RoutingPolicyFixture.withCosts;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests which keys stay in the own zone. */
class ZoneAffinityTest {
    @Test
    void keysMoveOutOfASlowOwnZoneAndReturn() {
        RoutingPolicyFixture router = withCosts(0, 1, 0.1, 0, WeightMeaning.NONE);
        List<Endpoint> endpoints = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            endpoints.add(endpointOfSize(i, 1));
        }
        router.policy.onEndpoints(router.now, EndpointListKind.COMPLETE, endpoints);
        int[] servedInOwnZone = new int[3];
        long k = 1;
        for (int phase = 0; phase < 3; phase++) {
            for (int i = 0; i < 600; i++) {
                String id = router.submit(0, k++);
                String replica = router.replicaOf(id);
                boolean isOwnZone = Integer.parseInt(replica.substring(7, replica.indexOf(':'))) % 2 == 0;
                servedInOwnZone[phase] += i >= 400 && isOwnZone ? 1 : 0;
                router.startStream(id, phase == 1 && isOwnZone ? 150_000 : 60_000);
                router.endAttempt(id, AttemptOutcome.OK);
                router.advance(50_000);
            }
        }
        assertTrue(
                servedInOwnZone[0] > 150 && servedInOwnZone[1] < 140 && servedInOwnZone[2] > 150,
                servedInOwnZone[0] + " " + servedInOwnZone[1] + " " + servedInOwnZone[2]);
    }
}
