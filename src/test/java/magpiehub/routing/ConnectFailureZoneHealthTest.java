package magpiehub.routing;

import static magpiehub.routing.RoutingPolicyFixture.endpointOfSize;
import static magpiehub.routing.RoutingPolicyFixture.withCosts;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the default zone health. */
class ConnectFailureZoneHealthTest {
    @Test
    void unreachableZoneIsDetectedAfterFewFailures() {
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
                String replica = router.replicaOf(id);
                boolean unreachable = Integer.parseInt(replica.substring(7, replica.indexOf(':'))) % 2 == 1;
                failed += unreachable ? 1 : 0;
                router.endAttempt(id, unreachable ? AttemptOutcome.CONNECT_FAILED : AttemptOutcome.OK);
            }
            router.advance(5_000);
        }
        assertTrue(failed >= 3 && failed <= 9, "failed connections: " + failed);
    }
}
