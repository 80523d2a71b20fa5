package magpiehub.routing;

import static magpiehub.routing.RoutingPolicyFixture.SECOND;
import static magpiehub.routing.RoutingPolicyFixture.replicaNames;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Tests the traffic that a warming replica gets. */
class SlowStartTest {
    /** Reports that the first replica has just started; returns its id. */
    private static String restartFirstReplica(RoutingPolicyFixture router) {
        String id = replicaNames(1)[0];
        router.policy.onEndpoints(
                router.now,
                EndpointListKind.CHANGES,
                List.of(RoutingPolicyFixture.endpoint(id, EndpointState.LIVE, router.now)));
        return id;
    }

    @Test
    void warmingReplicaGetsAFractionOfAWarmShare() {
        RoutingPolicyFixture router = new RoutingPolicyFixture(RoutingPolicyFixture.settings(1)).list(replicaNames(5));
        for (int i = 0; i < 400; i++) {
            router.serve(0, i + 1);
            router.advance(25_000);
        }
        String warmingReplica = restartFirstReplica(router);
        int early = 0;
        for (int i = 0; i < 80; i++) {
            early += router.serve(0, 5000 + i).equals(warmingReplica) ? 1 : 0;
            router.advance(25_000);
        }
        // 40 requests per second over 5 replicas are 16 for a warm one in 2 s. At an eighth of its capacity, the limit
        // is 2.5 times that capacity if the fleet is fully utilized.
        assertTrue(early <= 5, "sent to the warming replica: " + early);
        router.advance(30 * SECOND);
        int later = 0;
        for (int i = 0; i < 400; i++) {
            later += router.serve(0, 9000 + i).equals(warmingReplica) ? 1 : 0;
        }
        assertTrue(later > 30, "sent to the replica when it is warm: " + later);
    }

    /** The limit follows the site's overload factor, even if that is small. */
    @Test
    void warmingReplicaStaysUnderASmallOverloadFactor() {
        RoutingSettings defaults = RoutingPolicyFixture.settings(1);
        Guarantees guarantees = new Guarantees(8_000, 10 * SECOND, 20 * SECOND, 2 * SECOND, 1, 0.2, 2 * SECOND);
        RoutingPolicyFixture router = new RoutingPolicyFixture(RoutingSettingsBuilder.from(defaults)
                        .guarantees(guarantees)
                        .build())
                .list(replicaNames(5));
        for (int i = 0; i < 400; i++) {
            router.serve(0, i + 1);
            router.advance(25_000);
        }
        String warmingReplica = restartFirstReplica(router);
        for (int window = 0; window < 4; window++) {
            int n = 0;
            for (int i = 0; i < 80; i++) {
                n += router.serve(0, 5000 + 80 * window + i).equals(warmingReplica) ? 1 : 0;
                router.advance(25_000);
            }
            // 80 requests over 5 replicas are 16 for a warm one, which may be fully utilized by them.
            double limit = (0.2 + 0.8 * (window + 1) / 10) * 16;
            assertTrue(n <= limit && n >= 1, "sent in window " + window + ": " + n + " of " + limit);
        }
    }

    @Test
    void manyRoutersTogetherStayUnderTheLimit() {
        int routers = 20;
        int total = 0;
        for (int instanceIndex = 0; instanceIndex < routers; instanceIndex++) {
            RoutingSettings defaults = RoutingPolicyFixture.settings(routers);
            RoutingPolicyFixture router = new RoutingPolicyFixture(RoutingSettingsBuilder.from(defaults)
                            .instance(instanceIndex, routers)
                            .build())
                    .list(replicaNames(5));
            for (int i = 0; i < 100; i++) {
                router.serve(0, i + 1);
                router.advance(SECOND / 2);
            }
            String warmingReplica = restartFirstReplica(router);
            for (int i = 0; i < 4; i++) {
                total += router.serve(0, 5000 + i).equals(warmingReplica) ? 1 : 0;
                router.advance(SECOND / 2);
            }
        }
        // The routers send 40 requests per second together, 16 in 2 s to a warm replica of five.
        assertTrue(total <= 6, "sent to the warming replica: " + total);
    }

