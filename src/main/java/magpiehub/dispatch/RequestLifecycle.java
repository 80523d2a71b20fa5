package magpiehub.dispatch;

import java.util.Locale;
import magpiehub.routing.AttemptOutcome;
import magpiehub.routing.LoadReport;
import magpiehub.routing.RoutingPolicy;
import magpiehub.routing.RoutingRequest;
import magpiehub.telemetry.EventLog;

/**
 * The lifecycle of requests from submission to the final answer: translates reports from clients, upstreams and timers
 * into events for the routing policy. Two things are done without consulting the policy, as they require no decision:
 * answering a request that the policy has left open past its deadline, and cancelling the attempts of a disconnected
 * client. Confined to the dispatcher's thread.
 */
final class RequestLifecycle {
    /**
     * The delay after the deadline at which an open request is answered if the policy has not done so. It lies within
     * the slack that the platform allows after the deadline.
     */
    private static final long OVERDUE_DELAY_MICROS = 4_000;

    private final RequestTable requests;
    private final TimerQueue<TimerEvent> timers;
    private final TurnClock clock;
    private final RoutingPolicy policy;
    private final EventLog eventLog;
    private boolean shuttingDown;
    private boolean rejectsUnresumable;

    RequestLifecycle(
            RequestTable requests,
            TimerQueue<TimerEvent> timers,
            TurnClock clock,
            RoutingPolicy policy,
            EventLog eventLog) {
        this.requests = requests;
        this.timers = timers;
        this.clock = clock;
        this.policy = policy;
        this.eventLog = eventLog;
    }

    /** Rejects all further requests: the process may exit before requests sent this late are answered. */
    void rejectNewRequests() {
        shuttingDown = true;
    }

    /** Rejects all further requests whose streams can't be resumed elsewhere. */
    void rejectUnresumableRequests() {
        rejectsUnresumable = true;
    }

    /** Admits a request and passes it to the policy, or answers it immediately. */
    void submit(RoutingRequest request, ClientCallback client, Object payload) {
        if (client.isClientDisconnected()) {
            eventLog.count("taken");
            eventLog.count(RequestResult.ABANDONED.counterName());
            return;
        }
        if (requests.contains(request.id()) || policy.isTracking(request.id())) {
            // The id belongs to another request, whose client and attempts must not be confused with this one's.
            failForIdInUse(request, client);
            return;
        }
        if (requests.isFull() || shuttingDown || (rejectsUnresumable && !client.resumesStream())) {
            eventLog.count(RequestResult.REJECTED.counterName());
            eventLog.log("request-refused", "id", request.id(), "why", rejectionReason(), "attempts", "0");
            client.reject(requests.defaultRetryAfterMicros());
            return;
        }
        if (!requests.tryClaim(request.id())) {
            failForIdInUse(request, client);
            return;
        }
        OpenRequest openRequest = new OpenRequest(request, client, payload);
        requests.add(openRequest);
        eventLog.count("taken");
        timers.schedule(request.deadline() + OVERDUE_DELAY_MICROS, new TimerEvent.RequestOverdue(openRequest));
        policy.onRequest(clock.nowMicros(), request);
    }

    private void failForIdInUse(RoutingRequest request, ClientCallback client) {
        eventLog.count(RequestResult.FAILED.counterName());
        eventLog.count("ids_in_use");
        eventLog.log("request-failed", "id", request.id(), "why", "id in use", "attempts", "0");
        client.fail("id in use");
    }

    private String rejectionReason() {
        return requests.isFull() ? "too many requests" : "stopping";
    }

    /** Starts forwarding the response stream to the client, unless the request or the attempt is over. */
    void streamStarted(Attempt attempt) {
        OpenRequest request = attempt.request();
        if (attempt.isOver() || request.isAnswered()) {
            return;
        }
        request.markStreaming(attempt);
        attempt.startForwarding();
        long nowMicros = clock.nowMicros();
        policy.onStreamStarted(nowMicros, request.id(), attempt.number(), attempt.elapsedMicros(nowMicros));
    }

