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

/** Tests ejections and trials. */
class OutlierDetectorTest {
    @Test
    void unreachableReplicaIsEjectedAndTriedAgain() {
        RoutingPolicyFixture router = new RoutingPolicyFixture(RoutingPolicyFixture.settings(1)).list(replicaNames(6));
        String home = router.serve(0, 7);
        String id = router.submit(0, 7);
        router.endAttempt(id, AttemptOutcome.CONNECT_FAILED);
        router.startStream(id, 50_000);
        router.endAttempt(id, AttemptOutcome.OK);
        assertNotEquals(home, router.serve(0, 7), "ejected");
        router.advance(5 * SECOND);
        boolean returned = false;
        for (int i = 0; i < 100; i++) {
            router.advance(SECOND / 10);
            returned |= router.serve(0, 7).equals(home);
        }
        assertTrue(returned, "a successful trial ends the ejection");
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
            boolean isSlowReplica = router.replicaOf(id).equals(slow);
            router.startStream(id, isSlowReplica ? 2 * SECOND : 50_000);
            router.endAttempt(id, AttemptOutcome.OK);
        }
        assertNotEquals(slow, router.serve(0, 7));
        RoutingPolicyFixture uniformlySlow =
                new RoutingPolicyFixture(RoutingPolicyFixture.settings(1)).list(replicaNames(9));
        for (long k = 1; k <= 90; k++) {
            uniformlySlow.serve(0, k);
        }
        for (long k = 1; k <= 200; k++) {
            String id = uniformlySlow.submit(0, k);
            uniformlySlow.startStream(id, 2 * SECOND);
            uniformlySlow.endAttempt(id, AttemptOutcome.OK);
        }
        Set<String> after = new HashSet<>();
        for (long k = 1; k <= 200; k++) {
            after.add(uniformlySlow.serve(0, k));
        }
        assertTrue(after.size() >= 6, "replicas in use while all are slow: " + after.size());
    }

    @Test
    void oneLostConnectionDoesNotEjectButTwoDo() {
        RoutingPolicyFixture router = new RoutingPolicyFixture(RoutingPolicyFixture.settings(1)).list(replicaNames(8));
        String home = router.serve(0, 7);
        router.endAttempt(router.submit(0, 7), AttemptOutcome.RESET);
        assertEquals(home, router.serve(0, 7), "a single lost connection may be caused by the request");
        router.endAttempt(router.submit(0, 7), AttemptOutcome.RESET);
        assertNotEquals(home, router.replicaOf(router.submit(0, 7)), "two lost connections within a short time");
        RoutingPolicyFixture other = new RoutingPolicyFixture(RoutingPolicyFixture.settings(1)).list(replicaNames(8));
        home = other.serve(0, 7);
        other.endAttempt(other.submit(0, 7), AttemptOutcome.SPOILT);
        other.endAttempt(other.submit(0, 7), AttemptOutcome.SPOILT);
        assertEquals(home, other.serve(0, 7), "two malformed responses do not eject");
    }

    /**
     * A replica that reports a high service time is ejected although its first tokens are in time, unless it warms up.
     */
    @Test
    void loadReportsShowSlownessExceptOfAWarmingReplica() {
        for (boolean warmingUp : new boolean[] {false, true}) {
            RoutingPolicyFixture router =
                    new RoutingPolicyFixture(RoutingPolicyFixture.settings(1)).list(replicaNames(8));
            router.policy.onEndpoints(
                    router.now,
                    EndpointListKind.CHANGES,
                    List.of(RoutingPolicyFixture.endpoint(
                            replicaNames(8)[3], EndpointState.LIVE, warmingUp ? router.now : 0)));
            int sentAfterReports = 0;
            for (int i = 0; i < 300; i++) {
                String id = router.submit(0, 1000 + i);
                boolean slow = router.replicaOf(id).equals(replicaNames(8)[3]);
                sentAfterReports += slow && i >= 50 && i < 150 ? 1 : 0;
                serveWithReport(router, id, loadReport(0, slow ? 300 : 30));
                router.advance(10_000);
            }
            assertEquals(
                    !warmingUp,
                    sentAfterReports == 0,
                    "sent to the slow replica after its reports: " + sentAfterReports);
        }
    }
}
