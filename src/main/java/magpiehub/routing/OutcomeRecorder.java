package magpiehub.routing;

/**
 * Forwards first tokens, outcomes, health check results and load reports to the mechanisms that track replicas, zones
 * and the fleet.
 */
final class OutcomeRecorder {
    /** Latency ratio that stands for a latency that was not measured. */
    private static final double NEUTRAL_LATENCY_RATIO = 1;

    /** Reported queue length from which a replica counts as busy. */
    private static final double BUSY_QUEUE_LENGTH = 1;

    private final ActiveSettings settings;
    private final FleetState fleet;
    private final ZoneHealth zones;
    private final ZoneAffinity zoneAffinity;
    private final LoadTracker load;
    private final OutlierDetector outliers;
    private final SlowStart slowStart;
    private final OverloadDetector overload;
    private final LatencyEstimator latencies;

    OutcomeRecorder(
            ActiveSettings settings,
            FleetState fleet,
            ZoneHealth zones,
            ZoneAffinity zoneAffinity,
            LoadTracker load,
            OutlierDetector outliers,
            SlowStart slowStart,
            OverloadDetector overload,
            LatencyEstimator latencies) {
        this.settings = settings;
        this.fleet = fleet;
        this.zones = zones;
        this.zoneAffinity = zoneAffinity;
        this.load = load;
        this.outliers = outliers;
        this.slowStart = slowStart;
        this.overload = overload;
        this.latencies = latencies;
    }

    /** Records that the first token of an attempt arrived after {@code took} microseconds. */
    void recordFirstToken(RequestInFlight request, Attempt attempt, long took, long now) {
        RoutingRequest details = request.request();
        Replica replica = attempt.replica();
        double ratio = latencies.recordFirstToken(details.classIndex(), took);
        replica.recordContact(now);
        RequestClass requestClass = settings.get().classes().get(details.classIndex());
        boolean isInTime = took <= requestClass.firstTokenObjective(details.promptTokens());
        // A late answer that keeps a fraction of its value counts as bad only by the lost fraction.
        overload.recordFirstToken(isInTime ? 1 : requestClass.lateAnswerValue());
        recordEvidence(replica, ZoneEvidence.ANSWERED, took, ratio, now);
        outliers.recordLatency(replica, ratio, now);
        zoneAffinity.recordFirstToken(replica, ratio);
        outliers.recordFirstToken(attempt);
    }

    /** Records the outcome of an attempt. */
    void recordOutcome(RequestInFlight request, Attempt attempt, AttemptOutcome outcome, long took, long now) {
        Replica replica = attempt.replica();
        switch (outcome) {
            case OK -> {
                load.recordServed(replica);
                double mean = latencies.recordCompleteAnswer(request.request().classIndex(), took);
                outliers.recordServed(replica, took, mean);
                recordAnswer(replica, ZoneEvidence.ANSWERED, took, now);
            }
            case FULL -> {
                overload.recordFailure();
                load.recordRejected(replica, now);
                recordAnswer(replica, ZoneEvidence.ANSWERED, took, now);
            }
            case ERROR -> {
                outliers.recordError(replica, now);
                recordAnswer(replica, ZoneEvidence.ERROR, took, now);
            }
            case RESET -> {
                recordEvidence(replica, ZoneEvidence.CONNECTION_LOST, took, NEUTRAL_LATENCY_RATIO, now);
                outliers.recordConnectionLost(replica, now);
            }
            case SPOILT -> outliers.recordMalformedResponse(replica, now);
            case CONNECT_FAILED -> {
                if (mayReceiveAttempts(replica, now)) {
                    recordUnreachable(replica, took, now);
                }
            }
            case TIMEOUT -> {
                overload.recordFailure();
                recordSilence(replica, took, now);
                outliers.recordTimeout(replica, now);
            }
            default -> {
                // Cancelled and superseded attempts provide no evidence about the replica.
            }
        }
    }

    private void recordAnswer(Replica replica, ZoneEvidence evidence, long took, long now) {
        replica.recordContact(now);
        recordEvidence(replica, evidence, took, NEUTRAL_LATENCY_RATIO, now);
    }

    /** Records the outcome of a health check; {@code report} may be null. */
    void recordHealthCheck(Replica replica, AttemptOutcome outcome, long took, LoadReport report, long now) {
        switch (outcome) {
            case OK -> {
                replica.recordContact(now);
                recordLoadReport(replica, report, now);
                if (zones.plansFailover()) {
                    recordEvidence(replica, ZoneEvidence.ANSWERED, took, NEUTRAL_LATENCY_RATIO, now);
                }
            }
            case CONNECT_FAILED, RESET -> {
                if (mayReceiveAttempts(replica, now)) {
                    recordUnreachable(replica, took, now);
                }
            }
            case TIMEOUT -> {
                if (zones.plansFailover()) {
                    recordSilence(replica, took, now);
                }
            }
            default -> {
                // The replica is reachable; whether it serves requests is learned from attempts.
            }
        }
    }

    /**
     * Records a load report; null is ignored. Reports are stale and noisy, so a queue has an effect for a short time
     * only. The service time is compared with the fleet's mean like a time to first token, unless the replica is
     * warming up and therefore slow.
     */
    void recordLoadReport(Replica replica, LoadReport report, long now) {
        if (report == null) {
            return;
        }
        if (report.queueLength() >= BUSY_QUEUE_LENGTH) {
            load.recordQueueReported(replica, now);
        }
        if (report.latencyMillis() > 0 && !slowStart.isWarmingUp(replica)) {
            outliers.recordLatency(replica, latencies.recordReported(report.latencyMillis()), now);
        }
    }

    /** Records that no first token has arrived for {@code elapsed} microseconds. */
    void recordSilence(Replica replica, long elapsed, long now) {
        recordEvidence(replica, ZoneEvidence.SILENCE, elapsed, NEUTRAL_LATENCY_RATIO, now);
    }

    /**
     * Returns whether a connect failure is evidence about the replica. Attempts that the endpoint list no longer allows
     * are also reported as connect failures.
     */
    private boolean mayReceiveAttempts(Replica replica, long now) {
        return replica.isReady() && fleet.isValid(now);
    }

    private void recordUnreachable(Replica replica, long took, long now) {
        recordEvidence(replica, ZoneEvidence.NO_CONNECTION, took, NEUTRAL_LATENCY_RATIO, now);
        outliers.recordUnreachable(replica, now);
    }

    private void recordEvidence(Replica replica, ZoneEvidence evidence, long took, double ratio, long now) {
        zones.recordEvidence(now, fleet.zoneOf(replica), replica.id(), evidence, took, ratio);
    }
}
