package magpiehub.routing;

import static magpiehub.routing.RoutingPolicyFixture.SECOND;
import static magpiehub.routing.RoutingPolicyFixture.loadReport;
import static magpiehub.routing.RoutingPolicyFixture.replicaNames;
import static magpiehub.routing.RoutingPolicyFixture.serveWithReport;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Ejections and trials. */
class OutlierDetectorTest {
    @Test
    void unreachableReplicaIsPassedOverThenTriedAgain() {
        RoutingPolicyFixture router = new RoutingPolicyFixture(RoutingPolicyFixture.settings(1)).list(replicaNames(6));
        String home = router.serve(0, 7);
        String id = router.submit(0, 7);
        router.endAttempt(id, AttemptOutcome.CONNECT_FAILED);
        router.startStream(id, 50_000);
        router.endAttempt(id, AttemptOutcome.OK);
        assertNotEquals(home, router.serve(0, 7), "ejected");
        router.advance(5 * SECOND);
        boolean back = false;
        for (int i = 0; i < 100; i++) {
            router.advance(SECOND / 10);
            back |= router.serve(0, 7).equals(home);
        }
        assertTrue(back, "half-open trial brings it back");
    }

    @Test
    void slowReplicaIsEjectedButNeverMostOfTheFleet() {
        RoutingPolicyFixture router = new RoutingPolicyFixture(RoutingPolicyFixture.settings(1)).list(replicaNames(9));
        for (long k = 1; k <= 90; k++) {
            router.serve(0, k);
        }
        String slow = router.serve(0, 7);
        for (int i = 0; i < 4; i++) {
            String id = router.submit(0, 7);
            boolean there = router.replicaOf(id).equals(slow);
            router.startStream(id, there ? 2 * SECOND : 50_000);
            router.endAttempt(id, AttemptOutcome.OK);
        }
        assertNotEquals(slow, router.serve(0, 7));
        RoutingPolicyFixture all = new RoutingPolicyFixture(RoutingPolicyFixture.settings(1)).list(replicaNames(9));
        for (long k = 1; k <= 90; k++) {
            all.serve(0, k);
        }
        for (long k = 1; k <= 200; k++) {
            String id = all.submit(0, k);
            all.startStream(id, 2 * SECOND);
            all.endAttempt(id, AttemptOutcome.OK);
        }
        Set<String> after = new HashSet<>();
        for (long k = 1; k <= 200; k++) {
            after.add(all.serve(0, k));
        }
        assertTrue(after.size() >= 6, "a shared slowness leaves most of the fleet in: " + after.size());
    }

    @Test
    void aLostConnectionEjectsNobodyButTwoDo() {
        RoutingPolicyFixture router = new RoutingPolicyFixture(RoutingPolicyFixture.settings(1)).list(replicaNames(8));
        String home = router.serve(0, 7);
        router.endAttempt(router.submit(0, 7), AttemptOutcome.RESET);
        assertEquals(home, router.serve(0, 7), "it may have been the request's fault");
        router.endAttempt(router.submit(0, 7), AttemptOutcome.RESET);
        assertNotEquals(home, router.replicaOf(router.submit(0, 7)), "twice in a short time");
        RoutingPolicyFixture other = new RoutingPolicyFixture(RoutingPolicyFixture.settings(1)).list(replicaNames(8));
        home = other.serve(0, 7);
        other.endAttempt(other.submit(0, 7), AttemptOutcome.SPOILT);
        other.endAttempt(other.submit(0, 7), AttemptOutcome.SPOILT);
        assertEquals(home, other.serve(0, 7), "what can't be read comes from any replica");
    }

    /** It reports that it is slow, though its first tokens come in time: it is ejected, unless it warms up. */
    @Test
    void loadReportsShowSlownessExceptOfAWarmingReplica() {
        for (boolean cold : new boolean[] {false, true}) {
            RoutingPolicyFixture router =
                    new RoutingPolicyFixture(RoutingPolicyFixture.settings(1)).list(replicaNames(8));
            router.policy.onEndpoints(
                    router.now,
                    EndpointListKind.CHANGES,
                    List.of(RoutingPolicyFixture.endpoint(
                            replicaNames(8)[3], EndpointState.LIVE, cold ? router.now : 0)));
            int late = 0;
            for (int i = 0; i < 300; i++) {
                String id = router.submit(0, 1000 + i);
                boolean slow = router.replicaOf(id).equals(replicaNames(8)[3]);
                late += slow && i >= 50 && i < 150 ? 1 : 0;
                serveWithReport(router, id, loadReport(0, slow ? 300 : 30));
                router.advance(10_000);
            }
            assertEquals(!cold, late == 0, "sent to it once it was known: " + late);
        }
    }
}
