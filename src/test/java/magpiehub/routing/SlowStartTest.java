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

/** The traffic that a warming replica gets. */
class SlowStartTest {
    @Test
    void warmingReplicaGetsAPartOfAWarmShare() {
        RoutingPolicyFixture router = new RoutingPolicyFixture(RoutingPolicyFixture.settings(1)).list(replicaNames(5));
        for (int i = 0; i < 400; i++) {
            router.serve(0, i + 1);
            router.advance(25_000);
        }
        String cold = "10.0.0.0:9000";
        router.policy.onEndpoints(
                router.now,
                EndpointListKind.CHANGES,
                List.of(RoutingPolicyFixture.endpoint(cold, EndpointState.LIVE, router.now)));
        int early = 0;
        for (int i = 0; i < 80; i++) {
            early += router.serve(0, 5000 + i).equals(cold) ? 1 : 0;
            router.advance(25_000);
        }
        // 2 s at 40 a second over 5 replicas is 16 for a warm one; at an eighth of its capacity, 2.5 times
        // that capacity is the rule's bound if the fleet is full.
        assertTrue(early <= 5, "sent to the cold one: " + early);
        router.advance(30 * SECOND);
        int later = 0;
        for (int i = 0; i < 400; i++) {
            later += router.serve(0, 9000 + i).equals(cold) ? 1 : 0;
        }
        assertTrue(later > 30, "warm again: " + later);
    }

    /** The budget comes from the site's multiple, also where that is small. */
    @Test
    void warmingReplicaStaysUnderASmallOverloadFactor() {
        RoutingSettings defaults = RoutingPolicyFixture.settings(1);
        Guarantees guarantees = new Guarantees(8_000, 10 * SECOND, 20 * SECOND, 2 * SECOND, 1, 0.2, 2 * SECOND);
        RoutingPolicyFixture router = new RoutingPolicyFixture(new RoutingSettings(
                        0,
                        1,
                        0,
                        2,
                        false,
                        false,
                        defaults.weightMeaning(),
                        0.1,
                        defaults.classes(),
                        defaults.tenants(),
                        defaults.limits(),
                        guarantees,
                        defaults.costs()))
                .list(replicaNames(5));
        for (int i = 0; i < 400; i++) {
            router.serve(0, i + 1);
            router.advance(25_000);
        }
        String cold = "10.0.0.0:9000";
        router.policy.onEndpoints(
                router.now,
                EndpointListKind.CHANGES,
                List.of(RoutingPolicyFixture.endpoint(cold, EndpointState.LIVE, router.now)));
        for (int window = 0; window < 4; window++) {
            int n = 0;
            for (int i = 0; i < 80; i++) {
                n += router.serve(0, 5000 + 80 * window + i).equals(cold) ? 1 : 0;
                router.advance(25_000);
            }
            // 80 over 5 replicas are 16 for a warm one, which may be fully used by them.
            double may = (0.2 + 0.8 * (window + 1) / 10) * 16;
            assertTrue(n <= may && n >= 1, "sent in window " + window + ": " + n + " of " + may);
        }
    }

    @Test
    void manyRoutersTogetherStayUnderTheBudget() {
        int nodes = 20;
        int total = 0;
        for (int me = 0; me < nodes; me++) {
            RoutingSettings defaults = RoutingPolicyFixture.settings(nodes);
            RoutingPolicyFixture router = new RoutingPolicyFixture(new RoutingSettings(
                            me,
                            nodes,
                            0,
                            2,
                            false,
                            false,
                            defaults.weightMeaning(),
                            0.1,
                            defaults.classes(),
                            defaults.tenants(),
                            defaults.limits(),
                            defaults.guarantees(),
                            defaults.costs()))
                    .list(replicaNames(5));
            for (int i = 0; i < 100; i++) {
                router.serve(0, i + 1);
                router.advance(SECOND / 2);
            }
            String cold = "10.0.0.0:9000";
            router.policy.onEndpoints(
                    router.now,
                    EndpointListKind.CHANGES,
                    List.of(RoutingPolicyFixture.endpoint(cold, EndpointState.LIVE, router.now)));
            for (int i = 0; i < 4; i++) {
                total += router.serve(0, 5000 + i).equals(cold) ? 1 : 0;
                router.advance(SECOND / 2);
            }
        }
        // Together 40 a second, 16 in the 2 s for a warm one of five.
        assertTrue(total <= 6, "sent to the cold one: " + total);
    }

