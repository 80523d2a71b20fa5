package magpiehub.discovery;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.Consumer;
import magpiehub.config.EndpointEntry;
import magpiehub.routing.Endpoint;
import magpiehub.routing.EndpointListKind;
import magpiehub.routing.EndpointState;

/**
 * The last step of every list on its way to the module, whatever source it comes from: an engine that
 * operators have taken out drains, whatever its source says, and one that they have called back has started
 * no earlier than that. It owns the source's last word on each engine and the operators'. It is a plain state
 * machine, and belongs to its source's thread. It must never tell an engine that the source does not list.
 */
public final class Told {
    private final Map<String, EndpointEntry> said = new HashMap<>();
    private Set<String> out = Set.of();
    /** When each engine was called back, on the monotonic clock (us). */
    private Map<String, Long> back = Map.of();

    private Consumer<Collection<String>> listed = ids -> {};

    /** Hears of every id that is listed; set before the source starts. */
    public void listed(Consumer<Collection<String>> to) {
        listed = to;
    }

    /** A list or changes as the source tells them; returns what the module is told. */
    public List<EndpointEntry> source(EndpointListKind kind, List<EndpointEntry> entries) {
        if (kind != EndpointListKind.CHANGES) {
            said.clear();
        }
        List<EndpointEntry> told = new ArrayList<>(entries.size());
        List<String> ids = new ArrayList<>(entries.size());
        for (EndpointEntry e : entries) {
            if (e.endpoint().state() == EndpointState.DEAD) {
                said.remove(e.endpoint().id());
            } else {
                said.put(e.endpoint().id(), e);
                ids.add(e.endpoint().id());
            }
            told.add(folded(e));
        }
        listed.accept(ids);
        return told;
    }

    /** The operators' word, whole. Returns what the module is told, as a list from before: the whole list,
     *  for a change would say that the source tells changes just now; empty where nothing changes. */
    public List<EndpointEntry> operators(Set<String> engines, Map<String, Long> calledBack) {
        Set<String> touched = new HashSet<>(out);
        touched.addAll(engines);
        touched.addAll(back.keySet());
        touched.addAll(calledBack.keySet());
        Map<String, EndpointEntry> before = new HashMap<>();
        for (String id : touched) {
            before.put(id, folded(said.get(id)));
        }
        out = Set.copyOf(engines);
        back = Map.copyOf(calledBack);
        boolean same = true;
        for (String id : touched) {
            same &= Objects.equals(before.get(id), folded(said.get(id)));
        }
        return same ? List.of() : said.values().stream().map(this::folded).toList();
    }

    private EndpointEntry folded(EndpointEntry e) {
        if (e == null) {
            return null;
        }
        Endpoint s = e.endpoint();
        Long since = back.get(s.id());
        boolean banned = s.state() == EndpointState.LIVE && out.contains(s.id());
        if (!banned && since == null) {
            return e;
        }
        return new EndpointEntry(
                new Endpoint(
                        s.id(),
                        s.zone(),
                        s.kind(),
                        s.cell(),
                        banned ? EndpointState.DRAINING : s.state(),
                        s.weight(),
                        since == null ? s.onlineSince() : Math.max(s.onlineSince(), since)),
                e.address());
    }
}
