package magpiehub.dispatch;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import magpiehub.concurrent.Mailbox;
import magpiehub.routing.AttemptOutcome;
import magpiehub.routing.RoutingSettings;
import magpiehub.telemetry.EventLog;

/**
 * The requests that have no final answer yet, by id, and the ways to answer them. A request is removed from the table
 * before its client is called. Belongs to the dispatcher's thread.
 */
final class RequestTable {
    /**
     * The Retry-After of rejections for which the routing policy names no time (us). The policy's overload control
     * takes one step in this time, so before it nothing need have changed; with a shorter time clients came back into
     * the same overload.
     */
    private static final long DEFAULT_RETRY_AFTER_MICROS = 500_000;

    private final Map<String, OpenRequest> requests = new HashMap<>();
    private final Mailbox<DispatcherMessage> mailbox;
    private final EventLog eventLog;
    private int maxOpenRequests;
    private long defaultRetryAfterMicros;

    /** An empty table; the ends of cancelled attempts are posted to {@code mailbox}. */
    RequestTable(RoutingSettings settings, Mailbox<DispatcherMessage> mailbox, EventLog eventLog) {
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

    /** The default, within the site's limit; a limit of 0 is none. */
    private static long defaultRetryAfter(long maxRetryAfterMicros) {
        return maxRetryAfterMicros > 0
                ? Math.min(maxRetryAfterMicros, DEFAULT_RETRY_AFTER_MICROS)
                : DEFAULT_RETRY_AFTER_MICROS;
    }

    /** The Retry-After of a rejection where the policy names none; 0 where the site forbids the header. */
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

    /** The open request of an id, or null. */
    OpenRequest find(String requestId) {
        return requests.get(requestId);
    }

    void add(OpenRequest request) {
        requests.put(request.id(), request);
    }

    /** All open requests at this moment, as a copy. */
    List<OpenRequest> snapshot() {
        return List.copyOf(requests.values());
    }

    /** Cancels all attempts of a request and answers that it was rejected. */
    void reject(OpenRequest request, long retryAfterMicros) {
        cancelAttempts(request);
        close(request, RequestResult.REJECTED).reject(retryAfterMicros);
    }

    /** Cancels all attempts of a request and answers that it has failed. */
    void fail(OpenRequest request, String reason) {
        cancelAttempts(request);
        close(request, RequestResult.FAILED).fail(reason);
    }

    /** Removes a request that has its result. Returns its client, which may be owed one call. */
    ClientCallback close(OpenRequest request, RequestResult result) {
        ClientCallback client = request.client();
        request.markAnswered();
        requests.remove(request.id());
        eventLog.count(result.counterName());
        return client;
    }

    void cancelAttempts(OpenRequest request) {
        for (Attempt attempt : request.attempts()) {
            cancel(attempt);
        }
    }

    /**
     * Closes an attempt's connection unless the attempt is over. The routing policy learns of the end in a later turn:
     * it must not receive an event inside of an action of its own.
     */
    void cancel(Attempt attempt) {
        if (!attempt.isOver()) {
            attempt.abort();
            mailbox.post(DispatcherMessage.AttemptEnded.withoutReport(attempt, AttemptOutcome.CANCELLED));
        }
    }
}
