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
 * Applies the operators' maintenance to the endpoint list of any source, as the last step before the dispatcher. An
 * endpoint that is out of service is reported as draining, whatever its source reports, and one that was returned to
 * service is reported as started no earlier than its return. Endpoints that the source does not list are never
 * reported.
 *
 * <p>A state machine without I/O and without a clock; it belongs to its source's thread.
 */
public final class MaintenanceOverlay {
    /** The entry of each listed endpoint as last reported by the source. */
    private final Map<String, EndpointEntry> listed = new HashMap<>();

    private Set<String> outOfService = Set.of();
    /** When endpoints were returned to service, on the monotonic clock. */
    private Map<String, Long> returnedAtMicros = Map.of();

    private Consumer<Collection<String>> listedIdsConsumer = ids -> {};

    /** Sets the consumer of the ids in each list or change; must be called before the source starts. */
    public void onListed(Consumer<Collection<String>> consumer) {
        listedIdsConsumer = consumer;
    }

    /** Applies a list or changes from the source and returns the entries to send to the dispatcher. */
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
     * Replaces the operators' maintenance.
     *
     * @param outOfService ids of the endpoints that are out of service
     * @param returnedAtMicros when other endpoints were returned to service, on the monotonic clock
     * @return the complete list to send to the dispatcher; empty if nothing changed. It must be sent as a saved list,
     *     because a change would mean that the source has just reported something
     */
    public List<EndpointEntry> applyMaintenance(Set<String> outOfService, Map<String, Long> returnedAtMicros) {
        Set<String> affected = new HashSet<>(this.outOfService);
        affected.addAll(outOfService);
        affected.addAll(this.returnedAtMicros.keySet());
        affected.addAll(returnedAtMicros.keySet());
        Map<String, EndpointEntry> before = new HashMap<>();
        for (String id : affected) {
            before.put(id, current(id));
        }
        this.outOfService = Set.copyOf(outOfService);
        this.returnedAtMicros = Map.copyOf(returnedAtMicros);
        boolean unchanged = true;
        for (String id : affected) {
            unchanged &= Objects.equals(before.get(id), current(id));
        }
        return unchanged
                ? List.of()
                : listed.values().stream().map(this::withMaintenance).toList();
    }

    /** An endpoint's entry as reported to the dispatcher; null if the endpoint is not listed. */
    private EndpointEntry current(String id) {
        EndpointEntry entry = listed.get(id);
        return entry == null ? null : withMaintenance(entry);
    }

    private EndpointEntry withMaintenance(EndpointEntry entry) {
        Endpoint endpoint = entry.endpoint();
        Long returnedAt = returnedAtMicros.get(endpoint.id());
        boolean mustDrain = endpoint.state() == EndpointState.LIVE && outOfService.contains(endpoint.id());
        if (!mustDrain && returnedAt == null) {
            return entry;
        }
        Endpoint changed = new Endpoint(
                endpoint.id(),
                endpoint.zone(),
                endpoint.machineType(),
                endpoint.cell(),
                mustDrain ? EndpointState.DRAINING : endpoint.state(),
                endpoint.weight(),
                returnedAt == null ? endpoint.startedAt() : Math.max(endpoint.startedAt(), returnedAt));
        return new EndpointEntry(changed, entry.address());
    }
}
