package magpiehub.routing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Decides which replica serves each request. There is one instance per router; its host reports events on one thread,
 * and the actions that an event leads to are requested before its handler returns.
 *
 * <p>The ordinary path of a request: {@link AdmissionController} admits it, {@link AffinityResolver} finds the replicas
 * that are likely to have its prompt cached, {@link ReplicaSelector} selects one, and the attempt is sent. Its first
 * token and its outcome are reported to {@link OutcomeRecorder}. If it failed, {@link RetryPolicy} decides whether
 * there is another attempt; if not, the request is rejected or failed. This class implements that path and contains no
 * formula; each mechanism is a separate class. {@code docs/design.md} explains the design.
 *
 * <p>Decisions are deterministic: the same events and seed lead to the same actions. Time comes from the events and
 * randomness from the seed; no state is shared with other routers.
 */
public final class RoutingPolicy implements RoutingEvents {
    /** How often load shedding and zone affinity are adjusted, in microseconds. */
    private static final long ADJUSTMENT_PERIOD_MICROS = 500_000;

    private final ActiveSettings settings;
    private final RoutingActions actions;
    private final FleetState fleet;
    private final EndpointListHandler endpointLists;
    private final TrafficMeter traffic;
    private final AffinityResolver affinity;
    private final ZoneAffinity zoneAffinity;
    private final PromptCacheTracker promptCache;
    private final LatencyEstimator latencies;
    private final OverloadDetector overload;
    private final AdmissionController admission;
    private final LoadTracker load;
    private final OutlierDetector outliers;
    private final SlowStart slowStart;
    private final RetryPolicy retries;
    private final ReplicaSelector selector;
    private final OutcomeRecorder recorder;
    private final HealthChecker healthChecker;
    private final ZoneFailover zoneFailover;
    private final Map<String, RequestInFlight> requests = new HashMap<>();
    private long now;
    private long adjustedAt;

    /** Creates a policy without replicas, with {@link ConnectFailureZoneHealth} as its zone health. */
    public RoutingPolicy(RoutingSettings settings, long seed, RoutingActions actions, long now) {
        this(settings, seed, actions, now, new ConnectFailureZoneHealth());
    }

    /** Creates a policy without replicas. */
    public RoutingPolicy(RoutingSettings initial, long seed, RoutingActions actions, long now, ZoneHealth zones) {
        this.settings = new ActiveSettings(initial);
        this.actions = actions;
        this.now = now;
        SplitMix64 random = new SplitMix64(seed);
        fleet = new FleetState(settings);
        traffic = new TrafficMeter(now);
        zoneAffinity = new ZoneAffinity(settings, fleet);
        AffinityTable affinityTable = new AffinityTable();
        affinity = new AffinityResolver(affinityTable, fleet, zoneAffinity, traffic);
        promptCache = new PromptCacheTracker(now);
        latencies = new LatencyEstimator();
        latencies.resize(initial.classes().size());
        overload = new OverloadDetector();
        admission = new AdmissionController(settings, overload, latencies, traffic, random, now);
        load = new LoadTracker(random);
        outliers = new OutlierDetector(fleet, zones, random);
        slowStart = new SlowStart(settings, fleet, traffic);
        retries = new RetryPolicy(settings, overload);
        ReplicaSelector.Mechanisms mechanisms =
                new ReplicaSelector.Mechanisms(load, outliers, slowStart, retries, overload, promptCache);
        selector = new ReplicaSelector(settings, fleet, zones, affinityTable, zoneAffinity, mechanisms, random);
        recorder = new OutcomeRecorder(
                settings, fleet, zones, zoneAffinity, load, outliers, slowStart, overload, latencies);
        healthChecker = new HealthChecker(settings, fleet, outliers, actions, now);
        zoneFailover =
                new ZoneFailover(settings, fleet, zones, load, outliers, recorder, latencies, healthChecker, actions);
        endpointLists = new EndpointListHandler(
                settings, fleet, zones, zoneAffinity, load, outliers, slowStart, random, actions, now);
        adjustedAt = now;
        setTimer();
    }

