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

/** Carries out the operators' commands on the parts of this router. */
final class RouterMaintenanceActions implements MaintenanceActions {
    private static final int MICROS_PER_MILLI = 1000;

    private final BooleanSupplier ready;
    private final EndpointSource discovery;
    private final SiteFailover failoverPlan;
    private final List<ClientListener> listeners;
    /** Monotonic time less Unix time, taken once, so that one time of a command always gives the same result. */
    private final long monotonicOffsetMicros;

    /**
     * The actions of one router.
     *
     * @param failoverPlan null if the installation has none
     * @param listeners may grow later
     */
    RouterMaintenanceActions(
            BooleanSupplier ready,
            EndpointSource discovery,
            SiteFailover failoverPlan,
            List<ClientListener> listeners,
            MonotonicClock clock) {
        this.ready = ready;
        this.discovery = discovery;
        this.failoverPlan = failoverPlan;
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
        return failoverPlan == null ? Map.of() : failoverPlan.siteStatus();
    }

    @Override
    public void setWithdrawnSites(Set<String> withdrawn) {
        if (failoverPlan != null) {
            failoverPlan.setWithdrawnSites(withdrawn);
        }
    }

    @Override
    public void setStandby(boolean standby) {
        listeners.forEach(listener -> listener.setStandby(standby));
    }
}
