package magpiehub.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests where keys are placed on a ring, and which keys a change of its members moves. */
class HashRingTest {
    private static final int KEYS = 2_000;

    private static List<Replica> replicas(int count) {
        List<Replica> replicas = new ArrayList<>();
        for (String id : RoutingPolicyFixture.replicaNames(count)) {
            replicas.add(new Replica(id));
        }
        return replicas;
    }

    private static Replica ownerOf(HashRing ring, long key) {
        return ring.replicaAt(ring.firstPointFrom(SplitMix64.mix(key)));
    }

    @Test
    void removedReplicaMovesOnlyItsOwnKeys() {
        List<Replica> replicas = replicas(8);
        HashRing before = new HashRing(replicas);
        Replica removed = replicas.get(3);
        HashRing after =
                new HashRing(replicas.stream().filter(r -> r != removed).toList());
        for (long key = 0; key < KEYS; key++) {
            Replica owner = ownerOf(before, key);
            if (owner != removed) {
                assertSame(owner, ownerOf(after, key));
            }
        }
        assertTrue(before.contains(removed));
        assertFalse(after.contains(removed));
        assertEquals(7, after.replicaCount());
    }

    @Test
    void theOrderOfMembersDoesNotMatter() {
        List<Replica> replicas = replicas(8);
        List<Replica> reversed = new ArrayList<>(replicas);
        Collections.reverse(reversed);
        HashRing one = new HashRing(replicas);
        HashRing other = new HashRing(reversed);
        for (long key = 0; key < KEYS; key++) {
            assertSame(ownerOf(one, key), ownerOf(other, key));
        }
    }

    @Test
    void replicaHasPointsInProportionToItsSize() {
        List<Replica> replicas = replicas(3);
        int even = new HashRing(replicas).pointCount();
        assertEquals(0, even % 3);
        Replica large = replicas.get(0);
        large.update(new Endpoint(large.id(), 0, 0, 0, EndpointState.LIVE, 2, 0), WeightMeaning.NOMINAL);
        large.setRelativeSize(3, 3);
        assertEquals(2, large.relativeSize());
        assertEquals(even / 3 * 4, new HashRing(replicas).pointCount());
    }

    @Test
    void anEmptyRingHasNoPoints() {
        HashRing ring = new HashRing(List.of());
        assertEquals(0, ring.pointCount());
        assertEquals(0, ring.firstPointFrom(42));
    }
}
