package magpiehub.dispatch;

import magpiehub.concurrent.Mailbox;
import magpiehub.routing.AttemptOutcome;
import magpiehub.routing.RoutingActions;
import magpiehub.telemetry.EventLog;

/**
 * Carries out what the routing policy decides, through the ports. An action on a request that is no longer open has no
 * effect. No event reaches the policy inside of an action: what follows from one is posted to the mailbox. Belongs to
 * the dispatcher's thread.
 */
final class RoutingActionExecutor implements RoutingActions {
    private final RequestTable requests;
    private final TimerQueue<TimerEvent> timers;
    private final TurnClock clock;
    private final Mailbox<DispatcherMessage> mailbox;
    private final UpstreamFleet fleet;
    private final EndpointListSource endpointSource;
    private final EndpointWatch watch;
    private final EventLog eventLog;

    RoutingActionExecutor(
            RequestTable requests,
            TimerQueue<TimerEvent> timers,
            TurnClock clock,
            Mailbox<DispatcherMessage> mailbox,
            UpstreamFleet fleet,
            EndpointListSource endpointSource,
            EndpointWatch watch,
            EventLog eventLog) {
        this.requests = requests;
        this.timers = timers;
        this.clock = clock;
        this.mailbox = mailbox;
        this.fleet = fleet;
        this.endpointSource = endpointSource;
        this.watch = watch;
        this.eventLog = eventLog;
    }

    @Override
    public void sendAttempt(String requestId, String endpointId, long timeoutMicros) {
        OpenRequest request = requests.find(requestId);
        if (request == null || request.isAnswered()) {
            return;
        }
        // The request must never be in progress on two upstreams, whatever the policy decides.
        requests.cancelAttempts(request);
        long deadlineMicros = attemptDeadlineMicros(request, timeoutMicros);
        Attempt attempt = request.addAttempt(endpointId, clock.nowMicros(), deadlineMicros);
        if (request.client().isClientGone()) {
            // Handled in a later turn, which ends the attempt too.
            mailbox.post(new DispatcherMessage.ClientGone(requestId));
            return;
        }
        eventLog.count("sent");
        timers.schedule(deadlineMicros, new TimerEvent.AttemptTimedOut(attempt));
        start(attempt);
    }

    private long attemptDeadlineMicros(OpenRequest request, long timeoutMicros) {
        if (timeoutMicros == 0) {
            return request.deadlineMicros();
        }
        return Math.min(request.deadlineMicros(), clock.nowMicros() + Math.max(0, timeoutMicros));
    }

    /**
     * Hands an attempt to its upstream. A fault there is an attempt that never ran, not the end of the request.
     *
     * <p>An OutOfMemoryError is caught too: the request and its timers were complete before the call, and what the
     * upstream side still reports of the attempt is ignored once it is marked as over. Not undone is what the upstream
     * side had done before it failed; without a handle it can't be told to stop.
     */
    private void start(Attempt attempt) {
        try {
            attempt.attach(fleet.startAttempt(attempt));
        } catch (RuntimeException | OutOfMemoryError e) {
            eventLog.count("module_exceptions");
            eventLog.log("module-exception", "error", e.toString(), "engine", attempt.endpointId());
            mailbox.post(DispatcherMessage.AttemptEnded.withoutReport(attempt, AttemptOutcome.CONNECT_FAILED));
        }
    }

    @Override
    public void cancelAttempt(String requestId, int attemptNumber) {
        OpenRequest request = requests.find(requestId);
        if (request == null
                || attemptNumber < 0
                || attemptNumber >= request.attempts().size()) {
            return;
        }
        Attempt attempt = request.attempts().get(attemptNumber);
        if (request.streaming() != attempt) {
            requests.cancel(attempt);
        }
    }

    @Override
    public void reject(String requestId, long retryAfterMicros) {
        OpenRequest request = requests.find(requestId);
        if (request != null && !request.isStreaming()) {
            requests.reject(request, retryAfterMicros > 0 ? retryAfterMicros : requests.defaultRetryAfterMicros());
        }
    }

    @Override
    public void fail(String requestId) {
        OpenRequest request = requests.find(requestId);
        if (request != null && !request.isStreaming()) {
            requests.fail(request, "given up");
        }
    }

    @Override
    public void migrateStream(String requestId) {
        OpenRequest request = requests.find(requestId);
        if (request == null || !request.isStreaming()) {
            return;
        }
        Attempt attempt = request.streaming();
        attempt.abort();
        requests.close(request, RequestResult.MIGRATED).migrate();
        mailbox.post(DispatcherMessage.AttemptEnded.withoutReport(attempt, AttemptOutcome.CANCELLED));
    }

    @Override
    public void watchEndpoints() {
        watch.open();
    }

    @Override
    public void unwatchEndpoints() {
        watch.close();
    }

    @Override
    public void fetchEndpoints() {
        endpointSource.fetch();
    }

    @Override
    public void setTimer(long dueMicros, long token) {
        timers.schedule(dueMicros, new TimerEvent.PolicyTimerDue(token));
    }

    @Override
    public void sendHealthCheck(String endpointId) {
        eventLog.count("probes");
        fleet.probe(endpointId);
    }

    @Override
    public void closeIdleConnections(String endpointId) {
        fleet.closeIdleConnections(endpointId);
    }

    /** Messages between routers are not carried; the counter shows that the policy tried to send one. */
    @Override
    public void sendToPeer(int peer, byte[] payload) {
        eventLog.count("peer_messages_not_sent");
    }

    @Override
    public void log(String text) {
        eventLog.log("module", "text", text);
    }
}
