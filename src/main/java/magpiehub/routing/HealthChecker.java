package magpiehub.routing;

/**
 * Sends health checks to replicas that have not answered for a period, at a rate that all routers share so that the
 * total does not grow with the number of routers, and to replicas of a zone on request.
 */
final class HealthChecker {
    /** Interval between health checks of a replica that does not answer otherwise, over all routers together. */
    private static final long PERIOD_MICROS = 10_000_000;

    /** Maximum number of replicas that one tick examines for one that has not answered for a period. */
    private static final int MAX_STEPS = 12;

    private final ActiveSettings settings;
    private final FleetState fleet;
    private final OutlierDetector outliers;
    private final RoutingActions actions;
    private long lastCheckAt;
    private int cursor;

    HealthChecker(
            ActiveSettings settings, FleetState fleet, OutlierDetector outliers, RoutingActions actions, long now) {
        this.settings = settings;
        this.fleet = fleet;
        this.outliers = outliers;
        this.actions = actions;
        lastCheckAt = now;
    }

    /** Checks one replica that has not answered for a period, if a check is due. */
    void checkIdleReplica(long now) {
        if (!isDue(now)) {
            return;
        }
        lastCheckAt = now;
        for (int step = 0; step < MAX_STEPS; step++) {
            Replica replica = nextReplica();
            if (replica.isReady() && !outliers.isEjected(replica) && now - replica.lastContactAt() > PERIOD_MICROS) {
                replica.recordContact(now);
                actions.sendHealthCheck(replica.id());
                return;
            }
        }
    }

    private boolean isDue(long now) {
        return settings.get().limits().allowsHealthChecks()
                && fleet.isValid(now)
                && fleet.size() > 0
                && now - lastCheckAt >= PERIOD_MICROS * settings.get().instanceCount() / fleet.size();
    }

    /** Checks up to {@code count} ready replicas of a zone. */
    void checkZone(int zone, int count, long now) {
        int left = count;
        for (int step = 0; left > 0 && step < fleet.size() && fleet.isValid(now); step++) {
            Replica replica = nextReplica();
            if (replica.isReady() && fleet.zoneOf(replica) == zone) {
                actions.sendHealthCheck(replica.id());
                left--;
            }
        }
    }

    private Replica nextReplica() {
        return fleet.get(cursor++ % fleet.size());
    }
}
