package magpiehub.lifecycle;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import magpiehub.admin.AdminCommandHandler;
import magpiehub.concurrent.MonotonicClock;
import magpiehub.discovery.EndpointSource;
import magpiehub.downstream.ClientListener;
import magpiehub.sites.SiteFailoverPlan;

/** Carries out the operators' commands on the parts of this router. */
final class RouterMaintenanceActions implements AdminCommandHandler.Hands {
    private static final int MICROS_PER_MILLI = 1000;

    private final BooleanSupplier ready;
    private final EndpointSource discovery;
    private final SiteFailoverPlan failoverPlan;
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
            SiteFailoverPlan failoverPlan,
            List<ClientListener> listeners,
            MonotonicClock clock) {
        this.ready = ready;
        this.discovery = discovery;
        this.failoverPlan = failoverPlan;
        this.listeners = listeners;
        this.monotonicOffsetMicros = clock.micros() - System.currentTimeMillis() * MICROS_PER_MILLI;
    }

    @Override
    public boolean ready() {
        return ready.getAsBoolean();
    }

    @Override
    public void engines(Set<String> outOfService, Map<String, Long> returnedAtUnixMillis, Runnable whenApplied) {
        Map<String, Long> returnedAtMicros = new HashMap<>();
        returnedAtUnixMillis.forEach(
                (id, millis) -> returnedAtMicros.put(id, monotonicOffsetMicros + millis * MICROS_PER_MILLI));
        discovery.maintain(outOfService, returnedAtMicros, whenApplied);
    }

    @Override
    public Map<String, String> sites() {
        return failoverPlan == null ? Map.of() : failoverPlan.standing();
    }

    @Override
    public void sites(Set<String> withdrawn) {
        if (failoverPlan != null) {
            failoverPlan.out(withdrawn);
        }
    }

    @Override
    public void standby(boolean standby) {
        listeners.forEach(listener -> listener.standby(standby));
    }
}