    @Test
    void newRoutersShareALargelyReplacedFleetByCapacity() {
        int routers = 14;
        int warm = 16;
        int fleet = 40;
        RoutingSettings defaults = RoutingPolicyFixture.settings(routers);
        Guarantees guarantees = new Guarantees(8_000, 10 * SECOND, 9 * SECOND, SECOND, 4, 0.3, 2 * SECOND);
        Map<String, Integer> sent = new HashMap<>();
        Map<String, Integer> firstSecond = new HashMap<>();
        for (int instanceIndex = 0; instanceIndex < routers; instanceIndex++) {
            RoutingPolicyFixture router = new RoutingPolicyFixture(RoutingSettingsBuilder.from(defaults)
                    .instance(instanceIndex, routers)
                    .ownZone(instanceIndex % 2)
                    .guarantees(guarantees)
                    .build());
            List<Endpoint> list = new ArrayList<>();
            for (int i = 0; i < fleet; i++) {
                list.add(RoutingPolicyFixture.endpoint(
                        replicaNames(fleet)[i], EndpointState.LIVE, i < warm ? 0 : router.now));
            }
            router.policy.onEndpoints(router.now, EndpointListKind.COMPLETE, list);
            for (int i = 0; i < 50; i++) {
                String replica = router.serve(0, 1000L * instanceIndex + i + 1);
                sent.merge(replica, 1, Integer::sum);
                firstSecond.merge(replica, i < 12 ? 1 : 0, Integer::sum);
                router.advance(80_000);
            }
        }
        double toWarm = 0;
        double toWarming = 0;
        for (int i = 0; i < fleet; i++) {
            toWarm += i < warm ? sent.getOrDefault(replicaNames(fleet)[i], 0) : 0;
            toWarming += i < warm ? 0 : sent.getOrDefault(replicaNames(fleet)[i], 0);
        }
        double relativeWork = toWarming / (fleet - warm) / (toWarm / warm);
        // Within 4 s, the capacity of a warming replica is 0.3 to 0.61 of a warm one's. Routers that computed their
        // rate over more than their own uptime sent it 0.01 of a warm one's work and overloaded the warm replicas.
        assertTrue(
                relativeWork > 0.12 && relativeWork < 0.61,
                "work of a warming replica as a fraction of a warm one's: " + relativeWork);
        double each = 175.0 / fleet;
        for (int i = warm; i < fleet; i++) {
            int n = firstSecond.getOrDefault(replicaNames(fleet)[i], 0);
            assertTrue(n <= 4 * 0.3 * 2 * each, "sent to a warming replica within its first second: " + n);
        }
    }

    @Test
    void warmingShareDependsOnAttemptsSentNotRequestsReceived() {
        RoutingPolicyFixture router = new RoutingPolicyFixture(RoutingPolicyFixture.settings(1)).list(replicaNames(5));
        for (int i = 0; i < 200; i++) {
            router.serve(0, i + 1);
            router.advance(100_000);
            for (int k = 0; k < 60; k++) {
                router.submit(9, 0, 0, 1);
            }
        }
        String warmingReplica = restartFirstReplica(router);
        int early = 0;
        for (int i = 0; i < 80; i++) {
            early += router.serve(0, 5000 + i).equals(warmingReplica) ? 1 : 0;
            router.advance(25_000);
        }
        // 10 attempts per second were sent before, 2 to each of five replicas: an eighth of that in 2 s is less than
        // one request, and the burst must not raise the limit.
        assertTrue(early <= 1, "sent to the warming replica: " + early);
    }

    /** Guarantees of the fixture: about an eighth of the capacity at the start, all of it after 20 s. */
    private static final long WARM_UP = 20 * SECOND;

    private static final double INITIAL_CAPACITY = 0.12;

    private static SlowStart slowStart(FleetState fleet, ActiveSettings settings) {
        return new SlowStart(settings, fleet, new TrafficMeter(0));
    }

    @Test
    void capacityRisesLinearlyFromItsInitialFraction() {
        ActiveSettings settings = new ActiveSettings(RoutingPolicyFixture.settings(1));
        SlowStart slowStart = slowStart(new FleetState(settings), settings);
        Replica replica = new Replica("a");
        assertEquals(1, slowStart.capacity(replica, 0), "it did not start recently");
        slowStart.start(replica, SECOND);
        assertTrue(slowStart.isWarmingUp(replica));
        assertEquals(INITIAL_CAPACITY, slowStart.capacity(replica, 0), "the clock is behind the start time");
        assertEquals(INITIAL_CAPACITY, slowStart.capacity(replica, SECOND));
        assertEquals(0.56, slowStart.capacity(replica, SECOND + WARM_UP / 2), 1e-9);
        assertEquals(1, slowStart.capacity(replica, SECOND + WARM_UP));
    }

    @Test
    void warmReplicaIsNotLimited() {
        ActiveSettings settings = new ActiveSettings(RoutingPolicyFixture.settings(1));
        SlowStart slowStart = slowStart(new FleetState(settings), settings);
        Replica replica = new Replica("a");
        slowStart.start(replica, 0);
        assertFalse(slowStart.allowsAttempt(replica, SECOND), "no token is earned without sending");
        assertTrue(slowStart.isWarmingUp(replica));
        assertTrue(slowStart.allowsAttempt(replica, WARM_UP));
        assertFalse(slowStart.isWarmingUp(replica));
    }
}