    /** Advances the clock; a time that lies before the current one is ignored. */
    private void advanceClock(long time) {
        now = Math.max(now, time);
    }

    private void setTimer() {
        actions.setTimer(now + RoutingTick.PERIOD_MICROS, RoutingTick.TIMER_TOKEN);
    }

    // ---- Settings and endpoint lists --------------------------------------------------------------------
    @Override
    public void onSettings(long time, RoutingSettings newSettings) {
        advanceClock(time);
        settings.replace(newSettings);
        latencies.resize(newSettings.classes().size());
        admission.resize();
        fleet.growZones();
        zoneFailover.resize();
        endpointLists.rebuildFleet(now);
    }

    @Override
    public void onEndpoints(long time, EndpointListKind kind, List<Endpoint> endpoints) {
        advanceClock(time);
        endpointLists.handle(kind, endpoints, now);
    }

    @Override
    public void onEndpointListValidity(long time, long validUntil) {
        advanceClock(time);
        fleet.setValidUntil(validUntil);
    }

    /** Returns the number of known replicas, ready or not. */
    int knownReplicaCount() {
        return fleet.size();
    }

    // ---- Requests ---------------------------------------------------------------------------------------
    @Override
    public void onRequest(long time, RoutingRequest details) {
        advanceClock(time);
        if (requests.containsKey(details.id())) {
            return;
        }
        RequestInFlight request = new RequestInFlight(details, settings.get().limits(), now);
        requests.put(details.id(), request);
        traffic.recordRequest(now);
        retries.recordRequest();
        // An expired request is neither sent nor counted by admission control: it is no sign of overload.
        if (settings.get().hasClass(details.classIndex())
                && details.deadline() > now
                && admission.admit(details, now)) {
            int targetReplicaCount = affinity.resolve(request, now);
            sendOrFinish(request, selector.select(request, targetReplicaCount, now));
        } else {
            rejectOrFail(request);
        }
    }

    /** Sends an attempt to the selected replica, or gives the final answer if none was found. */
    private void sendOrFinish(RequestInFlight request, Replica replica) {
        if (replica != null) {
            send(request, replica);
        } else {
            rejectOrFail(request);
        }
    }

    private void send(RequestInFlight request, Replica replica) {
        long writeDeadline = retries.writeDeadline(request);
        Attempt attempt = new Attempt(replica, now);
        request.addAttempt(attempt);
        load.recordSent(attempt);
        traffic.recordAttempt(now);
        outliers.recordSent(attempt, now);
        slowStart.recordSent(replica);
        actions.sendAttempt(request.id(), replica.id(), 0, writeDeadline);
    }

    /** Gives the final answer if there is no further attempt: rejected if a retry is safe, otherwise failed. */
    private void rejectOrFail(RequestInFlight request) {
        if (retries.mayReject(request)) {
            actions.reject(request.id(), 0);
        } else {
            actions.fail(request.id());
        }
        finish(request);
    }

    /** Marks a request as finished; it is removed once its attempts have ended. */
    private void finish(RequestInFlight request) {
        request.markFinished();
        if (!request.hasOpenAttempts()) {
            requests.remove(request.id());
        }
    }

    /** Returns whether a request with this id is open, or is finished and still has open attempts. */
    public boolean isTracking(String id) {
        return requests.containsKey(id);
    }

    /** Returns whether a request may be rejected now, given the outcomes of its attempts so far. */
    public boolean mayReject(String id) {
        RequestInFlight request = requests.get(id);
        return request == null || retries.mayReject(request);
    }

    @Override
    public void onClientDisconnected(long time, String id) {
        advanceClock(time);
        RequestInFlight request = requests.get(id);
        if (request != null) {
            finish(request);
            cancelUnstarted(request);
        }
    }

