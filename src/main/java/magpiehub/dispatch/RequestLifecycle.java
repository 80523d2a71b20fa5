package magpiehub.dispatch;

import java.util.Locale;
import magpiehub.routing.AttemptOutcome;
import magpiehub.routing.LoadReport;
import magpiehub.routing.RoutingPolicy;
import magpiehub.routing.RoutingRequest;
import magpiehub.telemetry.EventLog;

/**
 * The life of a request, from its submission to its final answer: turns what clients, upstreams and timers report into
 * events of the routing policy. Two things are done here without asking the policy, since no decision is in them: a
 * request that the policy has let run past its deadline is answered, and the attempts of a client that has gone are
 * ended. Belongs to the dispatcher's thread.
 */
final class RequestLifecycle {
    /**
     * How long after its deadline a request is answered here if the policy has not done so (us). Within the slack that
     * the platform grants after the deadline.
     */
    private static final long OVERDUE_AFTER_MICROS = 4_000;

    private final RequestTable requests;
    private final TimerQueue<TimerEvent> timers;
    private final TurnClock clock;
    private final RoutingPolicy policy;
    private final EventLog eventLog;
    private boolean shuttingDown;

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

    /** Rejects all requests from now on: what is forwarded this late would be lost with the process. */
    void rejectNewRequests() {
        shuttingDown = true;
    }

    /** Opens a request and asks the policy where it goes, or answers it at once. */
    void submit(RoutingRequest request, ClientCallback client, Object payload) {
        if (client.isClientGone()) {
            eventLog.count("taken");
            eventLog.count(RequestResult.ABANDONED.counterName());
            return;
        }
        if (requests.contains(request.id())) {
            // Somebody else's open request: neither its client nor its upstream may be mixed up with this one.
            eventLog.count(RequestResult.FAILED.counterName());
            eventLog.count("ids_in_use");
            client.fail("id in use");
            return;
        }
        if (requests.isFull() || shuttingDown) {
            eventLog.count(RequestResult.REJECTED.counterName());
            client.reject(requests.defaultRetryAfterMicros());
            return;
        }
        OpenRequest openRequest = new OpenRequest(request, client, payload);
        requests.add(openRequest);
        eventLog.count("taken");
        timers.schedule(request.deadline() + OVERDUE_AFTER_MICROS, new TimerEvent.RequestOverdue(openRequest));
        policy.onRequest(clock.nowMicros(), request);
    }

    /** Gives the stream that has started to the client, unless the request or the attempt is over. */
    void streamStarted(Attempt attempt) {
        OpenRequest request = attempt.request();
        if (attempt.isOver() || request.isAnswered()) {
            return;
        }
        request.markStreaming(attempt);
        attempt.grant();
        long nowMicros = clock.nowMicros();
        policy.onStreamStarted(nowMicros, request.id(), attempt.number(), attempt.elapsedMicros(nowMicros));
    }

    /** Reports the end of an attempt to the policy, which may send another; ignored if the attempt is over. */
    void attemptEnded(Attempt attempt, AttemptOutcome outcome, long cachedTokens, LoadReport load) {
        if (attempt.isOver()) {
            return;
        }
        attempt.markOver();
        OpenRequest request = attempt.request();
        if (!request.isStreaming() && !request.isAnswered() && request.client().isClientGone()) {
            // The message that says so is still in the mailbox; no retry is considered before it.
            clientGone(request.id());
        }
        boolean settled = request.isAnswered() || request.streaming() == attempt || outcome == AttemptOutcome.OK;
        eventLog.count("attempt_" + outcome.name().toLowerCase(Locale.ROOT));
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

    /** The result of a request whose last attempt has ended. */
    private static RequestResult resultOf(AttemptOutcome outcome) {
        return switch (outcome) {
            case OK -> RequestResult.SERVED;
            case CANCELLED -> RequestResult.ABANDONED;
            default -> RequestResult.BROKEN;
        };
    }

    /** Closes a request whose client has gone, and its attempts: no upstream is to work for nobody. */
    void clientGone(String requestId) {
        OpenRequest request = requests.find(requestId);
        if (request == null || request.isAnswered()) {
            return;
        }
        requests.close(request, RequestResult.ABANDONED);
        policy.onClientDisconnected(clock.nowMicros(), requestId);
        for (Attempt attempt : request.attempts()) {
            if (!attempt.isOver()) {
                abortAndReport(attempt, AttemptOutcome.CANCELLED);
            }
        }
    }

    /** Ends an attempt whose stream has not started in time. */
    void attemptTimedOut(Attempt attempt) {
        if (!attempt.isOver() && attempt.request().streaming() != attempt) {
            abortAndReport(attempt, AttemptOutcome.TIMEOUT);
        }
    }

    private void abortAndReport(Attempt attempt, AttemptOutcome outcome) {
        attempt.abort();
        attemptEnded(attempt, outcome, RequestDispatcher.CACHED_TOKENS_UNKNOWN, null);
    }

    /** Answers a request that the policy neither forwards nor answers, or for which it failed with an exception. */
    void requestOverdue(OpenRequest request) {
        if (request.isAnswered() || request.isStreaming()) {
            return;
        }
        eventLog.count("answered_by_backstop");
        requests.fail(request, "deadline");
        policy.onClientDisconnected(clock.nowMicros(), request.id());
    }

    /**
     * Answers a request whose stream has not started, since the process ends. Where an upstream may have begun to work
     * on it and a repetition is not safe, it has failed; else it is rejected and may be retried.
     */
    void answerForShutdown(OpenRequest request) {
        if (policy.mayReject(request.id())) {
            requests.reject(request, requests.defaultRetryAfterMicros());
        } else {
            requests.fail(request, "stopping");
        }
        policy.onClientDisconnected(clock.nowMicros(), request.id());
    }
}
