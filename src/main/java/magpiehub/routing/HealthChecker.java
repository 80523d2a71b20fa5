package magpiehub.routing;

/**
 * Sends health checks: to replicas that have not been heard of for a period, at a rate that all routers share, so that
 * routers times replicas stays small; and to replicas of a zone when that is asked for.
 */
final class HealthChecker {
    /** A replica is checked once in this time (us), over all routers together, while nothing is heard of it. */
    private static final long PERIOD_MICROS = 10_000_000;

    /** Replicas looked at, in one tick, for one that has not been heard of. */
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

    /** Checks one silent replica, if it is this router's turn. */
    void checkSilentReplica(long now) {
        if (!isDue(now)) {
            return;
        }
        lastCheckAt = now;
        for (int step = 0; step < MAX_STEPS; step++) {
            Replica replica = nextReplica();
            if (replica.isReady() && !outliers.isEjected(replica) && now - replica.lastHeardAt() > PERIOD_MICROS) {
                replica.heardAt(now);
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

    /** Checks so many ready replicas of a zone, as far as it has them. */
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
