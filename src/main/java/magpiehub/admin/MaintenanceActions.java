package magpiehub.admin;

import java.util.Map;
import java.util.Set;

/**
 * The effects of operator commands on the router. Called by {@link AdminCommandHandler}, which holds its lock during
 * the call, so calls never overlap and implementations must return promptly.
 */
public interface MaintenanceActions {
    /** Whether this process can serve requests. */
    boolean isReady();

    /**
     * Sets which replicas are out of service.
     *
     * @param outOfService the ids of replicas that must not receive requests
     * @param returnedAtUnixMillis when replicas were returned to service, by id; they count as restarted at that time
     * @param whenApplied run, on any thread, once no attempt to these replicas can start any more
     */
    void setReplicasOutOfService(
            Set<String> outOfService, Map<String, Long> returnedAtUnixMillis, Runnable whenApplied);

    /** The status of each site by its name; empty if site failover is off. */
    default Map<String, String> siteStatus() {
        return Map.of();
    }

    /** Withdraws these sites from service, and returns all others to service. */
    default void setWithdrawnSites(Set<String> names) {}

    /** Directs clients to other routers, or serves them again. */
    void setStandby(boolean standby);
}
