package magpiehub.dispatch;

import magpiehub.concurrent.Mailbox;
import magpiehub.routing.AttemptOutcome;
import magpiehub.routing.RoutingActions;
import magpiehub.telemetry.EventLog;

/**
 * Executes the routing policy's actions through the ports. An action on a request that is no longer open has no effect.
 * The policy receives no event while an action is executed: resulting events are posted to the mailbox. Confined to the
 * dispatcher's thread.
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
    public void sendAttempt(String requestId, String endpointId, long timeoutMicros, long writeDeadlineMicros) {
        OpenRequest request = requests.find(requestId);
        if (request == null || request.isAnswered()) {
            return;
        }
        // The request must never be in progress on two upstreams, regardless of the policy's decisions.
        requests.cancelAttempts(request);
        long deadlineMicros = attemptDeadlineMicros(request, timeoutMicros);
        Attempt attempt = request.addAttempt(endpointId, clock.nowMicros(), deadlineMicros, writeDeadlineMicros);
        if (request.client().isClientDisconnected()) {
            // The message is handled in a later turn, which also ends the attempt.
            mailbox.post(new DispatcherMessage.ClientDisconnected(requestId, request.client()));
            return;
        }
        eventLog.count("sent");
        if (attempt.number() > 0) {
            logRepeat(attempt);
        }
        timers.schedule(deadlineMicros, new TimerEvent.AttemptTimedOut(attempt));
        if (writeDeadlineMicros != NO_WRITE_DEADLINE) {
            timers.schedule(writeDeadlineMicros, new TimerEvent.WriteDeadlinePassed(attempt));
        }
        start(attempt);
    }

    private void logRepeat(Attempt attempt) {
        eventLog.log(
                "attempt-repeated",
                "id",
                attempt.requestId(),
                "engine",
                attempt.endpointId(),
                "attempt",
                Integer.toString(attempt.number()));
    }

    private long attemptDeadlineMicros(OpenRequest request, long timeoutMicros) {
        if (timeoutMicros == 0) {
            return request.deadlineMicros();
        }
        return Math.min(request.deadlineMicros(), clock.nowMicros() + Math.max(0, timeoutMicros));
    }

    /**
     * Passes an attempt to its upstream. An exception there counts as a connect failure of the attempt and does not end
     * the request.
     *
     * <p>OutOfMemoryError is caught too: the request and its timers were complete before the call, and later reports
     * about the attempt are ignored once it is marked as over. Work that the upstream side had started before the
     * failure is not undone; without a handle it cannot be cancelled.
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
            requests.reject(
                    request, retryAfterMicros > 0 ? retryAfterMicros : requests.defaultRetryAfterMicros(), "routing");
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
        fleet.sendHealthCheck(endpointId);
    }

    @Override
    public void closeIdleConnections(String endpointId) {
        fleet.closeIdleConnections(endpointId);
    }

    /** Not supported: messages between routers are not sent. The counter shows that the policy tried to send one. */
    @Override
    public void sendToPeer(int peer, byte[] payload) {
        eventLog.count("peer_messages_not_sent");
    }

    @Override
    public void log(String text) {
        eventLog.log("module", "text", text);
    }
}
