package magpiehub.routing;

import static magpiehub.routing.RoutingPolicyFixture.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests when the endpoint list is requested. */
class EndpointPollScheduleTest {
    @Test
    void endpointListIsRequestedInTimeAndAgainAfterErrors() {
        RoutingPolicyFixture router = new RoutingPolicyFixture(RoutingPolicyFixture.settings(8, true, true, List.of()));
        router.policy.onEndpoints(router.now, EndpointListKind.SAVED, List.of(RoutingPolicyFixture.endpoint("a")));
        router.advance(5 * SECOND);
        assertEquals(1, router.watchCount);
        router.policy.onEndpoints(router.now, EndpointListKind.ERROR, List.of());
        router.advance(4 * SECOND);
        assertEquals(2, router.watchCount);
        router.policy.onEndpoints(router.now, EndpointListKind.CHANGES, List.of());
        router.advance(30 * SECOND);
        assertEquals(2, router.watchCount, "an open watch is not renewed");
        router.policy.onEndpoints(router.now, EndpointListKind.ERROR, List.of());
        router.advance(4 * SECOND);
        assertEquals(3, router.watchCount, "a failed watch is renewed");
    }
}
