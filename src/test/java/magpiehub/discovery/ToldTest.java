package magpiehub.discovery;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import magpiehub.config.Config;
import magpiehub.routing.Contract.ListKind;
import magpiehub.routing.Contract.Server;
import magpiehub.routing.Contract.State;
import org.junit.Test;

/** Calls that cross list changes: the operators' word on an engine holds, whatever its source says. */
public class ToldTest {
    private final Told told = new Told();

    private static Config.Entry entry(String id, State state, long since) {
        return new Config.Entry(new Server(id, 0, 0, 0, state, 1, since), "h:1");
    }

    private static State state(List<Config.Entry> list, String id) {
        return find(list, id).state();
    }

    private static long since(List<Config.Entry> list, String id) {
        return find(list, id).onlineSince();
    }

    private static Server find(List<Config.Entry> list, String id) {
        return list.stream()
                .map(Config.Entry::server)
                .filter(s -> s.id().equals(id))
                .findFirst()
                .orElseThrow();
    }

    @Test
    public void aBanHoldsOverChangesARestartAndAnotherList() {
        told.source(ListKind.COMPLETE, List.of(entry("a", State.LIVE, 0), entry("b", State.LIVE, 0)));
        List<Config.Entry> all = told.operators(Set.of("a"), Map.of());
        assertEquals(2, all.size());
        assertEquals(State.DRAINING, state(all, "a"));
        assertEquals(State.LIVE, state(all, "b"));
        assertTrue(
                "the same word again tells nothing",
                told.operators(Set.of("a"), Map.of()).isEmpty());
        assertEquals(State.DRAINING, state(told.source(ListKind.CHANGES, List.of(entry("a", State.LIVE, 50))), "a"));
        assertEquals(State.DEAD, state(told.source(ListKind.CHANGES, List.of(entry("a", State.DEAD, 0))), "a"));
        assertEquals(
                State.DRAINING,
                state(
                        told.source(ListKind.COMPLETE, List.of(entry("a", State.LIVE, 60), entry("b", State.LIVE, 0))),
                        "a"));
    }

    @Test
    public void whoIsCalledBackHasStartedNoEarlierThanThat() {
        told.source(ListKind.COMPLETE, List.of(entry("a", State.LIVE, 0)));
        told.operators(Set.of("a"), Map.of());
        List<Config.Entry> back = told.operators(Set.of(), Map.of("a", 900L));
        assertEquals(State.LIVE, state(back, "a"));
        assertEquals(900, since(back, "a"));
        // The list may tell the restart late, and a later one counts by itself.
        assertEquals(900, since(told.source(ListKind.CHANGES, List.of(entry("a", State.LIVE, 700))), "a"));
        assertEquals(1500, since(told.source(ListKind.CHANGES, List.of(entry("a", State.LIVE, 1500))), "a"));
    }

    @Test
    public void anEngineThatIsNotListedIsNotToldAndEveryIdThatWasIsNamed() {
        List<String> ids = new ArrayList<>();
        told.listed(ids::addAll);
        told.source(ListKind.SAVED, List.of(entry("a", State.LIVE, 0), entry("d", State.DRAINING, 0)));
        told.source(ListKind.CHANGES, List.of(entry("a", State.DEAD, 0), entry("c", State.LIVE, 0)));
        assertTrue(told.operators(Set.of("a"), Map.of()).isEmpty());
        assertTrue(told.operators(Set.of(), Map.of("a", 5L)).isEmpty());
        assertEquals(List.of("a", "d", "c"), ids);
    }
}