    @Test
    void freshRoutersShareALargelyReplacedFleetByItsCapacity() {
        int nodes = 14;
        int warm = 16;
        int fleet = 40;
        RoutingSettings defaults = RoutingPolicyFixture.settings(nodes);
        Guarantees guarantees = new Guarantees(8_000, 10 * SECOND, 9 * SECOND, SECOND, 4, 0.3, 2 * SECOND);
        Map<String, Integer> sent = new HashMap<>();
        Map<String, Integer> firstSecond = new HashMap<>();
        for (int me = 0; me < nodes; me++) {
            RoutingPolicyFixture router = new RoutingPolicyFixture(new RoutingSettings(
                    me,
                    nodes,
                    me % 2,
                    2,
                    false,
                    false,
                    defaults.weightMeaning(),
                    0.1,
                    defaults.classes(),
                    defaults.tenants(),
                    defaults.limits(),
                    guarantees,
                    defaults.costs()));
            List<Endpoint> list = new ArrayList<>();
            for (int i = 0; i < fleet; i++) {
                list.add(RoutingPolicyFixture.endpoint(
                        replicaNames(fleet)[i], EndpointState.LIVE, i < warm ? 0 : router.now));
            }
            router.policy.onEndpoints(router.now, EndpointListKind.COMPLETE, list);
            for (int i = 0; i < 50; i++) {
                String at = router.serve(0, 1000L * me + i + 1);
                sent.merge(at, 1, Integer::sum);
                firstSecond.merge(at, i < 12 ? 1 : 0, Integer::sum);
                router.advance(80_000);
            }
        }
        double toWarm = 0;
        double toCold = 0;
        for (int i = 0; i < fleet; i++) {
            toWarm += i < warm ? sent.getOrDefault(replicaNames(fleet)[i], 0) : 0;
            toCold += i < warm ? 0 : sent.getOrDefault(replicaNames(fleet)[i], 0);
        }
        double part = toCold / (fleet - warm) / (toWarm / warm);
        // Within 4 s their capacity is 0.3 to 0.61 of a warm one's. Routers that took their own short life
        // for a lack of traffic sent them 0.01 of a warm one's work, and overloaded the warm ones.
        assertTrue(part > 0.12 && part < 0.61, "a cold replica's part of a warm one's work: " + part);
        double each = 175.0 / fleet;
        for (int i = warm; i < fleet; i++) {
            int n = firstSecond.getOrDefault(replicaNames(fleet)[i], 0);
            assertTrue(n <= 4 * 0.3 * 2 * each, "to one cold replica within its first second: " + n);
        }
    }

    @Test
    void warmingShareGoesByAttemptsSentNotRequestsReceived() {
        RoutingPolicyFixture router = new RoutingPolicyFixture(RoutingPolicyFixture.settings(1)).list(replicaNames(5));
        for (int i = 0; i < 200; i++) {
            router.serve(0, i + 1);
            router.advance(100_000);
            for (int k = 0; k < 60; k++) {
                router.submit(9, 0, 0, 1);
            }
        }
        String cold = "10.0.0.0:9000";
        router.policy.onEndpoints(
                router.now,
                EndpointListKind.CHANGES,
                List.of(RoutingPolicyFixture.endpoint(cold, EndpointState.LIVE, router.now)));
        int early = 0;
        for (int i = 0; i < 80; i++) {
            early += router.serve(0, 5000 + i).equals(cold) ? 1 : 0;
            router.advance(25_000);
        }
        // 10 a second were sent before, 2 for each of five: an eighth of that for 2 s is under one request,
        // and the denser burst now must not buy more.
        assertTrue(early <= 1, "sent to the cold one: " + early);
    }

    /** Guarantees of the fixture: an eighth of the capacity at first, all of it after 20 s. */
    private static final long WARM_UP = 20 * SECOND;

    private static final double INITIAL_CAPACITY = 0.12;

    private static SlowStart slowStart(FleetState fleet, ActiveSettings settings) {
        return new SlowStart(settings, fleet, new TrafficMeter(0));
    }

    @Test
    void capacityRisesEvenlyFromItsInitialPart() {
        ActiveSettings settings = new ActiveSettings(RoutingPolicyFixture.settings(1));
        SlowStart slowStart = slowStart(new FleetState(settings), settings);
        Replica replica = new Replica("a");
        assertEquals(1, slowStart.capacity(replica, 0), "it was there when the router started");
        slowStart.start(replica, SECOND);
        assertTrue(slowStart.isWarmingUp(replica));
        assertEquals(INITIAL_CAPACITY, slowStart.capacity(replica, 0), "a clock that is behind");
        assertEquals(INITIAL_CAPACITY, slowStart.capacity(replica, SECOND));
        assertEquals(0.56, slowStart.capacity(replica, SECOND + WARM_UP / 2), 1e-9);
        assertEquals(1, slowStart.capacity(replica, SECOND + WARM_UP));
    }

    @Test
    void aWarmReplicaIsNoLongerLimited() {
        ActiveSettings settings = new ActiveSettings(RoutingPolicyFixture.settings(1));
        SlowStart slowStart = slowStart(new FleetState(settings), settings);
        Replica replica = new Replica("a");
        slowStart.start(replica, 0);
        assertFalse(slowStart.allowsAttempt(replica, SECOND), "nothing was sent, so no token was earned");
        assertTrue(slowStart.isWarmingUp(replica));
        assertTrue(slowStart.allowsAttempt(replica, WARM_UP));
        assertFalse(slowStart.isWarmingUp(replica));
    }
}
