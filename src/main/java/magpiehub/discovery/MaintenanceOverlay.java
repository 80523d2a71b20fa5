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
 * Applies the operators' maintenance to the endpoint list, whatever source it comes from, as the last step
 * before the dispatcher. An endpoint that is out of service is draining, whatever its source says, and one
 * that was put back into service has started no earlier than that. Endpoints that the source does not list are
 * never reported.
 *
 * <p>A state machine without I/O and without a clock; it belongs to its source's thread.
 */
public final class MaintenanceOverlay {
    /** Each endpoint as the source listed it last. */
    private final Map<String, EndpointEntry> listed = new HashMap<>();

    private Set<String> outOfService = Set.of();
    /** When endpoints were put back into service, on the monotonic clock (us). */
    private Map<String, Long> backSinceMicros = Map.of();

    private Consumer<Collection<String>> listedIdsConsumer = ids -> {};

    /** Sets who receives the ids of each list or change; to be called before the source starts. */
    public void onListed(Consumer<Collection<String>> consumer) {
        listedIdsConsumer = consumer;
    }

    /** Applies a list or changes from the source, and returns what the dispatcher is to receive. */
    public List<EndpointEntry> applyFromSource(EndpointListKind kind, List<EndpointEntry> entries) {
        if (kind != EndpointListKind.CHANGES) {
            listed.clear();
        }
        List<EndpointEntry> result = new ArrayList<>(entries.size());
        List<String> ids = new ArrayList<>(entries.size());
        for (EndpointEntry entry : entries) {
            String id = entry.endpoint().id();
            if (entry.endpoint().state() == EndpointState.DEAD) {
                listed.remove(id);
            } else {
                listed.put(id, entry);
                ids.add(id);
            }
            result.add(withMaintenance(entry));
        }
        listedIdsConsumer.accept(ids);
        return result;
    }

    /**
     * Applies the operators' maintenance, which replaces the one before.
     *
     * @param outOfService ids of the endpoints that are out of service
     * @param backSinceMicros when other endpoints were put back into service, on the monotonic clock
     * @return the complete list for the dispatcher, to be sent as a saved list, for a change would say that the
     *     source reports changes just now; empty where nothing changes
     */
    public List<EndpointEntry> applyMaintenance(Set<String> outOfService, Map<String, Long> backSinceMicros) {
        Set<String> affected = new HashSet<>(this.outOfService);
        affected.addAll(outOfService);
        affected.addAll(this.backSinceMicros.keySet());
        affected.addAll(backSinceMicros.keySet());
        Map<String, EndpointEntry> before = new HashMap<>();
        for (String id : affected) {
            before.put(id, current(id));
        }
        this.outOfService = Set.copyOf(outOfService);
        this.backSinceMicros = Map.copyOf(backSinceMicros);
        boolean unchanged = true;
        for (String id : affected) {
            unchanged &= Objects.equals(before.get(id), current(id));
        }
        return unchanged
                ? List.of()
                : listed.values().stream().map(this::withMaintenance).toList();
    }

    /** An endpoint as the dispatcher has it; null if it is not listed. */
    private EndpointEntry current(String id) {
        EndpointEntry entry = listed.get(id);
        return entry == null ? null : withMaintenance(entry);
    }

    private EndpointEntry withMaintenance(EndpointEntry entry) {
        Endpoint endpoint = entry.endpoint();
        Long backSince = backSinceMicros.get(endpoint.id());
        boolean drains = endpoint.state() == EndpointState.LIVE && outOfService.contains(endpoint.id());
        if (!drains && backSince == null) {
            return entry;
        }
        Endpoint changed = new Endpoint(
                endpoint.id(),
                endpoint.zone(),
                endpoint.machineType(),
                endpoint.cell(),
                drains ? EndpointState.DRAINING : endpoint.state(),
                endpoint.weight(),
                backSince == null ? endpoint.startedAt() : Math.max(endpoint.startedAt(), backSince));
        return new EndpointEntry(changed, entry.address());
    }
}
