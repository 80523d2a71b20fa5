package magpiehub.routing;

/**
 * Ejects replicas that fail or are slower than the others, for a time that grows with each ejection. After that time,
 * one attempt is sent as a trial. Latencies are ratios to the fleet's means, so a cause that slows down all replicas
 * ejects none of them.
 */
final class OutlierDetector {
    /** Ratio to the mean latency above which a replica counts as slow. */
    static final double SLOW_RATIO = 4;

    /** Duration of the first ejection, the longest duration, and the maximum number of doublings. */
    private static final long FIRST_EJECTION_MICROS = 2_000_000;

    private static final long LONGEST_EJECTION_MICROS = 16_000_000;
    private static final int MAX_DOUBLINGS = 4;

    /** Jitter of an ejection's duration, so that routers do not send their trials to a replica at the same time. */
    private static final double MIN_JITTER_FACTOR = 0.75;

    private static final double JITTER_RANGE = 0.5;

    /** Maximum fraction of the fleet that may be ejected; unreachable replicas are ejected regardless of it. */
    private static final double MAX_EJECTED_FRACTION = 0.34;

    /** Decayed number of broken attempts that ejects; it decreases with time and with each complete answer. */
    private static final double MAX_BROKEN_ATTEMPTS = 1.5;

    private static final double BROKEN_TIME_CONSTANT_MICROS = 4_000_000;
    private static final double BROKEN_DECREASE_PER_ANSWER = 0.8;

    /** Weight of a malformed response: any replica may send one, and it shows that the replica is reachable. */
    private static final double MALFORMED_WEIGHT = 0.5;

    /** Weights of the newest ratio in the slowness; complete answers differ in length and have a lower weight. */
    private static final double FIRST_TOKEN_WEIGHT = 0.4;

    private static final double COMPLETE_ANSWER_WEIGHT = 0.25;

    /** Upper bound of a latency ratio, which is also the ratio of a timeout. */
    private static final double MAX_RATIO = 10;

    /** The state of one replica, which only {@link OutlierDetector} accesses. */
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

    // ---- Queries ----------------------------------------------------------------------------------------
    boolean isEjected(Replica replica) {
        return replica.outlierStatus.ejected;
    }

    /** Returns whether the replica is not ejected, or its next trial is due. */
    boolean allowsAttempt(Replica replica, long now) {
        ReplicaStatus status = replica.outlierStatus;
        return !status.ejected || (now >= status.ejectedUntil && !status.trialInFlight);
    }

    // ---- Attempts ---------------------------------------------------------------------------------------
    /** Records that an attempt is sent; if the ejection time of its replica is over, it is the trial. */
    void recordSent(Attempt attempt, long now) {
        ReplicaStatus status = attempt.replica().outlierStatus;
        if (status.ejected && now >= status.ejectedUntil) {
            status.trialInFlight = true;
            attempt.markTrial();
        }
    }

    /** Records that an attempt has ended; after a trial, the next one may be sent. */
    void recordEnded(Attempt attempt) {
        if (attempt.isTrial()) {
            attempt.replica().outlierStatus.trialInFlight = false;
        }
    }

    /** Ends the ejection after a trial's first token, unless the replica is still slow. */
    void recordFirstToken(Attempt attempt) {
        if (attempt.isTrial() && attempt.replica().outlierStatus.slowness <= SLOW_RATIO) {
            reset(attempt.replica());
        }
    }

    /** Records a time to first token or a reported service time by its ratio to the fleet's mean. */
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

    /** Records a complete answer. A slow one raises the slowness but does not eject by itself. */
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
        recordBrokenAttempt(replica, 1, now);
    }

    void recordMalformedResponse(Replica replica, long now) {
        recordBrokenAttempt(replica, MALFORMED_WEIGHT, now);
    }

    /**
     * A single broken attempt may be caused by the request or the network as well as by the replica. Two within a short
     * time with few complete answers in between indicate the replica.
     */
    private void recordBrokenAttempt(Replica replica, double weight, long now) {
        DecayedCounter broken = replica.outlierStatus.brokenAttempts;
        broken.add(weight, now);
        if (broken.value() >= MAX_BROKEN_ATTEMPTS) {
            eject(replica, false, now);
        }
    }

    /** Records a failed connection: the replica is ejected regardless of how many others are. */
    void recordUnreachable(Replica replica, long now) {
        eject(replica, true, now);
    }

    // ---- Ejection ---------------------------------------------------------------------------------------
    private void eject(Replica replica, boolean ignoresEjectionLimit, long now) {
        ReplicaStatus status = replica.outlierStatus;
        if (!replica.isReady()
                || (status.ejected && now < status.ejectedUntil)
                || (!status.ejected
                        && !ignoresEjectionLimit
                        && ejectedCount + 1 > MAX_EJECTED_FRACTION * fleet.readyCount())) {
            return;
        }
        ejectedCount += status.ejected ? 0 : 1;
        status.ejected = true;
        status.trialInFlight = false;
        int doublings = Math.min(status.ejections++, MAX_DOUBLINGS);
        long duration = Math.min(LONGEST_EJECTION_MICROS, FIRST_EJECTION_MICROS << doublings);
        status.ejectedUntil = now + (long) (duration * (MIN_JITTER_FACTOR + JITTER_RANGE * random.nextDouble()));
    }

    /** Ends an ejection and resets its causes, except the decayed count of broken attempts. */
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
