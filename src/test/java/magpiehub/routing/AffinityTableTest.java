package magpiehub.routing;

import static magpiehub.routing.RoutingPolicyFixture.SECOND;
import static magpiehub.routing.RoutingPolicyFixture.replicaNames;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotSame;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests the bounds of the affinity table and its entries. */
class AffinityTableTest {
    @Test
    void unusedEntriesAgeOut() {
        RoutingPolicyFixture router = new RoutingPolicyFixture(RoutingPolicyFixture.settings(40)).list(replicaNames(2));
        // One router's share is 16 keys per replica here: both replicas are full at 32 keys. From then on, a replica of
        // the least recently used entry serves the request and is removed from that entry.
        for (long k = 1; k <= 40; k++) {
            assertTrue(router.serve(0, k) != null, "requests are served although the replicas are full");
        }
        router.advance(70 * SECOND);
        Set<String> used = new HashSet<>();
        for (long k = 100; k <= 130; k++) {
            used.add(router.serve(0, k));
        }
        assertEquals(2, used.size());
    }

    private static Replica replica(String id) {
        Replica replica = new Replica(id);
        replica.update(new Endpoint(id, 0, 0, 0, EndpointState.LIVE, 1, 0), WeightMeaning.NONE);
        replica.setReady(true);
        return replica;
    }

    @Test
    void evictsTheLeastRecentlyUsedBeyondTwentyThousandEntries() {
        AffinityTable table = new AffinityTable();
        for (long key = 1; key <= 20_000; key++) {
            table.useSession(key, SECOND);
        }
        assertEquals(20_000, table.size());
        AffinityEntry first = table.useSession(1, SECOND);
        assertEquals(2, table.oldest().key(), "used again, so it is the most recently used");
        table.usePrefix(1, SECOND);
        assertEquals(20_000, table.size(), "prefixes and sessions share the limit");
        assertEquals(3, table.oldest().key());
        assertEquals(4, table.nextNewer(table.oldest()).key());
        assertSame(first, table.useSession(1, SECOND));
    }

    @Test
    void entriesExpireThirtySecondsAfterTheirLastUse() {
        AffinityTable table = new AffinityTable();
        Replica replica = replica("a");
        AffinityEntry idle = table.usePrefix(7, 0);
        idle.addFirst(replica, 1);
        table.usePrefix(8, 30 * SECOND);
        assertSame(idle, table.oldest());
        assertEquals(1, replica.affinityEntryCount());
        table.usePrefix(8, 30 * SECOND + 1);
        assertEquals(1, table.size());
        assertEquals(0, replica.affinityEntryCount(), "an evicted entry is no longer counted by its replicas");
        assertNotSame(idle, table.usePrefix(7, 30 * SECOND + 1));
    }

    @Test
    void entryInUseIsNotEvictedHoweverSmallTheTable() {
        AffinityTable table = new AffinityTable(1);
        table.useSession(1, 0);
        AffinityEntry used = table.useSession(2, 100 * SECOND);
        assertEquals(1, table.size());
        assertSame(used, table.oldest());
    }

    @Test
    void replicasAreAddedAtTheFrontAndRemovedAtTheBack() {
        AffinityEntry entry = new AffinityTable().usePrefix(7, 0);
        Replica a = replica("a");
        Replica b = replica("b");
        Replica c = replica("c");
        entry.addFirst(a, 2);
        entry.addFirst(b, 2);
        entry.addFirst(b, 2);
        assertEquals(2, entry.size(), "a replica is contained in an entry only once");
        entry.moveToBack(0);
        assertSame(a, entry.get(0));
        entry.addFirst(c, 2);
        assertSame(c, entry.get(0));
        assertSame(a, entry.get(1));
        assertFalse(entry.contains(b));
        assertEquals(0, b.affinityEntryCount());
        a.setReady(false);
        entry.retainReady(2);
        assertEquals(1, entry.size());
    }

    @Test
    void entryMustBeConfirmedAgainAfterEachAddedReplica() {
        AffinityEntry entry = new AffinityTable().usePrefix(7, 0);
        entry.addFirst(replica("a"), 2);
        assertFalse(entry.isConfirmed());
        entry.confirm(5);
        assertTrue(entry.isConfirmed());
        assertTrue(entry.wasConfirmedAt(5));
        assertFalse(entry.wasConfirmedAt(4));
        entry.addFirst(replica("b"), 2);
        assertFalse(entry.isConfirmed());
    }
}