    /** Reports the end of an attempt to the policy, which may start another. Ignored if the attempt is already over. */
    void attemptEnded(Attempt attempt, AttemptOutcome outcome, long cachedTokens, LoadReport load) {
        if (attempt.isOver()) {
            return;
        }
        attempt.markOver();
        OpenRequest request = attempt.request();
        if (!request.isStreaming() && !request.isAnswered() && request.client().isClientDisconnected()) {
            // The ClientDisconnected message is still queued; handle it first, so that the policy does not retry.
            closeForDisconnectedClient(request);
        }
        boolean settled = request.isAnswered() || request.streaming() == attempt || outcome == AttemptOutcome.OK;
        countOutcome(outcome);
        if (settled && !request.isAnswered()) {
            requests.close(request, resultOf(outcome));
        }
        long nowMicros = clock.nowMicros();
        policy.onAttemptEnded(
                nowMicros,
                request.id(),
                attempt.number(),
                outcome,
                attempt.elapsedMicros(nowMicros),
                settled,
                cachedTokens,
                load);
    }

    private void countOutcome(AttemptOutcome outcome) {
        eventLog.count("attempt_" + outcome.name().toLowerCase(Locale.ROOT));
        if (outcome == AttemptOutcome.MOOT) {
            // Both the connection and the timer may have noticed; the attempt ends once.
            eventLog.count("repeats_too_late");
        }
    }

    /** The result of a request whose last attempt ended with {@code outcome}. */
    private static RequestResult resultOf(AttemptOutcome outcome) {
        return switch (outcome) {
            case OK -> RequestResult.SERVED;
            case CANCELLED -> RequestResult.ABANDONED;
            default -> RequestResult.BROKEN;
        };
    }

    /** Closes the request of a disconnected client, unless the open request with this id is another client's. */
    void clientDisconnected(String requestId, ClientCallback client) {
        OpenRequest request = requests.find(requestId);
        if (request != null && request.client() == client) {
            closeForDisconnectedClient(request);
        }
    }

    /** Closes an open request and cancels its attempts, so that upstreams do no useless work. */
    private void closeForDisconnectedClient(OpenRequest request) {
        requests.close(request, RequestResult.ABANDONED);
        policy.onClientDisconnected(clock.nowMicros(), request.id());
        for (Attempt attempt : request.attempts()) {
            if (!attempt.isOver()) {
                abortAndReport(attempt, AttemptOutcome.CANCELLED);
            }
        }
    }

    /** Ends an attempt whose response stream has not started in time. */
    void attemptTimedOut(Attempt attempt) {
        if (!attempt.isOver() && attempt.request().streaming() != attempt) {
            abortAndReport(attempt, AttemptOutcome.TIMEOUT);
        }
    }

    /** Ends an attempt whose request has not been written in time. */
    void writeDeadlinePassed(Attempt attempt) {
        if (!attempt.isOver() && !attempt.isWritten()) {
            abortAndReport(attempt, AttemptOutcome.MOOT);
        }
    }

    private void abortAndReport(Attempt attempt, AttemptOutcome outcome) {
        attempt.abort();
        attemptEnded(attempt, outcome, RequestDispatcher.CACHED_TOKENS_UNKNOWN, null);
    }

    /** Answers a request that the policy has neither forwarded nor answered, for instance because it threw. */
    void requestOverdue(OpenRequest request) {
        if (request.isAnswered() || request.isStreaming()) {
            return;
        }
        eventLog.count("answered_by_backstop");
        requests.fail(request, "deadline");
        policy.onClientDisconnected(clock.nowMicros(), request.id());
    }

    /**
     * Answers a request whose response stream has not started, because of a shutdown. If an upstream may have started
     * processing it and a retry is not safe, it fails; otherwise it is rejected and may be retried.
     */
    void answerForShutdown(OpenRequest request) {
        if (policy.mayReject(request.id())) {
            requests.reject(request, requests.defaultRetryAfterMicros(), "stopping");
        } else {
            requests.fail(request, "stopping");
        }
        policy.onClientDisconnected(clock.nowMicros(), request.id());
    }
}
