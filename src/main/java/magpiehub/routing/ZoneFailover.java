package magpiehub.routing;

import java.util.Arrays;
import java.util.Collection;
import java.util.List;

/**
 * Drives a {@link ZoneHealth} that plans for the loss of a zone: reports overdue first tokens, cancels attempts that
 * wait at a closed zone, and sends health checks where there are too few requests for a timely detection.
 */
final class ZoneFailover {
    private final ActiveSettings settings;
    private final FleetState fleet;
    private final ZoneHealth zones;
    private final LoadTracker load;
    private final OutlierDetector outliers;
    private final OutcomeRecorder recorder;
    private final LatencyEstimator latencies;
    private final HealthChecker healthChecker;
    private final RoutingActions actions;
    /** The zones that were closed at the last tick. */
    private boolean[] closed = {};

    ZoneFailover(
            ActiveSettings settings,
            FleetState fleet,
            ZoneHealth zones,
            LoadTracker load,
            OutlierDetector outliers,
            OutcomeRecorder recorder,
            LatencyEstimator latencies,
            HealthChecker healthChecker,
            RoutingActions actions) {
        this.settings = settings;
        this.fleet = fleet;
        this.zones = zones;
        this.load = load;
        this.outliers = outliers;
        this.recorder = recorder;
        this.latencies = latencies;
        this.healthChecker = healthChecker;
        this.actions = actions;
        resize();
    }

    /** Adds the zones of new settings. */
    void resize() {
        zones.setZoneCount(fleet.zoneCount());
        closed = Arrays.copyOf(closed, fleet.zoneCount());
    }

    /** Called periodically. */
    void tick(Collection<RequestInFlight> requests, long now) {
        zones.advance(now);
        if (!zones.plansFailover()) {
            return;
        }
        reportSilence(now);
        for (RequestInFlight request : List.copyOf(requests)) {
            abandonAttempts(request);
        }
        for (int zone = 0; zone < fleet.zoneCount(); zone++) {
            forgetFailuresIfReopened(zone);
            checkReplicas(zone, now);
        }
    }

    private void reportSilence(long now) {
        long slowFirstToken = (long) (OutlierDetector.SLOW_RATIO * latencies.longestMeanFirstToken());
        long overdueAfter = Math.max(LoadTracker.FIRST_TOKEN_OVERDUE_MICROS, slowFirstToken);
        for (int i = 0; i < fleet.size(); i++) {
            for (Attempt attempt : load.possiblyAwaitingFirstToken(fleet.get(i))) {
                long elapsed = now - attempt.sentAt();
                if (attempt.awaitsFirstToken() && !attempt.isSilenceReported() && elapsed > overdueAfter) {
                    attempt.markSilenceReported();
                    recorder.recordSilence(attempt.replica(), elapsed, now);
                }
            }
        }
    }

    /** Cancels attempts that wait at a closed zone, except trials whose first token is not overdue. */
    private void abandonAttempts(RequestInFlight request) {
        for (int number = 0; number < request.attemptCount(); number++) {
            Attempt attempt = request.findAttempt(number);
            long closedSince = zones.closedSince(fleet.validZone(attempt.zone()));
            if (closedSince != Long.MAX_VALUE
                    && !attempt.hasEnded()
                    && !attempt.isAbandoned()
                    && !request.isStreaming()
                    && (attempt.isSilenceReported() || attempt.sentAt() < closedSince)
                    && settings.get().limits().allowsCancellation()) {
                attempt.markAbandoned();
                actions.cancelAttempt(request.id(), number);
            }
        }
    }

    /** Resets the ejections of a zone that is open again: failures of the closed zone are no evidence any more. */
    private void forgetFailuresIfReopened(int zone) {
        boolean isClosed = zones.closedSince(zone) != Long.MAX_VALUE;
        if (closed[zone] && !isClosed) {
            for (int i = 0; i < fleet.size(); i++) {
                Replica replica = fleet.get(i);
                if (replica.isReady() && fleet.zoneOf(replica) == zone) {
                    outliers.reset(replica);
                }
            }
        }
        closed[zone] = isClosed;
    }

    private void checkReplicas(int zone, long now) {
        if (settings.get().limits().allowsHealthChecks()) {
            int count = zones.acquireHealthChecks(zone) + (zones.acquireTrial(now, zone) ? 1 : 0);
            healthChecker.checkZone(zone, count, now);
        }
    }
}
