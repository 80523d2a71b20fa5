package magpiehub.routing;

import static magpiehub.routing.RoutingPolicyFixture.SECOND;
import static magpiehub.routing.RoutingPolicyFixture.replicaNames;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests which requests are shed under overload. */
class AdmissionControllerTest {
    @Test
    void overloadShedsTheLeastValuableRequests() {
        RequestClass ordinary = RoutingPolicyFixture.requestClass(Idempotency.IDEMPOTENT, DeduplicationScope.ALL);
        RequestClass valuable = new RequestClass(
                "valuable",
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
        int[] rejected = new int[2];
        for (int i = 0; i < 400; i++) {
            int classIndex = i % 2;
            String id = router.submit(classIndex, 0, 0, i + 1);
            if ("rejected".equals(router.finalAnswers.get(id))) {
                rejected[classIndex]++;
            } else {
                router.startStream(id, 2 * SECOND);
                router.endAttempt(id, AttemptOutcome.OK);
            }
            router.advance(20_000);
        }
        assertTrue(rejected[0] > 60 && rejected[0] > 2 * rejected[1], rejected[0] + " " + rejected[1]);
    }

    /** A request that continues a broken stream is never shed. */
    @Test
    void continuationsAreNotShed() {
        RoutingPolicyFixture router = new RoutingPolicyFixture(RoutingPolicyFixture.settings(1)).list(replicaNames(4));
        int rejected = 0;
        for (int i = 0; i < 200; i++) {
            String id = router.submit(0, i + 1);
            rejected += "rejected".equals(router.finalAnswers.get(id)) ? 1 : 0;
            if (router.replicaOf(id) != null) {
                router.startStream(id, 2 * SECOND);
                router.endAttempt(id, AttemptOutcome.OK);
            }
            router.policy.onRequest(
                    router.now,
                    new RoutingRequest(
                            "continuation" + i,
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
            assertEquals(null, router.finalAnswers.get("continuation" + i));
            router.startStream("continuation" + i, 2 * SECOND);
            router.endAttempt("continuation" + i, AttemptOutcome.OK);
            router.advance(20_000);
        }
        assertTrue(rejected > 40, "other requests rejected under overload: " + rejected);
    }
}
