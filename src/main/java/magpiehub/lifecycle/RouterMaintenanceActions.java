package magpiehub.lifecycle;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import magpiehub.admin.MaintenanceActions;
import magpiehub.concurrent.MonotonicClock;
import magpiehub.discovery.EndpointSource;
import magpiehub.downstream.ClientListener;
import magpiehub.sites.SiteFailover;

/** Executes operators' maintenance commands on the components of this router. */
final class RouterMaintenanceActions implements MaintenanceActions {
    private static final int MICROS_PER_MILLI = 1000;

    private final BooleanSupplier ready;
    private final EndpointSource discovery;
    private final SiteFailover siteFailover;
    private final List<ClientListener> listeners;
    /** Monotonic time minus Unix time, computed once so that the same Unix time always converts to the same result. */
    private final long monotonicOffsetMicros;

    /**
     * Creates the actions of one router.
     *
     * @param siteFailover null if site failover is disabled
     * @param listeners the router's listeners; more may be added later
     */
    RouterMaintenanceActions(
            BooleanSupplier ready,
            EndpointSource discovery,
            SiteFailover siteFailover,
            List<ClientListener> listeners,
            MonotonicClock clock) {
        this.ready = ready;
        this.discovery = discovery;
        this.siteFailover = siteFailover;
        this.listeners = listeners;
        this.monotonicOffsetMicros = clock.micros() - System.currentTimeMillis() * MICROS_PER_MILLI;
    }

    @Override
    public boolean isReady() {
        return ready.getAsBoolean();
    }

    @Override
    public void setReplicasOutOfService(
            Set<String> outOfService, Map<String, Long> returnedAtUnixMillis, Runnable whenApplied) {
        Map<String, Long> returnedAtMicros = new HashMap<>();
        returnedAtUnixMillis.forEach(
                (id, millis) -> returnedAtMicros.put(id, monotonicOffsetMicros + millis * MICROS_PER_MILLI));
        discovery.applyMaintenance(outOfService, returnedAtMicros, whenApplied);
    }

    @Override
    public Map<String, String> siteStatus() {
        return siteFailover == null ? Map.of() : siteFailover.siteStatus();
    }

    @Override
    public void setWithdrawnSites(Set<String> withdrawn) {
        if (siteFailover != null) {
            siteFailover.setWithdrawnSites(withdrawn);
        }
    }

    @Override
    public void setStandby(boolean standby) {
        listeners.forEach(listener -> listener.setStandby(standby));
    }
}
