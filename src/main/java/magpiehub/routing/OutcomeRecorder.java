package magpiehub.routing;

/**
 * Tells each mechanism what first tokens, outcomes, health checks and load reports show of replicas, of their zones
 * and of the fleet.
 */
final class OutcomeRecorder {
    /** Ratio of a latency that was not measured. */
    private static final double USUAL_LATENCY = 1;

    /** Waiting requests from which a reported queue counts. */
    private static final double QUEUE_LENGTH = 1;

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

    /** The first token of an attempt has come after {@code took} microseconds. */
    void recordFirstToken(RequestInFlight request, Attempt attempt, long took, long now) {
        RoutingRequest details = request.request();
        Replica replica = attempt.replica();
        double ratio = latencies.recordFirstToken(details.classIndex(), took);
        replica.heardAt(now);
        RequestClass requestClass = settings.get().classes().get(details.classIndex());
        boolean isInTime = took <= requestClass.firstTokenObjective(details.promptTokens());
        // A late answer that keeps a part of its value is bad by the rest only.
        overload.recordFirstToken(isInTime ? 1 : requestClass.lateAnswerValue());
        recordEvidence(replica, ZoneEvidence.ANSWERED, took, ratio, now);
        outliers.recordLatency(replica, ratio, now);
        zoneAffinity.recordFirstToken(replica, ratio);
        outliers.recordFirstToken(attempt);
    }

    /** An attempt has ended. */
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
                recordEvidence(replica, ZoneEvidence.BROKEN, took, USUAL_LATENCY, now);
                outliers.recordConnectionLost(replica, now);
            }
            case SPOILT -> outliers.recordMalformedResponse(replica, now);
            case CONNECT_FAILED -> {
                if (mayBeSentTo(replica, now)) {
                    recordUnreachable(replica, took, now);
                }
            }
            case TIMEOUT -> {
                overload.recordFailure();
                recordSilence(replica, took, now);
                outliers.recordTimeout(replica, now);
            }
            default -> {
                // Cancelled or superseded attempts show nothing of the replica.
            }
        }
    }

    private void recordAnswer(Replica replica, ZoneEvidence evidence, long took, long now) {
        replica.heardAt(now);
        recordEvidence(replica, evidence, took, USUAL_LATENCY, now);
    }

    /** A health check has ended; {@code report} may be null. */
    void recordProbe(Replica replica, AttemptOutcome outcome, long took, LoadReport report, long now) {
        switch (outcome) {
            case OK -> {
                replica.heardAt(now);
                recordLoadReport(replica, report, now);
                if (zones.plansFailover()) {
                    recordEvidence(replica, ZoneEvidence.ANSWERED, took, USUAL_LATENCY, now);
                }
            }
            case CONNECT_FAILED, RESET -> {
                if (mayBeSentTo(replica, now)) {
                    recordUnreachable(replica, took, now);
                }
            }
            case TIMEOUT -> {
                if (zones.plansFailover()) {
                    recordSilence(replica, took, now);
                }
            }
            default -> {
                // A replica that rejects or fails health checks can be reached; requests tell the rest.
            }
        }
    }

    /**
     * A load report has come; null is ignored. Reports are stale and noisy: a queue counts for a moment only, and the
     * time of service is compared with the fleet's as a first token's is, unless the replica is slow for warming up.
     */
    void recordLoadReport(Replica replica, LoadReport report, long now) {
        if (report == null) {
            return;
        }
        if (report.queueLength() >= QUEUE_LENGTH) {
            load.recordQueueReported(replica, now);
        }
        if (report.latencyMillis() > 0 && !slowStart.isWarmingUp(replica)) {
            outliers.recordLatency(replica, latencies.recordReported(report.latencyMillis()), now);
        }
    }

    /** No first token has come for {@code elapsed} microseconds. */
    void recordSilence(Replica replica, long elapsed, long now) {
        recordEvidence(replica, ZoneEvidence.SILENCE, elapsed, USUAL_LATENCY, now);
    }

    /** Whether a failure to connect shows anything: an attempt that the endpoint list stops is reported as one too. */
    private boolean mayBeSentTo(Replica replica, long now) {
        return replica.isReady() && fleet.isValid(now);
    }

    private void recordUnreachable(Replica replica, long took, long now) {
        recordEvidence(replica, ZoneEvidence.NO_CONNECTION, took, USUAL_LATENCY, now);
        outliers.recordUnreachable(replica, now);
    }

    private void recordEvidence(Replica replica, ZoneEvidence evidence, long took, double ratio, long now) {
        zones.recordEvidence(now, fleet.zoneOf(replica), replica.id(), evidence, took, ratio);
    }
}
