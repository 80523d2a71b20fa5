package magpiehub.routing;

/**
 * Limits the traffic to a replica that has just started to its share by the capacity that it has by then. The limit
 * holds for all routers together, and none knows more than its own part: each earns its part of the replica's share by
 * what it sends itself, as tokens, and sends where it has earned more than a threshold between 0 and 1 that is another
 * one for each router and window. Of thirty routers that come in one moment with a third of a token each, ten send.
 */
final class SlowStart {
    private static final long NEVER = Long.MIN_VALUE;

    /** The golden section: its multiples, modulo 1, lie as far apart as any, so thresholds are evenly spread. */
    private static final double GOLDEN_SECTION = 0.6180339887;

    /** While many replicas warm up, each one's share is larger, by a factor of two at most. */
    private static final double LEAST_FLEET_CAPACITY = 0.5;

    /** How far traffic keeps below what makes a warming replica fail: at most the root of a half of it. */
    private static final double SAFETY = Math.sqrt(0.5);

    /** The warm-up of one replica; only {@link SlowStart} reads and changes it. */
    static final class WarmUp {
        private long startedAt = NEVER;
        private double tokens;
        private long tokensAt;
        private double firstThreshold;
    }

    private final ActiveSettings settings;
    private final FleetState fleet;
    private final TrafficMeter traffic;
    /** Capacity of the ready replicas, in replicas at full capacity, and when it was summed. */
    private double fleetCapacity;

    private long fleetCapacityAt = NEVER / 2;
    /** The same as a mean over the time that traffic is measured over. */
    private double meanFleetCapacity;

    SlowStart(ActiveSettings settings, FleetState fleet, TrafficMeter traffic) {
        this.settings = settings;
        this.fleet = fleet;
        this.traffic = traffic;
    }

    /** A replica has started and warms up from now on. */
    void start(Replica replica, long since) {
        WarmUp warmUp = replica.warmUp;
        warmUp.startedAt = since;
        warmUp.firstThreshold =
                settings.get().instanceIndex() / (double) settings.get().instanceCount()
                        + SplitMix64.mixToUnitInterval(since ^ replica.hash());
        warmUp.tokensAt = NEVER;
    }

    boolean isWarmingUp(Replica replica) {
        return replica.warmUp.startedAt != NEVER;
    }

    /** An attempt is sent: at a warming replica it uses a token up. */
    void recordSent(Replica replica) {
        if (isWarmingUp(replica)) {
            replica.warmUp.tokens--;
        }
    }

    // ---- Capacity ---------------------------------------------------------------------------------------
    /** Part of its capacity that a replica has by now, by the least that the site promises; 1 if it is warm. */
    double capacity(Replica replica, long now) {
        if (!isWarmingUp(replica)) {
            return 1;
        }
        double initial = settings.get().guarantees().initialCapacity();
        double age = (double) (now - replica.warmUp.startedAt)
                / Math.max(1, settings.get().guarantees().warmUpDuration());
        return age >= 1 ? 1 : initial + (1 - initial) * Math.max(0, age);
    }

    /** The fleet has changed: its capacity has to be summed again. */
    void invalidateFleetCapacity() {
        fleetCapacityAt = NEVER / 2;
    }

    /** Sums the ready replicas' capacities, at most once a tick. */
    void updateFleetCapacity(long now) {
        if (now - fleetCapacityAt < RoutingTick.PERIOD_MICROS) {
            return;
        }
        fleetCapacityAt = now;
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

    /** The capacity that shares are taken of: the larger of now's and the mean's, which traffic came from. */
    private double sharedCapacity(long now) {
        updateFleetCapacity(now);
        double current = Math.max(fleetCapacity, LEAST_FLEET_CAPACITY * fleet.readyCount());
        return Math.max(1, Math.max(current, meanFleetCapacity));
    }

    // ---- Tokens -----------------------------------------------------------------------------------------
    /** Whether the replica may be sent one more attempt: it is warm, or this router has earned a token. */
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
        earnTokens(replica, capacity, window, now);
        return warmUp.tokens > (warmUp.firstThreshold + GOLDEN_SECTION * window) % 1;
    }

    private void earnTokens(Replica replica, double capacity, long window, long now) {
        WarmUp warmUp = replica.warmUp;
        Guarantees guarantees = settings.get().guarantees();
        // By what was sent, not received: under overload clients ask several times over.
        double rate = traffic.attemptsPerMicro(now);
        double share = capacity * replica.relativeSize() / sharedCapacity(now);
        double factor = guarantees.overloadFactor();
        double cautious = share * cautionFactor(window, factor);
        // A router that sees few requests spreads its keys by session: no key can lead all routers to one replica.
        double most = !traffic.isEstablished()
                ? cautious * fleet.readyCount()
                : factor * share * rate * guarantees.overloadWindow();
        // Before its first token a router counts as one that has sent for long.
        double earned = warmUp.tokensAt == NEVER
                ? cautious * fleet.readyCount()
                : warmUp.tokens + cautious * rate * (now - warmUp.tokensAt);
        warmUp.tokens = Math.min(Math.min(1, most), earned);
        warmUp.tokensAt = now;
    }

    /**
     * The multiple of its share that a warming replica gets: half way, by the multiple, between the bare share, with
     * which it idles while the warm ones are overloaded, and what makes it fail, and not nearer to that than
     * {@link #SAFETY}; as far below the share within the first window, when one burst may use the tokens up.
     */
    private static double cautionFactor(long window, double overloadFactor) {
        return Math.min(Math.sqrt(window == 0 ? 1 / overloadFactor : overloadFactor), SAFETY * overloadFactor);
    }
}
