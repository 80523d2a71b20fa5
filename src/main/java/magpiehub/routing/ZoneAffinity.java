package magpiehub.routing;

/**
 * Decides which fraction of the affinity keys stays in the router's own zone where traffic between zones has a cost.
 * The fraction grows while first tokens arrive as fast from the own zone as from the others, and shrinks while they are
 * slower.
 */
final class ZoneAffinity {
    /** Initial fraction, before any latency is known. */
    private static final double INITIAL_FRACTION = 0.5;

    /** Upper bound of the fraction; the other keys keep measuring the other zones. */
    private static final double MAX_FRACTION = 0.95;

    /** Steps of the fraction, and the ratios of times to first token (own zone to others) at which they are taken. */
    private static final double STEP_UP = 0.03;

    private static final double STEP_DOWN = 0.06;
    private static final double STEP_UP_BELOW = 1.1;
    private static final double STEP_DOWN_ABOVE = 1.3;

    /** Weights of the newest ratio; the other zones have fewer first tokens. */
    private static final double OWN_ZONE_WEIGHT = 0.03;

    private static final double OTHER_ZONES_WEIGHT = 0.1;

    /** Upper bound of a latency ratio. */
    private static final double MAX_RATIO = 4;

    private final ActiveSettings settings;
    private final FleetState fleet;
    private double ownZoneFraction;
    private double maxOwnZoneFraction;
    private double ownZoneLatency = 1;
    private double otherZonesLatency = 1;

    ZoneAffinity(ActiveSettings settings, FleetState fleet) {
        this.settings = settings;
        this.fleet = fleet;
        ownZoneFraction = settings.get().hasCrossZoneCosts() ? INITIAL_FRACTION : 0;
    }

    /** Returns the ring of a key: the own zone's for the fraction of the keys that stays. */
    HashRing ringFor(long key) {
        return ownZoneFraction > 0 && SplitMix64.mixToUnitInterval(key) < ownZoneFraction
                ? fleet.ownZoneRing()
                : fleet.subsetRing();
    }

    /** Updates the bound of the fraction after a rebuild of the fleet. */
    void updateFleet() {
        // A zone with few replicas keeps fewer keys, since it also gets requests that other zones have no capacity for.
        int ready = Math.max(1, fleet.readyCount());
        int zoneCount = fleet.zoneCount();
        double zoneBalance = 0;
        for (int zone = 0; zone < zoneCount; zone++) {
            zoneBalance += Math.min(1, (double) fleet.readyInZone(zone) / ready * zoneCount);
        }
        zoneBalance /= zoneCount;
        maxOwnZoneFraction = Math.min(MAX_FRACTION, zoneBalance * fleet.readyInOwnZone() * zoneCount / ready);
        ownZoneFraction = Math.min(ownZoneFraction, maxOwnZoneFraction);
    }

    /** Records a time to first token by its ratio to the mean. */
    void recordFirstToken(Replica replica, double ratio) {
        double capped = Math.min(MAX_RATIO, ratio);
        if (fleet.isInOwnZone(replica)) {
            ownZoneLatency += (capped - ownZoneLatency) * OWN_ZONE_WEIGHT;
        } else {
            otherZonesLatency += (capped - otherZonesLatency) * OTHER_ZONES_WEIGHT;
        }
    }

    /** Changes the fraction by one step if the latencies require it. Called periodically. */
    void adjust() {
        if (settings.get().hasCrossZoneCosts()) {
            ownZoneFraction = Math.max(0, Math.min(maxOwnZoneFraction, ownZoneFraction + step()));
        }
    }

    private double step() {
        if (ownZoneLatency > STEP_DOWN_ABOVE * otherZonesLatency) {
            return -STEP_DOWN;
        }
        return ownZoneLatency < STEP_UP_BELOW * otherZonesLatency ? STEP_UP : 0;
    }
}
