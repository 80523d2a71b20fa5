package magpiehub.routing;

import static magpiehub.routing.RoutingPolicyFixture.SECOND;
import static magpiehub.routing.RoutingPolicyFixture.replicaNames;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the path of a request through the policy, and its final answer. */
class RoutingPolicyTest {
    /** A reload lowers the number of attempts of a request in flight and appends a class. */
    @Test
    void newSettingsApplyFromTheNextDecision() {
        RoutingSettings settings = RoutingPolicyFixture.settings(1);
        RoutingPolicyFixture router = new RoutingPolicyFixture(settings).list(replicaNames(4));
        String requestBeforeReload = router.submit(0, 0);
        RequestClass strict = new RequestClass(
                "c",
                Idempotency.NOT_IDEMPOTENT,
                DeduplicationScope.ALL,
                0,
                true,
                SECOND,
                0,
                0,
                4 * SECOND,
                60_000,
                1,
                0.3);
        RoutingLimits limits = settings.limits();
        router.policy.onSettings(
                router.now,
                RoutingSettingsBuilder.from(settings)
                        .classes(settings.classes().get(0), strict)
                        .tenants(new Tenant("t", 1, 5))
                        .limits(new RoutingLimits(
                                limits.allowsCancellation(),
                                limits.allowsHealthChecks(),
                                limits.allowsPeerMessages(),
                                limits.allowsParallelAttempts(),
                                limits.sendsRetryAfter(),
                                2,
                                limits.maxInFlight(),
                                limits.maxRetryAfter(),
                                limits.connectTimeout()))
                        .build());
        router.endAttempt(requestBeforeReload, AttemptOutcome.RESET);
        assertEquals(2, router.attemptCounts.get(requestBeforeReload), "its own class may be retried");
        router.endAttempt(requestBeforeReload, AttemptOutcome.RESET);
        assertEquals(2, router.attemptCounts.get(requestBeforeReload), "the new settings allow two attempts");
        assertEquals("rejected", router.finalAnswers.get(requestBeforeReload));
        String requestAfterReload = router.submit(1, 0, 0, 0);
        router.endAttempt(requestAfterReload, AttemptOutcome.RESET);
        assertEquals(1, router.attemptCounts.get(requestAfterReload), "the new class is never retried");
        assertEquals("failed", router.finalAnswers.get(requestAfterReload));
        router.advance(SECOND);
    }

    /** The client no longer waits for the answer, so an attempt would only waste a replica's capacity. */
    @Test
    void expiredRequestIsRejectedAndNotSent() {
        RoutingPolicyFixture router = new RoutingPolicyFixture(RoutingPolicyFixture.settings(1)).list(replicaNames(4));
        for (long lateness : new long[] {0, 1, SECOND}) {
            String id = "late" + lateness;
            router.policy.onRequest(
                    router.now,
                    new RoutingRequest(id, 0, 0, 7, 0, router.now - lateness, 0, 1000, 800, 100, false, false, false));
            assertEquals("rejected", router.finalAnswers.get(id));
            assertNull(router.replicaOf(id));
        }
    }

    /** A reload that allows more attempts and parallel attempts applies only to requests that arrive after it. */
    @Test
    void requestKeepsTheLimitsOfItsArrival() {
        RoutingSettings wide = RoutingPolicyFixture.settings(1, true, false, List.of());
        RoutingLimits limits = wide.limits();
        RoutingLimits narrow = new RoutingLimits(
                limits.allowsCancellation(),
                limits.allowsHealthChecks(),
                limits.allowsPeerMessages(),
                false,
                limits.sendsRetryAfter(),
                2,
                limits.maxInFlight(),
                limits.maxRetryAfter(),
                limits.connectTimeout());
        RoutingPolicyFixture router = new RoutingPolicyFixture(
                        RoutingSettingsBuilder.from(wide).limits(narrow).build())
                .list(replicaNames(8));
        String requestBeforeReload = router.submit(0, 0);
        router.policy.onSettings(router.now, wide);
        router.endAttempt(requestBeforeReload, AttemptOutcome.RESET);
        router.endAttempt(requestBeforeReload, AttemptOutcome.RESET);
        assertEquals(2, router.attemptCounts.get(requestBeforeReload));
        assertEquals("rejected", router.finalAnswers.get(requestBeforeReload));
        String requestAfterReload = router.submit(0, 0);
        router.endAttempt(requestAfterReload, AttemptOutcome.RESET);
        router.endAttempt(requestAfterReload, AttemptOutcome.RESET);
        assertEquals(
                3,
                router.attemptCounts.get(requestAfterReload),
                "the new limit applies to requests that arrive after the reload");
    }

    @Test
    void requestIsRejectedImmediatelyWithoutReplicas() {
        RoutingPolicyFixture router = new RoutingPolicyFixture(RoutingPolicyFixture.settings(1));
        String id = router.submit(1, 1);
        assertNull(router.replicaOf(id));
        assertEquals("rejected", router.finalAnswers.get(id));
    }

    @Test
    void requestWhoseAttemptsAllFailGetsOneAnswer() {
        RoutingPolicyFixture router = new RoutingPolicyFixture(RoutingPolicyFixture.settings(1)).list(replicaNames(6));
        String id = router.submit(0, 7);
        for (int i = 0; i < 10 && router.finalAnswers.get(id) == null; i++) {
            router.endAttempt(id, AttemptOutcome.FULL);
        }
        assertEquals("rejected", router.finalAnswers.get(id));
    }

    @Test
    void eventsOfUnknownRequestsAndReplicasAreIgnored() {
        RoutingPolicyFixture router = new RoutingPolicyFixture(RoutingPolicyFixture.settings(1)).list(replicaNames(2));
        router.policy.onStreamStarted(router.now, "x", 0, 1);
        router.policy.onAttemptEnded(router.now, "x", 0, AttemptOutcome.OK, 1, true, 0, null);
        router.policy.onClientDisconnected(router.now, "x");
        router.policy.onTimer(router.now, 99);
        router.policy.onHealthCheckEnded(router.now, "x", AttemptOutcome.CONNECT_FAILED, 1, null);
        router.policy.onPeerMessage(router.now, 1, new byte[0]);
        String id = router.submit(0, 1);
        router.policy.onAttemptEnded(router.now, id, 5, AttemptOutcome.OK, 1, true, 0, null);
        router.policy.onClientDisconnected(router.now, id);
        router.policy.onAttemptEnded(router.now - SECOND, id, 0, AttemptOutcome.CANCELLED, 1, true, 0, null);
        assertTrue(router.finalAnswers.isEmpty());
    }
}
