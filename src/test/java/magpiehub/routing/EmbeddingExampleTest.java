package magpiehub.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests a minimal host of a routing policy: one request from arrival to answer, and misuse. */
class EmbeddingExampleTest {
    @Test
    void oneRequestFromStartToEnd() {
        RoutingPolicyFixture actions = new RoutingPolicyFixture(RoutingPolicyFixture.settings(1));
        long now = 2_000_000;
        RoutingPolicy policy = new RoutingPolicy(actions.settings, 7, actions, now);
        policy.onEndpoints(now, EndpointListKind.SAVED, List.of(RoutingPolicyFixture.endpoint("10.0.0.1:9000")));
        policy.onRequest(
                now, new RoutingRequest("a1", 0, 0, 17, 4, now + 4_000_000, 0, 1800, 1200, 256, false, false, false));
        assertEquals("10.0.0.1:9000", actions.replicaOf("a1"));
        policy.onStreamStarted(now + 80_000, "a1", 0, 80_000);
        policy.onAttemptEnded(now + 900_000, "a1", 0, AttemptOutcome.OK, 900_000, true, 1200, null);
        assertEquals(0, actions.finalAnswers.size(), "the stream is the answer");
    }

    @Test
    void misuseHasADefinedResult() {
        RoutingPolicyFixture actions = new RoutingPolicyFixture(RoutingPolicyFixture.settings(1)).list("a");
        String id = actions.submit(9, 0, 0, 1);
        assertEquals("rejected", actions.finalAnswers.get(id), "a class out of range");
        RoutingRequest request =
                new RoutingRequest("x", 0, 0, 1, 0, actions.now + 4_000_000, 0, 10, 0, 10, false, false, false);
        actions.policy.onRequest(actions.now, request);
        actions.policy.onRequest(actions.now - 500_000, request);
        assertEquals(1, actions.attemptCounts.get("x"), "an id of a request in flight");
    }
}
