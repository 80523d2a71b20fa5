package magpiehub.routing;

/**
 * Limits the traffic to a replica that has just started to a share that corresponds to its current capacity. The limit
 * applies to all routers together although each knows only its own traffic: a router earns tokens for its part of the
 * replica's share in proportion to the attempts that it sends, and may send if it has more tokens than a threshold
 * between 0 and 1 that differs between routers and windows. Of thirty routers that have a third of a token each at the
 * same time, ten send.
 */
final class SlowStart {
    private static final long NEVER = Long.MIN_VALUE;

    /** Fraction of the golden ratio: its multiples modulo 1 are evenly spread, and so are the thresholds. */
    private static final double GOLDEN_RATIO_FRACTION = 0.6180339887;

    /** Lower bound of the fleet's capacity per ready replica: while many warm up, shares at most double. */
    private static final double MIN_FLEET_CAPACITY_FRACTION = 0.5;

    /** Upper bound of the traffic as a fraction of that which makes a warming replica fail. */
    private static final double SAFETY_FACTOR = Math.sqrt(0.5);

    /** The warm-up of one replica, which only {@link SlowStart} accesses. */
    static final class WarmUp {
        private long startedAt = NEVER;
        private double tokens;
        private long tokensUpdatedAt;
        private double initialThreshold;
    }

    private final ActiveSettings settings;
    private final FleetState fleet;
    private final TrafficMeter traffic;
    /** Capacity of the ready replicas, in units of a replica at full capacity. */
    private double fleetCapacity;
    /** When {@link #fleetCapacity} was computed. */
    private long fleetCapacityUpdatedAt = NEVER / 2;
    /** Moving average of {@link #fleetCapacity} over the time constant of the traffic meter. */
    private double meanFleetCapacity;

    SlowStart(ActiveSettings settings, FleetState fleet, TrafficMeter traffic) {
        this.settings = settings;
        this.fleet = fleet;
        this.traffic = traffic;
    }

    /** Starts the warm-up of a replica that started at {@code startedAt}. */
    void start(Replica replica, long startedAt) {
        WarmUp warmUp = replica.warmUp;
        warmUp.startedAt = startedAt;
        warmUp.initialThreshold =
                settings.get().instanceIndex() / (double) settings.get().instanceCount()
                        + SplitMix64.mixToUnitInterval(startedAt ^ replica.hash());
        warmUp.tokensUpdatedAt = NEVER;
    }

    boolean isWarmingUp(Replica replica) {
        return replica.warmUp.startedAt != NEVER;
    }

    /** Records that an attempt is sent; at a warming replica it consumes a token. */
    void recordSent(Replica replica) {
        if (isWarmingUp(replica)) {
            replica.warmUp.tokens--;
        }
    }

    // ---- Capacity ---------------------------------------------------------------------------------------
    /** Returns the fraction of its capacity that the site guarantees for a replica by now; 1 if it is warm. */
    double capacity(Replica replica, long now) {
        if (!isWarmingUp(replica)) {
            return 1;
        }
        double initial = settings.get().guarantees().initialCapacity();
        double age = (double) (now - replica.warmUp.startedAt)
                / Math.max(1, settings.get().guarantees().warmUpDuration());
        return age >= 1 ? 1 : initial + (1 - initial) * Math.max(0, age);
    }

    /** Invalidates the fleet's capacity after a change of the fleet. */
    void invalidateFleetCapacity() {
        fleetCapacityUpdatedAt = NEVER / 2;
    }

    /** Computes the capacity of the ready replicas, at most once per tick. */
    void updateFleetCapacity(long now) {
        if (now - fleetCapacityUpdatedAt < RoutingTick.PERIOD_MICROS) {
            return;
        }
        fleetCapacityUpdatedAt = now;
        fleetCapacity = 0;
        for (int i = 0; i < fleet.size(); i++) {
            Replica replica = fleet.get(i);
            fleetCapacity += replica.isReady() ? capacity(replica, now) : 0;
        }
        meanFleetCapacity = meanFleetCapacity == 0
                ? fleetCapacity
                : meanFleetCapacity
                        + (fleetCapacity - meanFleetCapacity)
                                * RoutingTick.PERIOD_MICROS
                                / TrafficMeter.TIME_CONSTANT_MICROS;
    }

    /**
     * Returns the capacity that shares are based on: the larger of the current one and the mean one during the time in
     * which the traffic was measured.
     */
    private double sharedCapacity(long now) {
        updateFleetCapacity(now);
        double current = Math.max(fleetCapacity, MIN_FLEET_CAPACITY_FRACTION * fleet.readyCount());
        return Math.max(1, Math.max(current, meanFleetCapacity));
    }

    // ---- Tokens -----------------------------------------------------------------------------------------
    /** Returns whether the replica may be sent another attempt: it is warm, or this router has enough tokens. */
    boolean allowsAttempt(Replica replica, long now) {
        WarmUp warmUp = replica.warmUp;
        if (!isWarmingUp(replica)) {
            return true;
        }
        double capacity = capacity(replica, now);
        if (capacity >= 1) {
            warmUp.startedAt = NEVER;
            return true;
        }
        long window = (now - warmUp.startedAt)
                / Math.max(1, settings.get().guarantees().overloadWindow());
        refillTokens(replica, capacity, window, now);
        return warmUp.tokens > (warmUp.initialThreshold + GOLDEN_RATIO_FRACTION * window) % 1;
    }

    private void refillTokens(Replica replica, double capacity, long window, long now) {
        WarmUp warmUp = replica.warmUp;
        Guarantees guarantees = settings.get().guarantees();
        // Attempts sent instead of requests received: under overload, clients retry several times.
        double rate = traffic.attemptsPerMicro(now);
        double share = capacity * replica.relativeSize() / sharedCapacity(now);
        double factor = guarantees.overloadFactor();
        double limitedShare = share * shareFactor(window, factor);
        // A router with few requests spreads its keys by session, so no key can direct all routers to one replica.
        double maxTokens = !traffic.isReliable()
                ? limitedShare * fleet.readyCount()
                : factor * share * rate * guarantees.overloadWindow();
        // Before its first token, a router counts as one that has been sending for a long time.
        double earned = warmUp.tokensUpdatedAt == NEVER
                ? limitedShare * fleet.readyCount()
                : warmUp.tokens + limitedShare * rate * (now - warmUp.tokensUpdatedAt);
        warmUp.tokens = Math.min(Math.min(1, maxTokens), earned);
        warmUp.tokensUpdatedAt = now;
    }

    /**
     * Returns the multiple of its share that a warming replica gets, limited by {@link #SAFETY_FACTOR}: the geometric
     * mean of the share itself, with which it idles while the warm replicas are overloaded, and the multiple at which
     * it fails. Within the first window, when a single burst may consume the tokens, it is as far below the share as it
     * is above later.
     */
    private static double shareFactor(long window, double overloadFactor) {
        return Math.min(Math.sqrt(window == 0 ? 1 / overloadFactor : overloadFactor), SAFETY_FACTOR * overloadFactor);
    }
}
