package magpiehub.discovery;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertNull;
import static org.junit.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import magpiehub.config.EndpointEntry;
import magpiehub.discovery.View.Item;
import magpiehub.discovery.View.Position;
import magpiehub.discovery.View.Verdict;
import magpiehub.routing.Endpoint;
import magpiehub.routing.EndpointState;
import org.junit.Test;

/** The view, driven directly. */
public class ViewTest {
    static EndpointEntry entry(String id, String address, double size) {
        return new EndpointEntry(new Endpoint(id, 0, 0, 0, EndpointState.LIVE, size, 0), address);
    }

    private static Item item(String key, long mod) {
        return Item.of(key, mod, entry(key, "10.0.0.1:" + (1000 + mod), 1));
    }

    private static Position at(long n) {
        return new Position("c1", 2, n);
    }

    private static View with(long n, Item... items) {
        View v = new View();
        assertEquals(
                Verdict.APPLIED,
                v.whole(at(n), Position.NONE, List.of(items), true).verdict());
        return v;
    }

    private static Verdict of(View.Result r) {
        return r.verdict();
    }

    @Test
    public void aChangeToldTwiceIsAppliedOnce() {
        View v = with(5, item("a", 3), item("b", 5));
        View.Result r = v.changes(at(7), List.of(item("b", 5), item("a", 7)));
        assertEquals(1, r.delta().put().size());
        assertEquals(1, v.repeats());
        assertEquals(Verdict.OLD, of(v.changes(at(6), List.of(item("a", 6)))));
        assertEquals("10.0.0.1:1007", v.get("a").address());
    }

    @Test
    public void aWholeListThatCrossesAChangeDoesNotUndoIt() {
        View v = with(5, item("a", 3));
        Position asked = v.position();
        v.changes(at(8), List.of(item("b", 8)));
        assertEquals(Verdict.CROSSED, of(v.whole(at(6), asked, List.of(item("a", 3)), false)));
        assertEquals(2, v.size());
    }

    @Test
    public void olderDataIsTakenWholeOnceTwoReadsAgree() {
        View v = with(50, item("a", 40), item("b", 50));
        assertEquals(Verdict.REREAD, of(v.heard(at(20))));
        assertEquals(Verdict.BEHIND, of(v.whole(at(20), v.position(), List.of(item("a", 10)), false)));
        assertEquals(2, v.size());
        View.Result r = v.whole(at(21), v.position(), List.of(item("a", 10)), false);
        assertTrue(r.delta().another());
        assertEquals(List.of("b"), r.delta().gone());
        assertEquals("10.0.0.1:1010", v.get("a").address());
        assertEquals(Verdict.APPLIED, of(v.changes(at(22), List.of(item("c", 22)))));
    }

    @Test
    public void twoEndpointsAtDifferentPositionsDoNotTakeItBack() {
        View v = with(50, item("a", 40));
        for (int i = 0; i < 5; i++) {
            assertEquals(Verdict.BEHIND, of(v.whole(at(30), v.position(), List.of(), false)));
            assertEquals(Verdict.APPLIED, of(v.whole(at(50 + i), v.position(), List.of(item("a", 40)), false)));
        }
        assertEquals(1, v.size());
    }

    @Test
    public void aHigherRevisionOfAnotherHistoryIsNotMixedIn() {
        View v = with(50, item("a", 40));
        Position other = new Position("c2", 2, 90);
        assertEquals(Verdict.REREAD, of(v.changes(other, List.of(item("x", 90)))));
        assertEquals(Verdict.REREAD, of(v.changes(at(51), List.of(item("b", 51)))));
        assertNull(v.get("x"));
        assertTrue(v.whole(other, v.position(), List.of(item("x", 90)), false)
                .delta()
                .another());
        assertNull(v.get("a"));
        assertEquals(Verdict.REREAD, of(v.heard(new Position("c2", 1, 95))));
    }

    @Test
    public void anotherPastWithTheSameLastKeyIsKnownByTheOthers() {
        View v = with(9, item("a", 3), item("b", 8), Item.unreadable("odd", 9, "no address"));
        Item odd = Item.unreadable("odd", 9, "no address");
        assertEquals(Verdict.OLD, of(v.resumed(at(12), at(9), List.of(odd, item("b", 8)), 3)));
        assertEquals(
                "the last key is the same, the one before it is not",
                Verdict.REREAD,
                of(v.resumed(at(12), at(9), List.of(odd, item("a", 8)), 3)));
        View w = with(9, item("a", 3), item("b", 9));
        assertEquals(
                "what was changed here was not changed there",
                Verdict.REREAD,
                of(w.resumed(at(12), at(9), List.of(item("a", 3)), 2)));
        assertEquals(
                "a new leader's answer is compared, too",
                Verdict.REREAD,
                of(w.resumed(new Position("c1", 3, 12), at(9), List.of(item("a", 9), item("b", 3)), 2)));
        View empty = with(9);
        assertEquals(Verdict.OLD, of(empty.resumed(at(12), at(9), List.of(), 0)));
    }

