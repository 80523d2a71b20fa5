package magpiehub.routing;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertNotEquals;
import static org.junit.Assert.assertNull;
import static org.junit.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.Test;

/** What the decisions make of zones that are planned for: what is told, and what a share of 0 means. */
public class ZoneHealthTest {
    /** Zones that stand as the test says. */
    private static final class Said implements ZoneHealth {
        final double[] share = {1, 1};
        final long[] shut = {Long.MAX_VALUE, Long.MAX_VALUE};
        final List<String> told = new ArrayList<>();
        int checks;
        boolean tries;

        @Override
        public void setZoneCount(int zones) {}

        @Override
        public void recordEvidence(long now, int zone, String replica, ZoneEvidence sign, long took, double ratio) {
            told.add(replica + " " + sign);
        }

        @Override
        public void forgetReplica(String replica) {
            told.add(replica + " fresh");
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

        void lose(long now) {
            share[1] = 0;
            shut[1] = now;
        }
    }

    private final Said zones = new Said();
    private RoutingPolicyFixture b = bench(true);

    private RoutingPolicyFixture bench(boolean probes) {
        RoutingSettings s = RoutingPolicyFixture.settings(1, true, true, List.of());
        RoutingLimits l = s.limits();
        RoutingPolicyFixture bench = new RoutingPolicyFixture(
                new RoutingSettings(
                        0,
                        1,
                        0,
                        2,
                        true,
                        false,
                        s.weightMeaning(),
                        0.1,
                        s.classes(),
                        List.of(),
                        new RoutingLimits(
                                l.allowsCancellation(),
                                probes,
                                false,
                                false,
                                true,
                                6,
                                1000,
                                l.maxRetryAfter(),
                                l.connectTimeout()),
                        s.guarantees(),
                        s.costs()),
                zones);
        List<Endpoint> all = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            all.add(new Endpoint((i < 4 ? "a" : "b") + i, i < 4 ? 0 : 1, 0, 0, EndpointState.LIVE, 1, 0));
        }
        bench.policy.onEndpoints(bench.now, EndpointListKind.COMPLETE, all);
        return bench;
    }

    /** A request that went to the second zone. */
    private String there() {
        for (int i = 1; i < 200; i++) {
            String id = b.submit(0, i * 7919L);
            if (b.replicaOf(id).startsWith("b")) {
                return id;
            }
            b.startStream(id, 50_000);
            b.endAttempt(id, AttemptOutcome.OK);
        }
        throw new AssertionError("nothing goes there");
    }

    @Test
    public void whatWaitsAtALostZoneIsGivenUpAndGoesElsewhereAtOnce() {
        String id = there();
        zones.lose(b.now + 1);
        b.advance(100_000);
        assertEquals("given up once", List.of(id + "/0"), b.cancelledAttempts);
        b.endAttempt(id, AttemptOutcome.CANCELLED);
        assertTrue(b.replicaOf(id), b.replicaOf(id).startsWith("a"));
        assertNull(b.finalAnswers.get(id));
    }

    /** An attempt that is stopped before its first byte since its replica drains tells nothing of its
     *  zone. */
    @Test
    public void aReplicaThatDrainsUnderAnAttemptIsNoSignOfALostZone() {
        String id = there();
        String at = b.replicaOf(id);
        zones.told.clear();
        b.policy.onEndpoints(
                b.now, EndpointListKind.CHANGES, List.of(new Endpoint(at, 1, 0, 0, EndpointState.DRAINING, 1, 0)));
        b.endAttempt(id, AttemptOutcome.CONNECT_FAILED);
        assertEquals("only that it is another one now", List.of(at + " fresh"), zones.told);
        assertNotEquals("the request goes elsewhere", at, b.replicaOf(id));
    }

    @Test
    public void whatTheHostCancelledByItselfIsNotTriedAgain() {
        String id = there();
        b.endAttempt(id, AttemptOutcome.CANCELLED);
        assertEquals("refused", b.finalAnswers.get(id));
    }

