package magpiehub.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import magpiehub.config.EndpointEntry;
import magpiehub.discovery.ListUpdateResult.Outcome;
import magpiehub.routing.Endpoint;
import magpiehub.routing.EndpointState;
import org.junit.jupiter.api.Test;

/** Tests {@link EndpointListState} directly, without a source. */
class EndpointListStateTest {
    static EndpointEntry entry(String id, String address, double size) {
        return new EndpointEntry(new Endpoint(id, 0, 0, 0, EndpointState.LIVE, size, 0), address);
    }

    private static ListItem item(String key, long modRevision) {
        return ListItem.of(key, modRevision, entry(key, "10.0.0.1:" + (1000 + modRevision), 1));
    }

    private static ListPosition at(long revision) {
        return new ListPosition("c1", 2, revision);
    }

    private static EndpointListState listAt(long revision, ListItem... items) {
        EndpointListState list = new EndpointListState();
        assertEquals(
                Outcome.APPLIED,
                list.applyCompleteList(at(revision), ListPosition.NONE, List.of(items), true)
                        .outcome());
        return list;
    }

    private static Outcome outcome(ListUpdateResult result) {
        return result.outcome();
    }

    @Test
    void repeatedChangeIsAppliedOnce() {
        EndpointListState list = listAt(5, item("a", 3), item("b", 5));
        ListUpdateResult result = list.applyChanges(at(7), List.of(item("b", 5), item("a", 7)));
        assertEquals(1, result.delta().put().size());
        assertEquals(1, list.duplicateChanges());
        assertEquals(Outcome.STALE, outcome(list.applyChanges(at(6), List.of(item("a", 6)))));
        assertEquals("10.0.0.1:1007", list.get("a").address());
    }

    @Test
    void supersededListDoesNotUndoAChange() {
        EndpointListState list = listAt(5, item("a", 3));
        ListPosition requestedAt = list.position();
        list.applyChanges(at(8), List.of(item("b", 8)));
        assertEquals(
                Outcome.SUPERSEDED, outcome(list.applyCompleteList(at(6), requestedAt, List.of(item("a", 3)), false)));
        assertEquals(2, list.size());
    }

    @Test
    void olderDataIsAppliedAfterTwoConsecutiveReads() {
        EndpointListState list = listAt(50, item("a", 40), item("b", 50));
        assertEquals(Outcome.RELIST_REQUIRED, outcome(list.checkPosition(at(20))));
        assertEquals(
                Outcome.LAGGING,
                outcome(list.applyCompleteList(at(20), list.position(), List.of(item("a", 10)), false)));
        assertEquals(2, list.size());
        ListUpdateResult result = list.applyCompleteList(at(21), list.position(), List.of(item("a", 10)), false);
        assertTrue(result.delta().historyChanged());
        assertEquals(List.of("b"), result.delta().removed());
        assertEquals("10.0.0.1:1010", list.get("a").address());
        assertEquals(Outcome.APPLIED, outcome(list.applyChanges(at(22), List.of(item("c", 22)))));
    }

    @Test
    void laggingListsAreNotAppliedBetweenCurrentOnes() {
        EndpointListState list = listAt(50, item("a", 40));
        for (int i = 0; i < 5; i++) {
            assertEquals(Outcome.LAGGING, outcome(list.applyCompleteList(at(30), list.position(), List.of(), false)));
            assertEquals(
                    Outcome.APPLIED,
                    outcome(list.applyCompleteList(at(50 + i), list.position(), List.of(item("a", 40)), false)));
        }
        assertEquals(1, list.size());
    }

    @Test
    void changesOfAnotherHistoryAreNotApplied() {
        EndpointListState list = listAt(50, item("a", 40));
        ListPosition other = new ListPosition("c2", 2, 90);
        assertEquals(Outcome.RELIST_REQUIRED, outcome(list.applyChanges(other, List.of(item("x", 90)))));
        assertEquals(Outcome.RELIST_REQUIRED, outcome(list.applyChanges(at(51), List.of(item("b", 51)))));
        assertNull(list.get("x"));
        assertTrue(list.applyCompleteList(other, list.position(), List.of(item("x", 90)), false)
                .delta()
                .historyChanged());
        assertNull(list.get("a"));
        assertEquals(Outcome.RELIST_REQUIRED, outcome(list.checkPosition(new ListPosition("c2", 1, 95))));
    }

    @Test
    void anotherHistoryIsRecognizedByItsLastChanges() {
        EndpointListState list = listAt(9, item("a", 3), item("b", 8), ListItem.unreadable("odd", 9, "no address"));
        ListItem unreadable = ListItem.unreadable("odd", 9, "no address");
        assertEquals(Outcome.STALE, outcome(list.checkResume(at(12), at(9), List.of(unreadable, item("b", 8)), 3)));
        assertEquals(
                Outcome.RELIST_REQUIRED,
                outcome(list.checkResume(at(12), at(9), List.of(unreadable, item("a", 8)), 3)),
                "the last changed key is the same, but the one before it differs");
        EndpointListState other = listAt(9, item("a", 3), item("b", 9));
        assertEquals(
                Outcome.RELIST_REQUIRED,
                outcome(other.checkResume(at(12), at(9), List.of(item("a", 3)), 2)),
                "the source did not make the last change of this list");
        assertEquals(
                Outcome.RELIST_REQUIRED,
                outcome(other.checkResume(
                        new ListPosition("c1", 3, 12), at(9), List.of(item("a", 9), item("b", 3)), 2)),
                "a response with a new leader's term is compared as well");
        EndpointListState empty = listAt(9);
        assertEquals(Outcome.STALE, outcome(empty.checkResume(at(12), at(9), List.of(), 0)));
    }

