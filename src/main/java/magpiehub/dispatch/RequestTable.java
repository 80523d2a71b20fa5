package magpiehub.dispatch;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import magpiehub.concurrent.Mailbox;
import magpiehub.routing.AttemptOutcome;
import magpiehub.routing.RoutingSettings;
import magpiehub.telemetry.EventLog;

/**
 * The requests without a final answer, by id, and the operations that answer them. A request is removed from the table
 * before its client is called. Confined to the dispatcher's thread.
 */
final class RequestTable {
    /**
     * The Retry-After of rejections for which the routing policy specifies none. It equals one adjustment period of
     * the policy's overload control; with a shorter delay, clients retried into the same overload.
     */
    private static final long DEFAULT_RETRY_AFTER_MICROS = 500_000;

    private final Map<String, OpenRequest> requests = new HashMap<>();
    private final Mailbox<DispatcherMessage> mailbox;
    private final EventLog eventLog;
    private RequestClaims claims;
    private int maxOpenRequests;
    private long defaultRetryAfterMicros;

    /** Creates an empty table that posts the ends of cancelled attempts to {@code mailbox}. */
    RequestTable(
            RoutingSettings settings, Mailbox<DispatcherMessage> mailbox, EventLog eventLog, RequestClaims claims) {
        this.claims = claims;
        this.mailbox = mailbox;
        this.eventLog = eventLog;
        updateSettings(settings);
    }

    void updateSettings(RoutingSettings settings) {
        maxOpenRequests = settings.limits().maxInFlight();
        defaultRetryAfterMicros = settings.limits().sendsRetryAfter()
                ? defaultRetryAfter(settings.limits().maxRetryAfter())
                : 0;
    }

    /** The default Retry-After, capped by the site's limit; a limit of 0 means no cap. */
    private static long defaultRetryAfter(long maxRetryAfterMicros) {
        return maxRetryAfterMicros > 0
                ? Math.min(maxRetryAfterMicros, DEFAULT_RETRY_AFTER_MICROS)
                : DEFAULT_RETRY_AFTER_MICROS;
    }

    /** The Retry-After of a rejection for which the policy specifies none; 0 if the site disables the header. */
    long defaultRetryAfterMicros() {
        return defaultRetryAfterMicros;
    }

    int size() {
        return requests.size();
    }

    boolean isFull() {
        return requests.size() >= maxOpenRequests;
    }

    boolean contains(String requestId) {
        return requests.containsKey(requestId);
    }

    /** The open request with this id, or null. */
    OpenRequest find(String requestId) {
        return requests.get(requestId);
    }

    /** Replaces the claims; called before the first request. */
    void useClaims(RequestClaims newClaims) {
        claims = newClaims;
    }

    /** Claims the id of a request for {@link #add}; returns false if another request has claimed it. */
    boolean tryClaim(String requestId) {
        return claims.tryClaim(requestId);
    }

    void add(OpenRequest request) {
        requests.put(request.id(), request);
    }

    /** A copy of the list of all open requests. */
    List<OpenRequest> snapshot() {
        return List.copyOf(requests.values());
    }

    /** Cancels all attempts of a request and rejects it; {@code reason} is logged. */
    void reject(OpenRequest request, long retryAfterMicros, String reason) {
        cancelAttempts(request);
        logAnswer("request-refused", request, reason);
        close(request, RequestResult.REJECTED).reject(retryAfterMicros);
    }

    /** Cancels all attempts of a request and answers that it failed. */
    void fail(OpenRequest request, String reason) {
        cancelAttempts(request);
        logAnswer("request-failed", request, reason);
        close(request, RequestResult.FAILED).fail(reason);
    }

    private void logAnswer(String event, OpenRequest request, String reason) {
        eventLog.log(
                event,
                "id",
                request.id(),
                "why",
                reason,
                "attempts",
                Integer.toString(request.attempts().size()));
    }

    /** Removes a request and counts its result. Returns its client, which the caller may still have to answer. */
    ClientCallback close(OpenRequest request, RequestResult result) {
        ClientCallback client = request.client();
        request.markAnswered();
        requests.remove(request.id());
        if (result != RequestResult.ABANDONED || !mayHaveRun(request)) {
            claims.release(request.id());
        }
        eventLog.count(result.counterName());
        return client;
    }

    private static boolean mayHaveRun(OpenRequest request) {
        return request.attempts().stream().anyMatch(Attempt::isWritten);
    }

    void cancelAttempts(OpenRequest request) {
        for (Attempt attempt : request.attempts()) {
            cancel(attempt);
        }
    }

    /**
     * Closes an attempt's connection unless the attempt is over. The routing policy is notified in a later turn,
     * because it must not receive events while one of its actions is executed.
     */
    void cancel(Attempt attempt) {
        if (!attempt.isOver()) {
            attempt.abort();
            mailbox.post(DispatcherMessage.AttemptEnded.withoutReport(attempt, AttemptOutcome.CANCELLED));
        }
    }
}
