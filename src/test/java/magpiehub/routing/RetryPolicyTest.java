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

/** Tests which attempts are retried, and where. */
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
        assertEquals(2, router.attemptCounts.get(id), "it may have been executed");
        assertEquals("failed", router.finalAnswers.get(id), "a request that may have been executed is not rejected");
    }

    /**
     * Tests for every idempotency and outcome, with short and long deadlines, whether and where an attempt is retried
     * and what the final answer is. A row contains the replicas that a second attempt may go to after a possible
     * execution, and the final answer after it.
     */
    @Test
    void idempotencyByOutcome() {
        Object[][] rows = {
            {Idempotency.IDEMPOTENT, DeduplicationScope.ALL, "anywhere", "rejected"},
            {Idempotency.IDEMPOTENT_WITH_KEY, DeduplicationScope.ALL, "anywhere", "rejected"},
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
            Idempotency idempotency,
            DeduplicationScope scope,
            String allowedScope,
            String finalAnswer,
            AttemptOutcome outcome,
            long deadline) {
        String description = idempotency + " " + scope + " " + outcome + " " + deadline;
        RoutingPolicyFixture router = new RoutingPolicyFixture(
                RoutingPolicyFixture.settings(1, RoutingPolicyFixture.requestClass(idempotency, scope)));
        List<Endpoint> list = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            list.add(new Endpoint("s" + i, i % 2, 0, i % 4, EndpointState.LIVE, 1, 0));
        }
        router.policy.onEndpoints(router.now, EndpointListKind.COMPLETE, list);
        int retried = 0;
        for (int n = 0; n < 24; n++) {
            String id = "x" + n;
            router.policy.onRequest(
                    router.now,
                    new RoutingRequest(
                            id, 0, 0, n + 1, 0, router.now + deadline, 0, 1000, 0, 100, false, false, false));
            assertEquals(1, router.attemptCounts.get(id), description + ": one attempt, none in parallel");
            int first = Integer.parseInt(router.replicaOf(id).substring(1));
            router.now += 10_000;
            router.endAttempt(id, outcome);
            boolean mayHaveBeenExecuted = !outcome.wasNeverExecuted();
            if (router.attemptCounts.get(id) > 1) {
                retried++;
                assertEquals(2, router.attemptCounts.get(id), description);
                int second = Integer.parseInt(router.replicaOf(id).substring(1));
                assertTrue(
                        !mayHaveBeenExecuted || !allowedScope.equals("nowhere"),
                        description + " may have been executed");
                assertTrue(
                        !mayHaveBeenExecuted || !allowedScope.equals("zone") || first % 2 == second % 2,
                        description + ": zone");
                assertTrue(
                        !mayHaveBeenExecuted || !allowedScope.equals("cell") || first % 4 == second % 4,
                        description + ": cell");
                router.now += 10_000;
                router.endAttempt(id, AttemptOutcome.CANCELLED);
            }
            String expectedAnswer = mayHaveBeenExecuted || router.attemptCounts.get(id) > 1 ? finalAnswer : "rejected";
            assertEquals(
                    expectedAnswer,
                    router.finalAnswers.get(id),
                    description + " after " + router.attemptCounts.get(id));
            router.advance(4 * SECOND);
        }
        boolean expectsRetry =
                outcome != AttemptOutcome.CANCELLED && !(allowedScope.equals("nowhere") && !outcome.wasNeverExecuted());
        assertEquals(expectsRetry, retried > 0, description + ": number of retries: " + retried);
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
            boolean isFirstCell = router.replicaOf(id).compareTo("b") <= 0;
            router.endAttempt(id, AttemptOutcome.RESET);
            if (router.attemptCounts.get(id) == 2) {
                assertEquals(isFirstCell, router.replicaOf(id).compareTo("b") <= 0, "same cell");
                router.endAttempt(id, AttemptOutcome.RESET);
            }
            assertEquals(
                    "failed",
                    router.finalAnswers.get(id),
                    "only requests with scope ALL may be rejected after a possible execution");
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
        assertEquals("rejected", router.finalAnswers.get(id));
    }
}