    @Test
    void endpointThatMovesWithinOneBurstIsListed() {
        EndpointListState list = listAt(5, item("k1", 5));
        ListUpdateResult result = list.applyChanges(
                at(9),
                List.of(
                        ListItem.removed("k1", 6),
                        ListItem.of("k2", 7, entry("k1", "10.9.9.9:1", 1)),
                        ListItem.removed("k3", 8)));
        assertEquals("10.9.9.9:1", list.get("k1").address());
        assertTrue(result.delta().removed().isEmpty());
        // The old key is removed after the new key was added: the endpoint stays.
        list.applyChanges(
                at(11), List.of(ListItem.of("k4", 10, entry("k1", "10.9.9.9:2", 1)), ListItem.removed("k2", 11)));
        assertEquals("10.9.9.9:2", list.get("k1").address());
        list.applyChanges(
                at(13), List.of(ListItem.of("k5", 12, entry("k1", "10.9.9.9:3", 1)), ListItem.removed("k5", 13)));
        assertEquals("10.9.9.9:2", list.get("k1").address());
    }

    @Test
    void onlyTheUnreadableEntryIsSkipped() {
        List<ListItem> items = new ArrayList<>();
        for (int i = 0; i < 10_000; i++) {
            items.add(i == 5000 ? ListItem.unreadable("k5000", i, "no address") : item("k" + i, i));
        }
        EndpointListState list = listAt(10_000, items.toArray(new ListItem[0]));
        assertEquals(9_999, list.size());
        assertEquals(List.of("k5000"), List.copyOf(list.unreadableKeys().keySet()));
        list.applyChanges(at(10_001), List.of(item("k5000", 10_001)));
        assertEquals(10_000, list.size());
        assertTrue(list.unreadableKeys().isEmpty());
    }

    @Test
    void stalledWatchIsDetectedByTwoChecks() {
        EndpointListState list = listAt(5, item("a", 3), item("b", 5));
        assertEquals(Outcome.STALE, outcome(list.checkWatch(at(9), list.position(), 9, 2)));
        list.applyChanges(at(9), List.of(item("a", 9)));
        assertEquals(Outcome.STALE, outcome(list.checkWatch(at(12), list.position(), 12, 2)));
        assertEquals(Outcome.RELIST_REQUIRED, outcome(list.checkWatch(at(12), list.position(), 12, 2)));
        assertTrue(list.requiresRelist());
        EndpointListState other = listAt(5, item("a", 3), item("b", 5));
        assertEquals(Outcome.STALE, outcome(other.checkWatch(at(9), other.position(), 3, 1)));
        assertEquals(
                Outcome.RELIST_REQUIRED,
                outcome(other.checkWatch(at(9), other.position(), 3, 1)),
                "a removal was not delivered");
    }

    @Test
    void compactionRequiresACompleteList() {
        EndpointListState list = listAt(5, item("a", 3));
        list.markCompacted();
        assertTrue(list.requiresRelist());
        assertEquals(Outcome.RELIST_REQUIRED, outcome(list.applyChanges(at(9), List.of(item("b", 9)))));
        assertEquals(
                Outcome.APPLIED, outcome(list.applyCompleteList(at(9), list.position(), List.of(item("b", 9)), false)));
        assertFalse(list.requiresRelist());
    }

    /** Applies a million random changes and complete lists; a map rebuilt from the deltas alone must stay equal. */
    @Test
    void deltasAddUpToTheList() {
        SplittableRandom random = new SplittableRandom(11);
        Map<String, EndpointEntry> expected = new HashMap<>();
        Map<String, EndpointEntry> rebuilt = new HashMap<>();
        EndpointListState list = new EndpointListState();
        long revision = 0;
        List<ListItem> burst = new ArrayList<>();
        for (int step = 0; step < 1_000_000; step++) {
            revision++;
            String key = "e" + random.nextInt(300);
            if (random.nextInt(4) == 0) {
                expected.remove(key);
                burst.add(ListItem.removed(key, revision));
            } else {
                ListItem item = ListItem.of(key, revision, entry(key, "10.0.0.1:" + (1 + random.nextInt(3)), 1));
                expected.put(key, item.entry());
                burst.add(item);
            }
            ListUpdateResult result = null;
            if (step == 0 || random.nextInt(50_000) == 0) {
                List<ListItem> all = new ArrayList<>();
                expected.forEach((id, entry) -> all.add(ListItem.of(id, 1, entry)));
                result = list.applyCompleteList(at(revision), list.position(), all, step == 0);
                burst.clear();
            } else if (random.nextInt(5) == 0) {
                result = list.applyChanges(at(revision), burst);
                burst.clear();
            }
            if (result != null) {
                for (EndpointEntry entry : result.delta().put()) {
                    assertFalse(entry.equals(rebuilt.put(entry.endpoint().id(), entry)), "unchanged entry in a delta");
                }
                result.delta().removed().forEach(id -> assertTrue(rebuilt.remove(id) != null));
                if (step % 1000 == 0) {
                    assertEquals(expected, rebuilt);
                }
            }
        }
        assertEquals(0, list.duplicateChanges());
    }
}
