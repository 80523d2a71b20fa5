package magpiehub.discovery;

import java.util.List;
import java.util.Map;
import java.util.Set;
import magpiehub.config.EndpointEntry;
import magpiehub.dispatch.EndpointListSource;
import magpiehub.dispatch.RequestDispatcher;
import magpiehub.routing.Endpoint;
import magpiehub.routing.EndpointListKind;
import magpiehub.routing.EndpointState;
import magpiehub.upstream.UpstreamPool;

/** Where the list of engines comes from: one actor, whatever the dialect. */
public interface EndpointSource extends EndpointListSource {
    /** Names the module's actor and gives it the list as this router last had it, if it did. */
    void start(RequestDispatcher actor, byte[] saved);

    /** Whether a list is known: told since the start, or where the configuration saved one that is enough. */
    boolean known();

    /** Figures for {@code /counters}, one a line, name and value; empty where there are none. */
    default String figures() {
        return "";
    }

    /** The last step of its lists. */
    Told told();

    /** The operators' word, whole: engines that are out, and when others were called back (us, monotonic).
     *  {@code done} runs on the module's thread once it goes by that. Any thread. */
    void maintain(Set<String> out, Map<String, Long> back, Runnable done);

    /** A change in order: addresses first, so that the module never sends to an engine without one. */
    static void tell(
            EndpointListKind kind, List<EndpointEntry> entries, UpstreamPool engines, RequestDispatcher module) {
        if (kind == EndpointListKind.COMPLETE || kind == EndpointListKind.SAVED) {
            java.util.Set<String> ids = new java.util.HashSet<>(entries.size() * 2);
            entries.forEach(e -> ids.add(e.endpoint().id()));
            engines.only(ids);
        }
        for (EndpointEntry e : entries) {
            engines.place(
                    e.endpoint().id(),
                    e.address(),
                    e.endpoint().state() == EndpointState.LIVE,
                    e.endpoint().state() == EndpointState.DEAD);
        }
        module.updateEndpoints(
                kind, entries.stream().map(EndpointEntry::endpoint).toList());
    }

    /** What {@link #maintain} says, on its way to the source's own thread. */
    record Maintain(Set<String> out, Map<String, Long> back, Runnable done) {
        /** Tells the module what changes by it, if anything, and then that it holds. */
        void carry(Told told, UpstreamPool engines, RequestDispatcher module) {
            List<EndpointEntry> all = told.operators(out, back);
            if (!all.isEmpty()) {
                tell(EndpointListKind.SAVED, all, engines, module);
            }
            module.execute(done);
        }
    }

    /** An engine of which only its id is known any more. */
    static EndpointEntry gone(String id) {
        return new EndpointEntry(new Endpoint(id, 0, 0, 0, EndpointState.DEAD, 1, 0), null);
    }
}
