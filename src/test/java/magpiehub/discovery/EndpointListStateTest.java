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
import magpiehub.discovery.ListUpdateResult.Verdict;
import magpiehub.routing.Endpoint;
import magpiehub.routing.EndpointState;
import org.junit.Test;

/** The view, driven directly. */
public class EndpointListStateTest {
    static EndpointEntry entry(String id, String address, double size) {
        return new EndpointEntry(new Endpoint(id, 0, 0, 0, EndpointState.LIVE, size, 0), address);
    }

    private static ListItem item(String key, long mod) {
        return ListItem.of(key, mod, entry(key, "10.0.0.1:" + (1000 + mod), 1));
    }

    private static ListPosition at(long n) {
        return new ListPosition("c1", 2, n);
    }

    private static EndpointListState with(long n, ListItem... items) {
        EndpointListState v = new EndpointListState();
        assertEquals(
                Verdict.APPLIED,
                v.applyCompleteList(at(n), ListPosition.NONE, List.of(items), true)
                        .verdict());
        return v;
    }

    private static Verdict of(ListUpdateResult r) {
        return r.verdict();
    }

    @Test
    public void aChangeToldTwiceIsAppliedOnce() {
        EndpointListState v = with(5, item("a", 3), item("b", 5));
        ListUpdateResult r = v.applyChanges(at(7), List.of(item("b", 5), item("a", 7)));
        assertEquals(1, r.delta().put().size());
        assertEquals(1, v.duplicateChanges());
        assertEquals(Verdict.STALE, of(v.applyChanges(at(6), List.of(item("a", 6)))));
        assertEquals("10.0.0.1:1007", v.get("a").address());
    }

    @Test
    public void aWholeListThatCrossesAChangeDoesNotUndoIt() {
        EndpointListState v = with(5, item("a", 3));
        ListPosition asked = v.position();
        v.applyChanges(at(8), List.of(item("b", 8)));
        assertEquals(Verdict.SUPERSEDED, of(v.applyCompleteList(at(6), asked, List.of(item("a", 3)), false)));
        assertEquals(2, v.size());
    }

    @Test
    public void olderDataIsTakenWholeOnceTwoReadsAgree() {
        EndpointListState v = with(50, item("a", 40), item("b", 50));
        assertEquals(Verdict.RELIST_REQUIRED, of(v.checkPosition(at(20))));
        assertEquals(Verdict.LAGGING, of(v.applyCompleteList(at(20), v.position(), List.of(item("a", 10)), false)));
        assertEquals(2, v.size());
        ListUpdateResult r = v.applyCompleteList(at(21), v.position(), List.of(item("a", 10)), false);
        assertTrue(r.delta().historyChanged());
        assertEquals(List.of("b"), r.delta().removed());
        assertEquals("10.0.0.1:1010", v.get("a").address());
        assertEquals(Verdict.APPLIED, of(v.applyChanges(at(22), List.of(item("c", 22)))));
    }

    @Test
    public void twoEndpointsAtDifferentPositionsDoNotTakeItBack() {
        EndpointListState v = with(50, item("a", 40));
        for (int i = 0; i < 5; i++) {
            assertEquals(Verdict.LAGGING, of(v.applyCompleteList(at(30), v.position(), List.of(), false)));
            assertEquals(
                    Verdict.APPLIED, of(v.applyCompleteList(at(50 + i), v.position(), List.of(item("a", 40)), false)));
        }
        assertEquals(1, v.size());
    }

    @Test
    public void aHigherRevisionOfAnotherHistoryIsNotMixedIn() {
        EndpointListState v = with(50, item("a", 40));
        ListPosition other = new ListPosition("c2", 2, 90);
        assertEquals(Verdict.RELIST_REQUIRED, of(v.applyChanges(other, List.of(item("x", 90)))));
        assertEquals(Verdict.RELIST_REQUIRED, of(v.applyChanges(at(51), List.of(item("b", 51)))));
        assertNull(v.get("x"));
        assertTrue(v.applyCompleteList(other, v.position(), List.of(item("x", 90)), false)
                .delta()
                .historyChanged());
        assertNull(v.get("a"));
        assertEquals(Verdict.RELIST_REQUIRED, of(v.checkPosition(new ListPosition("c2", 1, 95))));
    }

    @Test
    public void anotherPastWithTheSameLastKeyIsKnownByTheOthers() {
        EndpointListState v = with(9, item("a", 3), item("b", 8), ListItem.unreadable("odd", 9, "no address"));
        ListItem odd = ListItem.unreadable("odd", 9, "no address");
        assertEquals(Verdict.STALE, of(v.checkResume(at(12), at(9), List.of(odd, item("b", 8)), 3)));
        assertEquals(
                "the last key is the same, the one before it is not",
                Verdict.RELIST_REQUIRED,
                of(v.checkResume(at(12), at(9), List.of(odd, item("a", 8)), 3)));
        EndpointListState w = with(9, item("a", 3), item("b", 9));
        assertEquals(
                "what was changed here was not changed there",
                Verdict.RELIST_REQUIRED,
                of(w.checkResume(at(12), at(9), List.of(item("a", 3)), 2)));
        assertEquals(
                "a new leader's answer is compared, too",
                Verdict.RELIST_REQUIRED,
                of(w.checkResume(new ListPosition("c1", 3, 12), at(9), List.of(item("a", 9), item("b", 3)), 2)));
        EndpointListState empty = with(9);
        assertEquals(Verdict.STALE, of(empty.checkResume(at(12), at(9), List.of(), 0)));
    }

