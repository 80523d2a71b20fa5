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

/** How the policy serves a ZoneHealth that plans for the loss of a zone. */
class ZoneHealthTest {
    /** Zones that stand as the test says. */
    private static final class ScriptedZones implements ZoneHealth {
        final double[] share = {1, 1};
        final long[] shut = {Long.MAX_VALUE, Long.MAX_VALUE};
        final List<String> evidence = new ArrayList<>();
        int checks;
        boolean tries;

        @Override
        public void setZoneCount(int zones) {}

        @Override
        public void recordEvidence(long now, int zone, String replica, ZoneEvidence sign, long took, double ratio) {
            evidence.add(replica + " " + sign);
        }

        @Override
        public void forgetReplica(String replica) {
            evidence.add(replica + " fresh");
        }

        @Override
        public void setReplicaCount(long now, int zone, int live) {}

        @Override
        public boolean accepts(long now, int zone, double place) {
            return place < share[zone];
        }

        @Override
        public long closedSince(int zone) {
            return shut[zone];
        }

        @Override
        public boolean acquireTrial(long now, int zone) {
            boolean t = tries && shut[zone] != Long.MAX_VALUE;
            tries &= !t;
            return t;
        }

        @Override
        public int acquireHealthChecks(int zone) {
            int n = zone == 1 ? checks : 0;
            checks -= n;
            return n;
        }

        @Override
        public boolean plansFailover() {
            return true;
        }

        void closeSecondZone(long now) {
            share[1] = 0;
            shut[1] = now;
        }
    }

    private final ScriptedZones zones = new ScriptedZones();
    private RoutingPolicyFixture router = router(true);

