package magpiehub.routing;

/**
 * Ejects replicas that fail or are slow against the others, for a time that grows with each ejection. When the time is
 * over, one attempt is let through as a trial. Latencies count as ratios to the fleet's means: what all replicas share
 * cancels out, so a shared cause ejects none.
 */
final class OutlierDetector {
    /** A time this many times the mean is a sign of a slow replica. */
    static final double SLOW_RATIO = 4;

    /** Ejections: the first one's length, the longest (us), and the doublings between them. */
    private static final long FIRST_EJECTION_MICROS = 2_000_000;

    private static final long LONGEST_EJECTION_MICROS = 16_000_000;
    private static final int MAX_DOUBLINGS = 4;

    /** Jitter of an ejection's length, so that routers do not try a replica at the same moment. */
    private static final double LEAST_LENGTH = 0.75;

    private static final double LENGTH_JITTER = 0.5;

    /** The part of the fleet that may be ejected at once, unless replicas can't be reached at all. */
    private static final double MAX_EJECTED_PART = 0.34;

    /** Lost connections that eject; they count less with time (us) and with each answer served. */
    private static final double MAX_BROKEN_ATTEMPTS = 1.5;

    private static final double BROKEN_TIME_CONSTANT_MICROS = 4_000_000;
    private static final double BROKEN_DECREASE_PER_ANSWER = 0.8;

    /** A malformed response may come from any replica, and shows that this one is there. */
    private static final double MALFORMED_WEIGHT = 0.5;

    /** Weights of the newest ratio in the slowness: complete answers differ in length, so they tell less. */
    private static final double FIRST_TOKEN_WEIGHT = 0.4;

    private static final double COMPLETE_ANSWER_WEIGHT = 0.25;

    /** A ratio counts as this at most; a timeout counts as it. */
    private static final double MAX_RATIO = 10;

    /** What is known of one replica; only {@link OutlierDetector} reads and changes it. */
    static final class ReplicaStatus {
        private double slowness = 1;
        private final DecayedCounter brokenAttempts = new DecayedCounter(BROKEN_TIME_CONSTANT_MICROS, 0);
        private int ejections;
        private boolean ejected;
        private long ejectedUntil;
        private boolean trialInFlight;
    }

    private final FleetState fleet;
    private final ZoneHealth zones;
    private final SplitMix64 random;
    private int ejectedCount;

    OutlierDetector(FleetState fleet, ZoneHealth zones, SplitMix64 random) {
        this.fleet = fleet;
        this.zones = zones;
        this.random = random;
    }

    // ---- What is asked ----------------------------------------------------------------------------------
    boolean isEjected(Replica replica) {
        return replica.outlierStatus.ejected;
    }

    /** Whether the replica is not ejected, or its next trial is due. */
    boolean allowsAttempt(Replica replica, long now) {
        ReplicaStatus status = replica.outlierStatus;
        return !status.ejected || (now >= status.ejectedUntil && !status.trialInFlight);
    }

    // ---- What attempts show -----------------------------------------------------------------------------
    /** An attempt is sent; if its replica's ejection is over, it is the trial. */
    void recordSent(Attempt attempt, long now) {
        ReplicaStatus status = attempt.replica().outlierStatus;
        if (status.ejected && now >= status.ejectedUntil) {
            status.trialInFlight = true;
            attempt.markTrial();
        }
    }

    /** An attempt has ended: a trial no longer stands in the way of the next. */
    void recordEnded(Attempt attempt) {
        if (attempt.isTrial()) {
            attempt.replica().outlierStatus.trialInFlight = false;
        }
    }

    /** A trial's first token ends the ejection, unless the replica is still slow. */
    void recordFirstToken(Attempt attempt) {
        if (attempt.isTrial() && attempt.replica().outlierStatus.slowness <= SLOW_RATIO) {
            reset(attempt.replica());
        }
    }

    /** A time to the first token, or a reported time of service, by its ratio to the fleet's mean. */
    void recordLatency(Replica replica, double ratio, long now) {
        ReplicaStatus status = replica.outlierStatus;
        status.slowness += (Math.min(MAX_RATIO, ratio) - status.slowness) * FIRST_TOKEN_WEIGHT;
        if (status.slowness > SLOW_RATIO) {
            eject(replica, false, now);
        }
    }

    void recordTimeout(Replica replica, long now) {
        recordLatency(replica, MAX_RATIO, now);
    }

    /** A complete answer came. One that took long counts as slow, but ejects nobody by itself. */
    void recordServed(Replica replica, long took, double meanTime) {
        ReplicaStatus status = replica.outlierStatus;
        status.brokenAttempts.scale(BROKEN_DECREASE_PER_ANSWER);
        if (took > SLOW_RATIO * meanTime) {
            status.slowness += (Math.min(MAX_RATIO, took / meanTime) - status.slowness) * COMPLETE_ANSWER_WEIGHT;
        }
    }

    void recordError(Replica replica, long now) {
        eject(replica, false, now);
    }

    void recordConnectionLost(Replica replica, long now) {
        recordBroken(replica, 1, now);
    }

    void recordMalformedResponse(Replica replica, long now) {
        recordBroken(replica, MALFORMED_WEIGHT, now);
    }

    /**
     * One broken attempt tells of the request or of the network as often as of the replica; two soon after each other,
     * with little served in between, tell of the replica.
     */
    private void recordBroken(Replica replica, double weight, long now) {
        DecayedCounter broken = replica.outlierStatus.brokenAttempts;
        broken.add(weight, now);
        if (broken.value() >= MAX_BROKEN_ATTEMPTS) {
            eject(replica, false, now);
        }
    }

    /** No connection could be opened: it is ejected however many others are. */
    void recordUnreachable(Replica replica, long now) {
        eject(replica, true, now);
    }

    // ---- Ejection ---------------------------------------------------------------------------------------
    private void eject(Replica replica, boolean always, long now) {
        ReplicaStatus status = replica.outlierStatus;
        if (!replica.isReady()
                || (status.ejected && now < status.ejectedUntil)
                || (!status.ejected && !always && ejectedCount + 1 > MAX_EJECTED_PART * fleet.readyCount())) {
            return;
        }
        ejectedCount += status.ejected ? 0 : 1;
        status.ejected = true;
        status.trialInFlight = false;
        int doublings = Math.min(status.ejections++, MAX_DOUBLINGS);
        long length = Math.min(LONGEST_EJECTION_MICROS, FIRST_EJECTION_MICROS << doublings);
        status.ejectedUntil = now + (long) (length * (LEAST_LENGTH + LENGTH_JITTER * random.nextDouble()));
    }

    /** Ends an ejection and forgets what led to it; lost connections go on counting. */
    void reset(Replica replica) {
        ReplicaStatus status = replica.outlierStatus;
        ejectedCount -= status.ejected ? 1 : 0;
        status.ejected = false;
        status.slowness = 1;
        status.ejections = 0;
        status.trialInFlight = false;
        zones.forgetReplica(replica.id());
    }
}
