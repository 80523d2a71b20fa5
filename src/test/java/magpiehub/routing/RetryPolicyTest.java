package magpiehub.routing;

import static magpiehub.routing.RoutingPolicyFixture.SECOND;
import static magpiehub.routing.RoutingPolicyFixture.replicaNames;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Which attempts are repeated, and where. */
class RetryPolicyTest {
    @Test
    void fullAndFailedConnectionsFailOver() {
        for (AttemptOutcome outcome : List.of(
                AttemptOutcome.FULL, AttemptOutcome.CONNECT_FAILED, AttemptOutcome.ERROR, AttemptOutcome.RESET)) {
            RoutingPolicyFixture router =
                    new RoutingPolicyFixture(RoutingPolicyFixture.settings(1)).list(replicaNames(6));
            String id = router.submit(0, 7);
            String first = router.replicaOf(id);
            router.endAttempt(id, outcome);
            assertEquals(2, router.attemptCounts.get(id), outcome.toString());
            assertNotEquals(first, router.replicaOf(id));
            assertNull(router.finalAnswers.get(id));
        }
    }

    @Test
    void nonIdempotentRequestIsRetriedOnlyIfItWasNeverExecuted() {
        RoutingPolicyFixture router = new RoutingPolicyFixture(RoutingPolicyFixture.settings(
                        1, RoutingPolicyFixture.requestClass(Idempotency.NOT_IDEMPOTENT, DeduplicationScope.ALL)))
                .list(replicaNames(6));
        String id = router.submit(0, 7);
        router.endAttempt(id, AttemptOutcome.FULL);
        assertEquals(2, router.attemptCounts.get(id));
        router.endAttempt(id, AttemptOutcome.RESET);
        assertEquals(2, router.attemptCounts.get(id), "it may have run");
        assertEquals("failed", router.finalAnswers.get(id), "and may not be refused");
    }

    /** What may be repeated, where, after which outcome, and how a request ends: all effects by all outcomes,
     *  with deadlines from the shortest. A row names what a second attempt keeps to, and the last word. */
    @Test
    void idempotencyByOutcome() {
        Object[][] rows = {
            {Idempotency.IDEMPOTENT, DeduplicationScope.ALL, "anywhere", "refused"},
            {Idempotency.IDEMPOTENT_WITH_KEY, DeduplicationScope.ALL, "anywhere", "refused"},
            {Idempotency.IDEMPOTENT_WITH_KEY, DeduplicationScope.ZONE, "zone", "failed"},
            {Idempotency.IDEMPOTENT_WITH_KEY, DeduplicationScope.CELL, "cell", "failed"},
            {Idempotency.NOT_IDEMPOTENT, DeduplicationScope.ALL, "nowhere", "failed"},
        };
        for (long deadline : new long[] {200_000, SECOND, 60 * SECOND}) {
            for (Object[] row : rows) {
                for (AttemptOutcome outcome : AttemptOutcome.values()) {
                    if (outcome != AttemptOutcome.OK && outcome != AttemptOutcome.MOOT) {
                        checkRetries(
                                (Idempotency) row[0],
                                (DeduplicationScope) row[1],
                                (String) row[2],
                                (String) row[3],
                                outcome,
                                deadline);
                    }
                }
            }
        }
    }

    private static void checkRetries(
            Idempotency effect,
            DeduplicationScope group,
            String keeps,
            String last,
            AttemptOutcome outcome,
            long deadline) {
        String what = effect + " " + group + " " + outcome + " " + deadline;
        RoutingPolicyFixture router = new RoutingPolicyFixture(
                RoutingPolicyFixture.settings(1, RoutingPolicyFixture.requestClass(effect, group)));
        List<Endpoint> list = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            list.add(new Endpoint("s" + i, i % 2, 0, i % 4, EndpointState.LIVE, 1, 0));
        }
        router.policy.onEndpoints(router.now, EndpointListKind.COMPLETE, list);
        int repeated = 0;
        for (int n = 0; n < 24; n++) {
            String id = "x" + n;
            router.policy.onRequest(
                    router.now,
                    new RoutingRequest(
                            id, 0, 0, n + 1, 0, router.now + deadline, 0, 1000, 0, 100, false, false, false));
            assertEquals(1, router.attemptCounts.get(id), what + ": one attempt, and none beside it");
            int first = Integer.parseInt(router.replicaOf(id).substring(1));
            router.now += 10_000;
            router.endAttempt(id, outcome);
            boolean mayHaveRun = !outcome.wasNeverExecuted();
            if (router.attemptCounts.get(id) > 1) {
                repeated++;
                assertEquals(2, router.attemptCounts.get(id), what);
                int second = Integer.parseInt(router.replicaOf(id).substring(1));
                assertTrue(!mayHaveRun || !keeps.equals("nowhere"), what + " may have run");
                assertTrue(!mayHaveRun || !keeps.equals("zone") || first % 2 == second % 2, what + ": zone");
                assertTrue(!mayHaveRun || !keeps.equals("cell") || first % 4 == second % 4, what + ": cell");
                router.now += 10_000;
                router.endAttempt(id, AttemptOutcome.CANCELLED);
            }
            String word = mayHaveRun || router.attemptCounts.get(id) > 1 ? last : "refused";
            assertEquals(word, router.finalAnswers.get(id), what + " after " + router.attemptCounts.get(id));
            router.advance(4 * SECOND);
        }
        boolean again =
                outcome != AttemptOutcome.CANCELLED && !(keeps.equals("nowhere") && !outcome.wasNeverExecuted());
        assertEquals(again, repeated > 0, what + ": repeated " + repeated);
    }

    @Test
    void keyedRequestStaysInItsDeduplicationScope() {
        RoutingPolicyFixture router = new RoutingPolicyFixture(RoutingPolicyFixture.settings(
                1, RoutingPolicyFixture.requestClass(Idempotency.IDEMPOTENT_WITH_KEY, DeduplicationScope.CELL)));
        router.policy.onEndpoints(
                router.now,
                EndpointListKind.COMPLETE,
                List.of(
                        endpointInCell("a", 1), endpointInCell("b", 1),
                        endpointInCell("c", 2), endpointInCell("d", 2)));
        for (long k = 1; k < 20; k++) {
            String id = router.submit(0, k);
            boolean low = router.replicaOf(id).compareTo("b") <= 0;
            router.endAttempt(id, AttemptOutcome.RESET);
            if (router.attemptCounts.get(id) == 2) {
                assertEquals(low, router.replicaOf(id).compareTo("b") <= 0, "same cell");
                router.endAttempt(id, AttemptOutcome.RESET);
            }
            assertEquals("failed", router.finalAnswers.get(id), "only group all may be refused once it may have run");
            router.advance(SECOND);
        }
    }

    private static Endpoint endpointInCell(String id, int cell) {
        return new Endpoint(id, 0, 0, cell, EndpointState.LIVE, 1, 0);
    }

    @Test
    void keyedRequestIsNotRetriedAfterItsDeduplicationWindow() {
        RoutingPolicyFixture router = new RoutingPolicyFixture(RoutingPolicyFixture.settings(
                        1, RoutingPolicyFixture.requestClass(Idempotency.IDEMPOTENT_WITH_KEY, DeduplicationScope.ALL)))
                .list(replicaNames(6));
        String id = router.submit(0, 7);
        router.advance(3 * SECOND);
        router.endAttempt(id, AttemptOutcome.RESET);
        assertEquals(1, router.attemptCounts.get(id));
        assertEquals("refused", router.finalAnswers.get(id));
    }
}
