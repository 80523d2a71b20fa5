package magpiehub.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

/** The smallest host of a routing policy: one request from its arrival to its answer, and misuse. */
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
        assertEquals(0, actions.finalAnswers.size(), "the stream itself was the answer");
    }

    @Test
    void misuseHasADefinedResult() {
        RoutingPolicyFixture actions = new RoutingPolicyFixture(RoutingPolicyFixture.settings(1)).list("a");
        String id = actions.submit(9, 0, 0, 1);
        assertEquals("refused", actions.finalAnswers.get(id), "a class out of range");
        RoutingRequest twice =
                new RoutingRequest("x", 0, 0, 1, 0, actions.now + 4_000_000, 0, 10, 0, 10, false, false, false);
        actions.policy.onRequest(actions.now, twice);
        actions.policy.onRequest(actions.now - 500_000, twice);
        assertEquals(1, actions.attemptCounts.get("x"), "an id that is held already");
    }
}