    @Test
    public void anEngineThatComesBackElsewhereInsideOneBurstIsThere() {
        View v = with(5, item("k1", 5));
        View.Result r = v.changes(
                at(9),
                List.of(Item.removed("k1", 6), Item.of("k2", 7, entry("k1", "10.9.9.9:1", 1)), Item.removed("k3", 8)));
        assertEquals("10.9.9.9:1", v.get("k1").address());
        assertTrue(r.delta().gone().isEmpty());
        // The old key's removal comes after the new key's word: the engine stays.
        v.changes(at(11), List.of(Item.of("k4", 10, entry("k1", "10.9.9.9:2", 1)), Item.removed("k2", 11)));
        assertEquals("10.9.9.9:2", v.get("k1").address());
        v.changes(at(13), List.of(Item.of("k5", 12, entry("k1", "10.9.9.9:3", 1)), Item.removed("k5", 13)));
        assertEquals("10.9.9.9:2", v.get("k1").address());
    }

    @Test
    public void oneUnreadableEntryAmongTenThousandIsLeftOutAlone() {
        List<Item> items = new ArrayList<>();
        for (int i = 0; i < 10_000; i++) {
            items.add(i == 5000 ? Item.unreadable("k5000", i, "no address") : item("k" + i, i));
        }
        View v = with(10_000, items.toArray(new Item[0]));
        assertEquals(9_999, v.size());
        assertEquals(List.of("k5000"), List.copyOf(v.unreadable().keySet()));
        v.changes(at(10_001), List.of(item("k5000", 10_001)));
        assertEquals(10_000, v.size());
        assertTrue(v.unreadable().isEmpty());
    }

    @Test
    public void aMuteWatchIsFoundByTwoChecks() {
        View v = with(5, item("a", 3), item("b", 5));
        assertEquals(Verdict.OLD, of(v.checked(at(9), v.position(), 9, 2)));
        v.changes(at(9), List.of(item("a", 9)));
        assertEquals(Verdict.OLD, of(v.checked(at(12), v.position(), 12, 2)));
        assertEquals(Verdict.REREAD, of(v.checked(at(12), v.position(), 12, 2)));
        assertTrue(v.needsWhole());
        View w = with(5, item("a", 3), item("b", 5));
        assertEquals(Verdict.OLD, of(w.checked(at(9), w.position(), 3, 1)));
        assertEquals("a removal that never came", Verdict.REREAD, of(w.checked(at(9), w.position(), 3, 1)));
    }

    @Test
    public void afterACompactionOnlyAWholeListCounts() {
        View v = with(5, item("a", 3));
        v.compacted();
        assertTrue(v.needsWhole());
        assertEquals(Verdict.REREAD, of(v.changes(at(9), List.of(item("b", 9)))));
        assertEquals(Verdict.APPLIED, of(v.whole(at(9), v.position(), List.of(item("b", 9)), false)));
        assertFalse(v.needsWhole());
    }

    /** A million random changes and lists against a plain map; the deltas alone must rebuild it. */
    @Test
    public void deltasAddUpToTheList() {
        SplittableRandom r = new SplittableRandom(11);
        Map<String, EndpointEntry> truth = new HashMap<>();
        Map<String, EndpointEntry> rebuilt = new HashMap<>();
        View v = new View();
        long n = 0;
        List<Item> burst = new ArrayList<>();
        for (int step = 0; step < 1_000_000; step++) {
            n++;
            String key = "e" + r.nextInt(300);
            if (r.nextInt(4) == 0) {
                truth.remove(key);
                burst.add(Item.removed(key, n));
            } else {
                Item i = Item.of(key, n, entry(key, "10.0.0.1:" + (1 + r.nextInt(3)), 1));
                truth.put(key, i.entry());
                burst.add(i);
            }
            View.Result result = null;
            if (step == 0 || r.nextInt(50_000) == 0) {
                List<Item> all = new ArrayList<>();
                truth.forEach((k, e) -> all.add(Item.of(k, 1, e)));
                result = v.whole(at(n), v.position(), all, step == 0);
                burst.clear();
            } else if (r.nextInt(5) == 0) {
                result = v.changes(at(n), burst);
                burst.clear();
            }
            if (result != null) {
                for (EndpointEntry e : result.delta().put()) {
                    assertFalse("repeated", e.equals(rebuilt.put(e.endpoint().id(), e)));
                }
                result.delta().gone().forEach(id -> assertTrue(rebuilt.remove(id) != null));
                if (step % 1000 == 0) {
                    assertEquals(truth, rebuilt);
                }
            }
        }
        assertEquals(0, v.repeats());
    }
}
