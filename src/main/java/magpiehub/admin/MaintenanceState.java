package magpiehub.admin;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/**
 * The state set by operator commands, which both router processes of an upgrade share. Immutable.
 *
 * <p>Each {@code with} method returns the same object if it changes nothing, and otherwise a state with the next
 * version.
 *
 * @param version incremented by each change
 * @param standby whether clients are directed to other routers
 * @param outOfService the ids of replicas that are out of service
 * @param returnedAtUnixMillis when replicas were returned to service, by id; they count as restarted at that time
 * @param listedIds the replica ids that were ever listed, the earliest first
 * @param servingProcesses the ids of the router processes that serve, the newest last
 * @param withdrawnSites the names of sites that are out of service
 */
public record MaintenanceState(
        long version,
        boolean standby,
        Set<String> outOfService,
        Map<String, Long> returnedAtUnixMillis,
        Set<String> listedIds,
        Set<Long> servingProcesses,
        Set<String> withdrawnSites) {

    /** Most listed ids that are kept. Beyond that the earliest are removed, except those out of service. */
    static final int MAX_LISTED_IDS = 20_000;

    /** How long a return to service is kept: longer than any replica takes to warm up. */
    private static final long RETURN_MEMORY_MILLIS = 600_000;

    /** The state before the first command. */
    public static final MaintenanceState INITIAL =
            new MaintenanceState(0, false, Set.of(), Map.of(), Set.of(), Set.of(), Set.of());

    /** Adds ids of the current endpoint list. */
    public MaintenanceState withListedIds(Collection<String> ids) {
        if (listedIds.containsAll(ids)) {
            return this;
        }
        Set<String> all = new LinkedHashSet<>(listedIds);
        all.addAll(ids);
        for (var i = all.iterator(); all.size() > MAX_LISTED_IDS && i.hasNext(); ) {
            if (!outOfService.contains(i.next())) {
                i.remove();
            }
        }
        return new MaintenanceState(
                version + 1, standby, outOfService, returnedAtUnixMillis, all, servingProcesses, withdrawnSites);
    }

    /** Adds a process that starts to serve, as the newest one, and removes those that have ended. */
    public MaintenanceState withServingProcess(long process, Collection<Long> ended) {
        Set<Long> all = new LinkedHashSet<>(servingProcesses);
        all.removeAll(ended);
        all.remove(process);
        all.add(process);
        return withServingProcesses(all);
    }

    /** Removes a process that has stopped serving. */
    public MaintenanceState withoutServingProcess(long process) {
        Set<Long> all = new LinkedHashSet<>(servingProcesses);
        return all.remove(process) ? withServingProcesses(all) : this;
    }

    private MaintenanceState withServingProcesses(Set<Long> processes) {
        return new MaintenanceState(
                version + 1, standby, outOfService, returnedAtUnixMillis, listedIds, processes, withdrawnSites);
    }

    MaintenanceState withStandby(boolean on) {
        return on == standby
                ? this
                : new MaintenanceState(
                        version + 1,
                        on,
                        outOfService,
                        returnedAtUnixMillis,
                        listedIds,
                        servingProcesses,
                        withdrawnSites);
    }

    /** Takes a replica out of service, and removes the time of its last return. */
    MaintenanceState withReplicaOutOfService(String id) {
        if (outOfService.contains(id)) {
            return this;
        }
        Set<String> out = new LinkedHashSet<>(outOfService);
        out.add(id);
        Map<String, Long> returned = new LinkedHashMap<>(returnedAtUnixMillis);
        returned.remove(id);
        return withReplicas(out, returned);
    }

    /** Returns a replica to service, and removes earlier returns that have expired. */
    MaintenanceState withReplicaReturned(String id, long nowUnixMillis) {
        if (!outOfService.contains(id)) {
            return this;
        }
        Set<String> out = new LinkedHashSet<>(outOfService);
        out.remove(id);
        Map<String, Long> returned = new LinkedHashMap<>(returnedAtUnixMillis);
        returned.values().removeIf(at -> nowUnixMillis - at > RETURN_MEMORY_MILLIS);
        returned.put(id, nowUnixMillis);
        return withReplicas(out, returned);
    }

    private MaintenanceState withReplicas(Set<String> out, Map<String, Long> returned) {
        return new MaintenanceState(version + 1, standby, out, returned, listedIds, servingProcesses, withdrawnSites);
    }

    MaintenanceState withSiteWithdrawn(String name) {
        Set<String> sites = new LinkedHashSet<>(withdrawnSites);
        return sites.add(name) ? withWithdrawnSites(sites) : this;
    }

    MaintenanceState withSiteReinstated(String name) {
        Set<String> sites = new LinkedHashSet<>(withdrawnSites);
        return sites.remove(name) ? withWithdrawnSites(sites) : this;
    }

    private MaintenanceState withWithdrawnSites(Set<String> sites) {
        return new MaintenanceState(
                version + 1, standby, outOfService, returnedAtUnixMillis, listedIds, servingProcesses, sites);
    }
}