    private RoutingPolicyFixture router(boolean probes) {
        RoutingSettings settings = RoutingPolicyFixture.settings(1, true, true, List.of());
        RoutingLimits limits = settings.limits();
        RoutingPolicyFixture fixture = new RoutingPolicyFixture(
                new RoutingSettings(
                        0,
                        1,
                        0,
                        2,
                        true,
                        false,
                        settings.weightMeaning(),
                        0.1,
                        settings.classes(),
                        List.of(),
                        new RoutingLimits(
                                limits.allowsCancellation(),
                                probes,
                                false,
                                false,
                                true,
                                6,
                                1000,
                                limits.maxRetryAfter(),
                                limits.connectTimeout()),
                        settings.guarantees(),
                        settings.costs()),
                zones);
        List<Endpoint> all = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            all.add(new Endpoint((i < 4 ? "a" : "b") + i, i < 4 ? 0 : 1, 0, 0, EndpointState.LIVE, 1, 0));
        }
        fixture.policy.onEndpoints(fixture.now, EndpointListKind.COMPLETE, all);
        return fixture;
    }

    /** A request that went to the second zone. */
    private String requestInSecondZone() {
        for (int i = 1; i < 200; i++) {
            String id = router.submit(0, i * 7919L);
            if (router.replicaOf(id).startsWith("b")) {
                return id;
            }
            router.startStream(id, 50_000);
            router.endAttempt(id, AttemptOutcome.OK);
        }
        throw new AssertionError("nothing goes there");
    }

    @Test
    void whatWaitsAtALostZoneIsGivenUpAndGoesElsewhereAtOnce() {
        String id = requestInSecondZone();
        zones.closeSecondZone(router.now + 1);
        router.advance(100_000);
        assertEquals(List.of(id + "/0"), router.cancelledAttempts, "given up once");
        router.endAttempt(id, AttemptOutcome.CANCELLED);
        assertTrue(router.replicaOf(id).startsWith("a"), router.replicaOf(id));
        assertNull(router.finalAnswers.get(id));
    }

    /** An attempt that is stopped before its first byte since its replica drains tells nothing of its
     *  zone. */
    @Test
    void aReplicaThatDrainsUnderAnAttemptIsNoSignOfALostZone() {
        String id = requestInSecondZone();
        String at = router.replicaOf(id);
        zones.evidence.clear();
        router.policy.onEndpoints(
                router.now, EndpointListKind.CHANGES, List.of(new Endpoint(at, 1, 0, 0, EndpointState.DRAINING, 1, 0)));
        router.endAttempt(id, AttemptOutcome.CONNECT_FAILED);
        assertEquals(List.of(at + " fresh"), zones.evidence, "only that it is another one now");
        assertNotEquals(at, router.replicaOf(id), "the request goes elsewhere");
    }

    @Test
    void whatTheHostCancelledByItselfIsNotTriedAgain() {
        String id = requestInSecondZone();
        router.endAttempt(id, AttemptOutcome.CANCELLED);
        assertEquals("refused", router.finalAnswers.get(id));
    }

    @Test
    void aStreamThatHasBegunAtALostZoneIsLeftAlone() {
        String id = requestInSecondZone();
        router.startStream(id, 50_000);
        zones.closeSecondZone(router.now + 1);
        router.advance(2 * RoutingPolicyFixture.SECOND);
        assertEquals(List.of(), router.cancelledAttempts);
    }

    @Test
    void silenceIsToldOnceWhileItLasts() {
        String id = requestInSecondZone();
        router.advance(3 * RoutingPolicyFixture.SECOND);
        assertEquals(
                1,
                zones.evidence.stream()
                        .filter(t -> t.equals(router.replicaOf(id) + " SILENCE"))
                        .count());
    }

    @Test
    void aZoneTakesTheSamePartOfTheConversationsAtEachStepAndMoreLater() {
        Set<Long> before = new HashSet<>();
        zones.share[1] = 0.25;
        for (long session = 1; session <= 200; session++) {
            if (router.serve(0, session * 7919).startsWith("b")) {
                before.add(session);
            }
        }
        for (long session = 1; session <= 200; session++) {
            assertEquals(
                    before.contains(session),
                    router.serve(0, session * 7919).startsWith("b"),
                    "its next turn goes where it was");
        }
        zones.share[1] = 1;
        Set<Long> later = new HashSet<>();
        RoutingPolicyFixture fresh = router(true);
        for (long session = 1; session <= 200; session++) {
            if (fresh.serve(0, session * 7919).startsWith("b")) {
                later.add(session);
            }
        }
        assertTrue(later.containsAll(before), "those of a smaller step are among them");
        assertNotEquals(before.size(), later.size());
    }

    @Test
    void healthChecksAreAskedOfTheZoneAndTrialsTooWhereTheyMayBe() {
        zones.checks = 3;
        router.advance(50_000);
        router.advance(50_000);
        assertEquals(
                3,
                router.probedReplicas.stream()
                        .filter(p -> p.startsWith("b"))
                        .distinct()
                        .count());
        zones.closeSecondZone(router.now);
        zones.tries = true;
        router.probedReplicas.clear();
        router.advance(100_000);
        assertEquals(1, router.probedReplicas.size());
        router.policy.onHealthCheckEnded(router.now, router.probedReplicas.get(0), AttemptOutcome.OK, 1_000, null);
        assertTrue(zones.evidence.contains(router.probedReplicas.get(0) + " ANSWERED"));
        router.policy.onHealthCheckEnded(router.now, router.probedReplicas.get(0), AttemptOutcome.TIMEOUT, 1_000, null);
        assertTrue(zones.evidence.contains(router.probedReplicas.get(0) + " SILENCE"));
    }

    @Test
    void whereThereAreNoHealthChecksOneRequestIsTheTrial() {
        router = router(false);
        zones.closeSecondZone(router.now);
        zones.tries = true;
        String trial = router.submit(0, 5);
        assertTrue(router.replicaOf(trial).startsWith("b"));
        assertTrue(router.replicaOf(router.submit(0, 6)).startsWith("a"), "one");
        router.advance(200_000);
        assertEquals(List.of(), router.cancelledAttempts, "it has its time");
        router.advance(RoutingPolicyFixture.SECOND);
        assertEquals(List.of(trial + "/0"), router.cancelledAttempts, "silent, it is given up");
    }

    @Test
    void aZoneThatIsBackIsMetAsIfNothingHadBeenLearntMeanwhile() {
        for (int i = 0; i < 4; i++) {
            String id = requestInSecondZone();
            router.endAttempt(id, AttemptOutcome.CONNECT_FAILED);
        }
        zones.closeSecondZone(router.now);
        router.advance(100_000);
        zones.evidence.clear();
        zones.share[1] = 1;
        zones.shut[1] = Long.MAX_VALUE;
        router.advance(100_000);
        assertEquals(
                List.of("b4 fresh", "b5 fresh", "b6 fresh", "b7 fresh"),
                zones.evidence.stream().sorted().toList());
        requestInSecondZone();
    }
}