    @Test
    public void anEngineThatComesBackElsewhereInsideOneBurstIsThere() {
        EndpointListState v = with(5, item("k1", 5));
        ListUpdateResult r = v.applyChanges(
                at(9),
                List.of(
                        ListItem.removed("k1", 6),
                        ListItem.of("k2", 7, entry("k1", "10.9.9.9:1", 1)),
                        ListItem.removed("k3", 8)));
        assertEquals("10.9.9.9:1", v.get("k1").address());
        assertTrue(r.delta().removed().isEmpty());
        // The old key's removal comes after the new key's word: the engine stays.
        v.applyChanges(
                at(11), List.of(ListItem.of("k4", 10, entry("k1", "10.9.9.9:2", 1)), ListItem.removed("k2", 11)));
        assertEquals("10.9.9.9:2", v.get("k1").address());
        v.applyChanges(
                at(13), List.of(ListItem.of("k5", 12, entry("k1", "10.9.9.9:3", 1)), ListItem.removed("k5", 13)));
        assertEquals("10.9.9.9:2", v.get("k1").address());
    }

    @Test
    public void oneUnreadableEntryAmongTenThousandIsLeftOutAlone() {
        List<ListItem> items = new ArrayList<>();
        for (int i = 0; i < 10_000; i++) {
            items.add(i == 5000 ? ListItem.unreadable("k5000", i, "no address") : item("k" + i, i));
        }
        EndpointListState v = with(10_000, items.toArray(new ListItem[0]));
        assertEquals(9_999, v.size());
        assertEquals(List.of("k5000"), List.copyOf(v.unreadableKeys().keySet()));
        v.applyChanges(at(10_001), List.of(item("k5000", 10_001)));
        assertEquals(10_000, v.size());
        assertTrue(v.unreadableKeys().isEmpty());
    }

    @Test
    public void aMuteWatchIsFoundByTwoChecks() {
        EndpointListState v = with(5, item("a", 3), item("b", 5));
        assertEquals(Verdict.STALE, of(v.checkWatch(at(9), v.position(), 9, 2)));
        v.applyChanges(at(9), List.of(item("a", 9)));
        assertEquals(Verdict.STALE, of(v.checkWatch(at(12), v.position(), 12, 2)));
        assertEquals(Verdict.RELIST_REQUIRED, of(v.checkWatch(at(12), v.position(), 12, 2)));
        assertTrue(v.requiresRelist());
        EndpointListState w = with(5, item("a", 3), item("b", 5));
        assertEquals(Verdict.STALE, of(w.checkWatch(at(9), w.position(), 3, 1)));
        assertEquals("a removal that never came", Verdict.RELIST_REQUIRED, of(w.checkWatch(at(9), w.position(), 3, 1)));
    }

    @Test
    public void afterACompactionOnlyAWholeListCounts() {
        EndpointListState v = with(5, item("a", 3));
        v.markCompacted();
        assertTrue(v.requiresRelist());
        assertEquals(Verdict.RELIST_REQUIRED, of(v.applyChanges(at(9), List.of(item("b", 9)))));
        assertEquals(Verdict.APPLIED, of(v.applyCompleteList(at(9), v.position(), List.of(item("b", 9)), false)));
        assertFalse(v.requiresRelist());
    }

    /** A million random changes and lists against a plain map; the deltas alone must rebuild it. */
    @Test
    public void deltasAddUpToTheList() {
        SplittableRandom r = new SplittableRandom(11);
        Map<String, EndpointEntry> truth = new HashMap<>();
        Map<String, EndpointEntry> rebuilt = new HashMap<>();
        EndpointListState v = new EndpointListState();
        long n = 0;
        List<ListItem> burst = new ArrayList<>();
        for (int step = 0; step < 1_000_000; step++) {
            n++;
            String key = "e" + r.nextInt(300);
            if (r.nextInt(4) == 0) {
                truth.remove(key);
                burst.add(ListItem.removed(key, n));
            } else {
                ListItem i = ListItem.of(key, n, entry(key, "10.0.0.1:" + (1 + r.nextInt(3)), 1));
                truth.put(key, i.entry());
                burst.add(i);
            }
            ListUpdateResult result = null;
            if (step == 0 || r.nextInt(50_000) == 0) {
                List<ListItem> all = new ArrayList<>();
                truth.forEach((k, e) -> all.add(ListItem.of(k, 1, e)));
                result = v.applyCompleteList(at(n), v.position(), all, step == 0);
                burst.clear();
            } else if (r.nextInt(5) == 0) {
                result = v.applyChanges(at(n), burst);
                burst.clear();
            }
            if (result != null) {
                for (EndpointEntry e : result.delta().put()) {
                    assertFalse("repeated", e.equals(rebuilt.put(e.server().id(), e)));
                }
                result.delta().removed().forEach(id -> assertTrue(rebuilt.remove(id) != null));
                if (step % 1000 == 0) {
                    assertEquals(truth, rebuilt);
                }
            }
        }
        assertEquals(0, v.duplicateChanges());
    }
}
