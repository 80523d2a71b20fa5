package magpiehub.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests how the policy drives a {@link ZoneHealth} that plans for the loss of a zone. */
class ZoneHealthTest {
    /** A zone health whose state the test sets. */
    private static final class ScriptedZones implements ZoneHealth {
        final double[] acceptedFraction = {1, 1};
        final long[] closedSince = {Long.MAX_VALUE, Long.MAX_VALUE};
        final List<String> evidence = new ArrayList<>();
        int dueHealthChecks;
        boolean trialDue;

        @Override
        public void setZoneCount(int zones) {}

        @Override
        public void recordEvidence(long now, int zone, String replica, ZoneEvidence kind, long took, double ratio) {
            evidence.add(replica + " " + kind);
        }

        @Override
        public void forgetReplica(String replica) {
            evidence.add(replica + " forgotten");
        }

        @Override
        public void setReplicaCount(long now, int zone, int live) {}

        @Override
        public boolean accepts(long now, int zone, double position) {
            return position < acceptedFraction[zone];
        }

        @Override
        public long closedSince(int zone) {
            return closedSince[zone];
        }

        @Override
        public boolean acquireTrial(long now, int zone) {
            boolean isTrial = trialDue && closedSince[zone] != Long.MAX_VALUE;
            trialDue &= !isTrial;
            return isTrial;
        }

        @Override
        public int acquireHealthChecks(int zone) {
            int n = zone == 1 ? dueHealthChecks : 0;
            dueHealthChecks -= n;
            return n;
        }

        @Override
        public boolean plansFailover() {
            return true;
        }

        void closeSecondZone(long now) {
            acceptedFraction[1] = 0;
            closedSince[1] = now;
        }
    }

    private final ScriptedZones zones = new ScriptedZones();
    private RoutingPolicyFixture router = router(true);

