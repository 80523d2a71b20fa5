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

/** The bounds of the affinity table. */
class AffinityTableTest {
    @Test
    void unusedEntriesAgeOut() {
        RoutingPolicyFixture router = new RoutingPolicyFixture(RoutingPolicyFixture.settings(40)).list(replicaNames(2));
        // 16 keys a replica are one router's part here: both are full at 32, and a replica of the least recently
        // used entry takes the request and leaves that entry.
        for (long k = 1; k <= 40; k++) {
            assertTrue(router.serve(0, k) != null, "pressure still serves");
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
    void holdsTwentyThousandEntriesAndThenDropsTheLeastRecentlyUsed() {
        AffinityTable table = new AffinityTable();
        for (long key = 1; key <= 20_000; key++) {
            table.useSession(key, SECOND);
        }
        assertEquals(20_000, table.size());
        AffinityEntry first = table.useSession(1, SECOND);
        assertEquals(2, table.oldest().key(), "used again: it is the newest now");
        table.usePrefix(1, SECOND);
        assertEquals(20_000, table.size(), "prefixes and sessions count together");
        assertEquals(3, table.oldest().key());
        assertEquals(4, table.nextNewer(table.oldest()).key());
        assertSame(first, table.useSession(1, SECOND));
    }

    @Test
    void entriesGoThirtySecondsAfterTheirLastUse() {
        AffinityTable table = new AffinityTable();
        Replica replica = replica("a");
        AffinityEntry idle = table.usePrefix(7, 0);
        idle.addFirst(replica, 1);
        table.usePrefix(8, 30 * SECOND);
        assertSame(idle, table.oldest());
        assertEquals(1, replica.affinityEntryCount());
        table.usePrefix(8, 30 * SECOND + 1);
        assertEquals(1, table.size());
        assertEquals(0, replica.affinityEntryCount(), "a replica no longer counts an entry that has gone");
        assertNotSame(idle, table.usePrefix(7, 30 * SECOND + 1));
    }

    @Test
    void theEntryInUseStaysHoweverSmallTheTable() {
        AffinityTable table = new AffinityTable(1);
        table.useSession(1, 0);
        AffinityEntry used = table.useSession(2, 100 * SECOND);
        assertEquals(1, table.size());
        assertSame(used, table.oldest());
    }

    @Test
    void newReplicasEnterAtTheFrontAndTheBackOnesLeave() {
        AffinityEntry entry = new AffinityTable().usePrefix(7, 0);
        Replica a = replica("a");
        Replica b = replica("b");
        Replica c = replica("c");
        entry.addFirst(a, 2);
        entry.addFirst(b, 2);
        entry.addFirst(b, 2);
        assertEquals(2, entry.size(), "a replica stands in an entry once");
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
    void entryIsConfirmedAnewAfterEachReplicaThatJoins() {
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