    // ---- Attempts ---------------------------------------------------------------------------------------
    @Override
    public void onStreamStarted(long time, String id, int number, long took) {
        advanceClock(time);
        RequestInFlight request = requests.get(id);
        Attempt attempt = request == null ? null : request.findAttempt(number);
        if (attempt == null || request.isStreaming()) {
            return;
        }
        attempt.markStarted();
        request.markStreaming();
        recorder.recordFirstToken(request, attempt, took, now);
        cancelUnstarted(request);
    }

    private void cancelUnstarted(RequestInFlight request) {
        if (!request.limits().allowsCancellation()) {
            return;
        }
        for (int number = 0; number < request.attemptCount(); number++) {
            if (request.findAttempt(number).awaitsFirstToken()) {
                actions.cancelAttempt(request.id(), number);
            }
        }
    }

    @Override
    public void onAttemptEnded(
            long time,
            String id,
            int number,
            AttemptOutcome outcome,
            long took,
            boolean settled,
            long cachedTokens,
            LoadReport report) {
        advanceClock(time);
        RequestInFlight request = requests.get(id);
        Attempt attempt = request == null ? null : request.findAttempt(number);
        if (attempt == null || attempt.hasEnded()) {
            return;
        }
        release(request, attempt);
        if (!outcome.wasNeverExecuted()) {
            request.markPossiblyExecuted(attempt);
        }
        recorder.recordOutcome(request, attempt, outcome, took, now);
        recorder.recordLoadReport(attempt.replica(), report, now);
        if (outcome == AttemptOutcome.OK) {
            updateAffinity(request, attempt, cachedTokens);
        }
        if (settled || request.isFinished()) {
            finish(request);
        } else if (!request.hasOpenAttempts()) {
            boolean retry = retries.acquireRetry(request, attempt, outcome, took, now);
            sendOrFinish(request, retry ? selector.select(request, request.affinityReplicaCount(), now) : null);
        }
    }

    private void release(RequestInFlight request, Attempt attempt) {
        Replica replica = attempt.replica();
        request.endAttempt(attempt);
        load.recordEnded(attempt);
        outliers.recordEnded(attempt);
        if (settings.get().hasConnectionCosts() && load.inFlight(replica) == 0 && !fleet.getsRegularTraffic(replica)) {
            actions.closeIdleConnections(replica.id());
        }
    }

    private void updateAffinity(RequestInFlight request, Attempt attempt, long cachedTokens) {
        AffinityEntry entry = request.affinityEntry();
        Replica replica = attempt.replica();
        if (request.isServedOutsideAffinity() && entry != null && !entry.isSession() && replica.isReady()) {
            // The replica has the prefix's tokens cached now: it replaces the one at the back.
            entry.addFirst(replica, request.affinityReplicaCount());
        }
        promptCache.recordServed(request, attempt, cachedTokens, now);
    }

    @Override
    public void onHealthCheckEnded(long time, String id, AttemptOutcome outcome, long took, LoadReport report) {
        advanceClock(time);
        Replica replica = fleet.find(id);
        if (replica != null) {
            recorder.recordHealthCheck(replica, outcome, took, report, now);
        }
    }

    // ---- Time -------------------------------------------------------------------------------------------
    @Override
    public void onTimer(long time, long token) {
        advanceClock(time);
        if (token != RoutingTick.TIMER_TOKEN) {
            return;
        }
        setTimer();
        endpointLists.pollIfDue(now);
        slowStart.updateFleetCapacity(now);
        zoneFailover.tick(requests.values(), now);
        healthChecker.checkIdleReplica(now);
        if (now - adjustedAt >= ADJUSTMENT_PERIOD_MICROS) {
            adjustedAt = now;
            admission.adjust();
            zoneAffinity.adjust();
            overload.decay();
        }
    }

    @Override
    public void onPeerMessage(long time, int peer, byte[] payload) {
        advanceClock(time);
    }
}