    @Test
    public void aStreamThatHasBegunAtALostZoneIsLeftAlone() {
        String id = there();
        b.startStream(id, 50_000);
        zones.lose(b.now + 1);
        b.advance(2 * RoutingPolicyFixture.SECOND);
        assertEquals(List.of(), b.cancelledAttempts);
    }

    @Test
    public void silenceIsToldOnceWhileItLasts() {
        String id = there();
        b.advance(3 * RoutingPolicyFixture.SECOND);
        assertEquals(
                1,
                zones.told.stream()
                        .filter(t -> t.equals(b.replicaOf(id) + " SILENCE"))
                        .count());
    }

    @Test
    public void aZoneTakesTheSamePartOfTheConversationsAtEachStepAndMoreLater() {
        Set<Long> before = new HashSet<>();
        zones.share[1] = 0.25;
        for (long s = 1; s <= 200; s++) {
            if (b.serve(0, s * 7919).startsWith("b")) {
                before.add(s);
            }
        }
        for (long s = 1; s <= 200; s++) {
            assertEquals(
                    "its next turn goes where it was",
                    before.contains(s),
                    b.serve(0, s * 7919).startsWith("b"));
        }
        zones.share[1] = 1;
        Set<Long> later = new HashSet<>();
        RoutingPolicyFixture fresh = bench(true);
        for (long s = 1; s <= 200; s++) {
            if (fresh.serve(0, s * 7919).startsWith("b")) {
                later.add(s);
            }
        }
        assertTrue("those of a smaller step are among them", later.containsAll(before));
        assertNotEquals(before.size(), later.size());
    }

    @Test
    public void healthChecksAreAskedOfTheZoneAndTrialsTooWhereTheyMayBe() {
        zones.checks = 3;
        b.advance(50_000);
        b.advance(50_000);
        assertEquals(
                3,
                b.probedReplicas.stream()
                        .filter(p -> p.startsWith("b"))
                        .distinct()
                        .count());
        zones.lose(b.now);
        zones.tries = true;
        b.probedReplicas.clear();
        b.advance(100_000);
        assertEquals(1, b.probedReplicas.size());
        b.policy.onProbeResult(b.now, b.probedReplicas.get(0), AttemptOutcome.OK, 1_000, null);
        assertTrue(zones.told.contains(b.probedReplicas.get(0) + " ANSWERED"));
        b.policy.onProbeResult(b.now, b.probedReplicas.get(0), AttemptOutcome.TIMEOUT, 1_000, null);
        assertTrue(zones.told.contains(b.probedReplicas.get(0) + " SILENCE"));
    }

    @Test
    public void whereThereAreNoHealthChecksOneRequestIsTheTrial() {
        b = bench(false);
        zones.lose(b.now);
        zones.tries = true;
        String trial = b.submit(0, 5);
        assertTrue(b.replicaOf(trial).startsWith("b"));
        assertTrue("one", b.replicaOf(b.submit(0, 6)).startsWith("a"));
        b.advance(200_000);
        assertEquals("it has its time", List.of(), b.cancelledAttempts);
        b.advance(RoutingPolicyFixture.SECOND);
        assertEquals("silent, it is given up", List.of(trial + "/0"), b.cancelledAttempts);
    }

    @Test
    public void aZoneThatIsBackIsMetAsIfNothingHadBeenLearntMeanwhile() {
        for (int i = 0; i < 4; i++) {
            String id = there();
            b.endAttempt(id, AttemptOutcome.CONNECT_FAILED);
        }
        zones.lose(b.now);
        b.advance(100_000);
        zones.told.clear();
        zones.share[1] = 1;
        zones.shut[1] = Long.MAX_VALUE;
        b.advance(100_000);
        assertEquals(
                List.of("b4 fresh", "b5 fresh", "b6 fresh", "b7 fresh"),
                zones.told.stream().sorted().toList());
        there();
    }
}
