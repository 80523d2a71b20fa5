package magpiehub.routing;

import java.util.List;

/**
 * Applies endpoint lists and new settings to the fleet and to the components that depend on it, and requests lists when
 * they are due.
 */
final class EndpointListHandler implements FleetState.Listener {
    private final ActiveSettings settings;
    private final FleetState fleet;
    private final ZoneHealth zones;
    private final ZoneAffinity zoneAffinity;
    private final LoadTracker load;
    private final OutlierDetector outliers;
    private final SlowStart slowStart;
    private final SplitMix64 random;
    private final RoutingActions actions;
    private final EndpointPollSchedule pollSchedule;

    EndpointListHandler(
            ActiveSettings settings,
            FleetState fleet,
            ZoneHealth zones,
            ZoneAffinity zoneAffinity,
            LoadTracker load,
            OutlierDetector outliers,
            SlowStart slowStart,
            SplitMix64 random,
            RoutingActions actions,
            long now) {
        this.settings = settings;
        this.fleet = fleet;
        this.zones = zones;
        this.zoneAffinity = zoneAffinity;
        this.load = load;
        this.outliers = outliers;
        this.slowStart = slowStart;
        this.random = random;
        this.actions = actions;
        pollSchedule = EndpointPollSchedule.startingAt(now, settings.get(), random.nextDouble());
    }

    /** Handles an endpoint list, or the report that none was available. */
    void handle(EndpointListKind kind, List<Endpoint> endpoints, long now) {
        if (kind == EndpointListKind.ERROR) {
            pollSchedule.recordFailure(now, settings.get().guarantees().pollWithin(), random.nextDouble());
            return;
        }
        if (kind != EndpointListKind.SAVED) {
            pollSchedule.recordReceived();
        }
        if (fleet.update(kind, endpoints, this)) {
            rebuildFleet(now);
        }
    }

    /** Requests the endpoint list if that is due and lists are not pushed. */
    void pollIfDue(long now) {
        if (settings.get().subscribesToEndpoints()
                && pollSchedule.acquirePoll(now, settings.get().guarantees().pollWithin())) {
            actions.watchEndpoints();
        }
    }

    /** Rebuilds the rings and updates the components that depend on the number and sizes of replicas. */
    void rebuildFleet(long now) {
        fleet.rebuild();
        for (int zone = 0; zone < fleet.zoneCount(); zone++) {
            zones.setReplicaCount(now, zone, fleet.readyInZone(zone));
        }
        slowStart.invalidateFleetCapacity();
        zoneAffinity.updateFleet();
    }

    @Override
    public void onReplicaStarted(Replica replica, long startedAt) {
        outliers.reset(replica);
        slowStart.start(replica, startedAt);
        load.resetLimit(replica);
    }

    @Override
    public void onReplicaUnavailable(Replica replica) {
        outliers.reset(replica);
    }
}
