package magpiehub.routing;

import static magpiehub.routing.RoutingPolicyFixture.endpointOfSize;
import static magpiehub.routing.RoutingPolicyFixture.withCosts;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Which keys stay in the own zone. */
class ZoneAffinityTest {
    @Test
    void keysLeaveASlowOwnZoneAndComeBack() {
        RoutingPolicyFixture router = withCosts(0, 1, 0.1, 0, WeightMeaning.NONE);
        List<Endpoint> endpoints = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            endpoints.add(endpointOfSize(i, 1));
        }
        router.policy.onEndpoints(router.now, EndpointListKind.COMPLETE, endpoints);
        int[] own = new int[3];
        long k = 1;
        for (int phase = 0; phase < 3; phase++) {
            for (int i = 0; i < 600; i++) {
                String id = router.submit(0, k++);
                String at = router.replicaOf(id);
                boolean home = Integer.parseInt(at.substring(7, at.indexOf(':'))) % 2 == 0;
                own[phase] += i >= 400 && home ? 1 : 0;
                router.startStream(id, phase == 1 && home ? 150_000 : 60_000);
                router.endAttempt(id, AttemptOutcome.OK);
                router.advance(50_000);
            }
        }
        assertTrue(own[0] > 150 && own[1] < 140 && own[2] > 150, own[0] + " " + own[1] + " " + own[2]);
    }
}