    private RoutingPolicyFixture router(boolean allowsHealthChecks) {
        RoutingSettings settings = RoutingPolicyFixture.settings(1, true, true, List.of());
        RoutingLimits limits = settings.limits();
        RoutingPolicyFixture fixture = new RoutingPolicyFixture(
                RoutingSettingsBuilder.from(settings)
                        .limits(new RoutingLimits(
                                limits.allowsCancellation(),
                                allowsHealthChecks,
                                false,
                                false,
                                true,
                                6,
                                1000,
                                limits.maxRetryAfter(),
                                limits.connectTimeout()))
                        .build(),
                zones);
        List<Endpoint> all = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            all.add(new Endpoint((i < 4 ? "a" : "b") + i, i < 4 ? 0 : 1, 0, 0, EndpointState.LIVE, 1, 0));
        }
        fixture.policy.onEndpoints(fixture.now, EndpointListKind.COMPLETE, all);
        return fixture;
    }

    /** Submits requests until one is sent to the second zone; returns its id. */
    private String requestInSecondZone() {
        for (int i = 1; i < 200; i++) {
            String id = router.submit(0, i * 7919L);
            if (router.replicaOf(id).startsWith("b")) {
                return id;
            }
            router.startStream(id, 50_000);
            router.endAttempt(id, AttemptOutcome.OK);
        }
        throw new AssertionError("no request was sent to the second zone");
    }

    @Test
    void attemptsAtALostZoneAreCancelledAndRetriedElsewhere() {
        String id = requestInSecondZone();
        zones.closeSecondZone(router.now + 1);
        router.advance(100_000);
        assertEquals(List.of(id + "/0"), router.cancelledAttempts, "cancelled once");
        router.endAttempt(id, AttemptOutcome.CANCELLED);
        assertTrue(router.replicaOf(id).startsWith("a"), router.replicaOf(id));
        assertNull(router.finalAnswers.get(id));
    }

    /** An attempt that is stopped before its first byte because its replica drains is no evidence about its zone. */
    @Test
    void connectFailureAtADrainingReplicaIsNoZoneEvidence() {
        String id = requestInSecondZone();
        String replica = router.replicaOf(id);
        zones.evidence.clear();
        router.policy.onEndpoints(
                router.now,
                EndpointListKind.CHANGES,
                List.of(new Endpoint(replica, 1, 0, 0, EndpointState.DRAINING, 1, 0)));
        router.endAttempt(id, AttemptOutcome.CONNECT_FAILED);
        assertEquals(
                List.of(replica + " forgotten"), zones.evidence, "only the evidence about the replica is discarded");
        assertNotEquals(replica, router.replicaOf(id), "the request is retried elsewhere");
    }

    @Test
    void attemptCancelledByTheHostIsNotRetried() {
        String id = requestInSecondZone();
        router.endAttempt(id, AttemptOutcome.CANCELLED);
        assertEquals("rejected", router.finalAnswers.get(id));
    }

    @Test
    void startedStreamAtALostZoneIsNotCancelled() {
        String id = requestInSecondZone();
        router.startStream(id, 50_000);
        zones.closeSecondZone(router.now + 1);
        router.advance(2 * RoutingPolicyFixture.SECOND);
        assertEquals(List.of(), router.cancelledAttempts);
    }

    @Test
    void silenceIsReportedOnce() {
        String id = requestInSecondZone();
        router.advance(3 * RoutingPolicyFixture.SECOND);
        assertEquals(
                1,
                zones.evidence.stream()
                        .filter(t -> t.equals(router.replicaOf(id) + " SILENCE"))
                        .count());
    }

    @Test
    void recoveringZoneKeepsItsConversationsAndGetsMore() {
        Set<Long> before = new HashSet<>();
        zones.acceptedFraction[1] = 0.25;
        for (long session = 1; session <= 200; session++) {
            if (router.serve(0, session * 7919).startsWith("b")) {
                before.add(session);
            }
        }
        for (long session = 1; session <= 200; session++) {
            assertEquals(
                    before.contains(session),
                    router.serve(0, session * 7919).startsWith("b"),
                    "the next turn of a conversation goes to the same zone");
        }
        zones.acceptedFraction[1] = 1;
        Set<Long> later = new HashSet<>();
        RoutingPolicyFixture other = router(true);
        for (long session = 1; session <= 200; session++) {
            if (other.serve(0, session * 7919).startsWith("b")) {
                later.add(session);
            }
        }
        assertTrue(later.containsAll(before), "a larger fraction includes the conversations of a smaller one");
        assertNotEquals(before.size(), later.size());
    }

    @Test
    void healthChecksAndTrialsAreSentToTheZone() {
        zones.dueHealthChecks = 3;
        router.advance(50_000);
        router.advance(50_000);
        assertEquals(
                3,
                router.checkedReplicas.stream()
                        .filter(p -> p.startsWith("b"))
                        .distinct()
                        .count());
        zones.closeSecondZone(router.now);
        zones.trialDue = true;
        router.checkedReplicas.clear();
        router.advance(100_000);
        assertEquals(1, router.checkedReplicas.size());
        router.policy.onHealthCheckEnded(router.now, router.checkedReplicas.get(0), AttemptOutcome.OK, 1_000, null);
        assertTrue(zones.evidence.contains(router.checkedReplicas.get(0) + " ANSWERED"));
        router.policy.onHealthCheckEnded(
                router.now, router.checkedReplicas.get(0), AttemptOutcome.TIMEOUT, 1_000, null);
        assertTrue(zones.evidence.contains(router.checkedReplicas.get(0) + " SILENCE"));
    }

    @Test
    void requestIsTheTrialWithoutHealthChecks() {
        router = router(false);
        zones.closeSecondZone(router.now);
        zones.trialDue = true;
        String trial = router.submit(0, 5);
        assertTrue(router.replicaOf(trial).startsWith("b"));
        assertTrue(router.replicaOf(router.submit(0, 6)).startsWith("a"), "only one trial");
        router.advance(200_000);
        assertEquals(List.of(), router.cancelledAttempts, "the first token of the trial is not overdue yet");
        router.advance(RoutingPolicyFixture.SECOND);
        assertEquals(List.of(trial + "/0"), router.cancelledAttempts, "the first token of the trial is overdue");
    }

    @Test
    void reopenedZoneStartsWithoutEarlierFailures() {
        for (int i = 0; i < 4; i++) {
            String id = requestInSecondZone();
            router.endAttempt(id, AttemptOutcome.CONNECT_FAILED);
        }
        zones.closeSecondZone(router.now);
        router.advance(100_000);
        zones.evidence.clear();
        zones.acceptedFraction[1] = 1;
        zones.closedSince[1] = Long.MAX_VALUE;
        router.advance(100_000);
        assertEquals(
                List.of("b4 forgotten", "b5 forgotten", "b6 forgotten", "b7 forgotten"),
                zones.evidence.stream().sorted().toList());
        requestInSecondZone();
    }
}
