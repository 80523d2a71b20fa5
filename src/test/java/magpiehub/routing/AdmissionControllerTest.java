package magpiehub.routing;

import static magpiehub.routing.RoutingPolicyFixture.SECOND;
import static magpiehub.routing.RoutingPolicyFixture.replicaNames;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Which requests are shed under overload. */
class AdmissionControllerTest {
    @Test
    void overloadShedsTheLeastValuableRequests() {
        RequestClass ordinary = RoutingPolicyFixture.requestClass(Idempotency.IDEMPOTENT, DeduplicationScope.ALL);
        RequestClass valuable = new RequestClass(
                "dear",
                Idempotency.IDEMPOTENT,
                DeduplicationScope.ALL,
                0,
                true,
                SECOND,
                0,
                0,
                4 * SECOND,
                60_000,
                9,
                0.3);
        RoutingPolicyFixture router =
                new RoutingPolicyFixture(RoutingPolicyFixture.settings(1, ordinary, valuable)).list(replicaNames(4));
        int[] refused = new int[2];
        for (int i = 0; i < 400; i++) {
            int classIndex = i % 2;
            String id = router.submit(classIndex, 0, 0, i + 1);
            if ("refused".equals(router.finalAnswers.get(id))) {
                refused[classIndex]++;
            } else {
                router.startStream(id, 2 * SECOND);
                router.endAttempt(id, AttemptOutcome.OK);
            }
            router.advance(20_000);
        }
        assertTrue(refused[0] > 60 && refused[0] > 2 * refused[1], refused[0] + " " + refused[1]);
    }

    /** The rest of a broken stream is asked for by its client: it is never what overload control refuses. */
    @Test
    void continuationsAreNotShed() {
        RoutingPolicyFixture router = new RoutingPolicyFixture(RoutingPolicyFixture.settings(1)).list(replicaNames(4));
        int refused = 0;
        for (int i = 0; i < 200; i++) {
            String id = router.submit(0, i + 1);
            refused += "refused".equals(router.finalAnswers.get(id)) ? 1 : 0;
            if (router.replicaOf(id) != null) {
                router.startStream(id, 2 * SECOND);
                router.endAttempt(id, AttemptOutcome.OK);
            }
            router.policy.onRequest(
                    router.now,
                    new RoutingRequest(
                            "rest" + i,
                            0,
                            0,
                            1000 + i,
                            0,
                            router.now + 4 * SECOND,
                            0,
                            1000,
                            800,
                            100,
                            false,
                            false,
                            true));
            assertEquals(null, router.finalAnswers.get("rest" + i));
            router.startStream("rest" + i, 2 * SECOND);
            router.endAttempt("rest" + i, AttemptOutcome.OK);
            router.advance(20_000);
        }
        assertTrue(refused > 40, "under overload others are: " + refused);
    }
}
