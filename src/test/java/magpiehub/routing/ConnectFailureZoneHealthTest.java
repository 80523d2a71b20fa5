package magpiehub.routing;

import static magpiehub.routing.RoutingPolicyFixture.endpointOfSize;
import static magpiehub.routing.RoutingPolicyFixture.withCosts;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The plain zone health. */
class ConnectFailureZoneHealthTest {
    @Test
    void unreachableZoneIsLearntAtOnce() {
        RoutingPolicyFixture router = withCosts(0, 20, 0, 0, WeightMeaning.NONE);
        List<Endpoint> endpoints = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            endpoints.add(endpointOfSize(i, 1));
        }
        router.policy.onEndpoints(router.now, EndpointListKind.COMPLETE, endpoints);
        int failed = 0;
        for (long k = 1; k <= 60; k++) {
            String id = router.submit(0, k);
            while (router.finalAnswers.get(id) == null) {
                String at = router.replicaOf(id);
                boolean cut = Integer.parseInt(at.substring(7, at.indexOf(':'))) % 2 == 1;
                failed += cut ? 1 : 0;
                router.endAttempt(id, cut ? AttemptOutcome.CONNECT_FAILED : AttemptOutcome.OK);
            }
            router.advance(5_000);
        }
        assertTrue(failed >= 3 && failed <= 9, "failed connections: " + failed);
    }
}
