package magpiehub.admin;

import java.util.Map;
import java.util.Set;

/**
 * What operator commands change in the router. {@link AdminCommandHandler} calls it, one call at a time, with its lock
 * held; implementations must return promptly.
 */
public interface MaintenanceActions {
    /** Whether this process can serve requests. */
    boolean isReady();

    /**
     * Sets which replicas are out of service.
     *
     * @param outOfService ids of the replicas that get no requests
     * @param returnedAtUnixMillis replicas that were put back into service, by id, with the time: they count as
     *     restarted
     * @param whenApplied run, from any thread, once no attempt can start any more that goes against this
     */
    void setReplicasOutOfService(
            Set<String> outOfService, Map<String, Long> returnedAtUnixMillis, Runnable whenApplied);

    /** The status of each site by its name; empty if the router plans for no loss of a site. */
    default Map<String, String> siteStatus() {
        return Map.of();
    }

    /** Withdraws these sites from service, and puts all others back. */
    default void setWithdrawnSites(Set<String> names) {}

    /** Sends clients to other routers, or serves them again. */
    void setStandby(boolean standby);
}
