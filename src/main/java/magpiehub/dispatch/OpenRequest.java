package magpiehub.dispatch;

import java.util.ArrayList;
import java.util.List;
import magpiehub.routing.RoutingRequest;

/**
 * An admitted request and its attempts, until it has its final answer. Confined to the dispatcher's thread, except for
 * {@link #client} and {@link #payload}, which the upstream side reads through {@link Attempt#payload}.
 */
final class OpenRequest {
    /** The initial capacity: most requests need one attempt, some a second. */
    private static final int EXPECTED_ATTEMPTS = 2;

    private final RoutingRequest request;
    private final List<Attempt> attempts = new ArrayList<>(EXPECTED_ATTEMPTS);
    private ClientCallback client;
    private volatile Object payload;
    private Attempt streaming;
    private boolean answered;

    OpenRequest(RoutingRequest request, ClientCallback client, Object payload) {
        this.request = request;
        this.client = client;
        this.payload = payload;
    }

    String id() {
        return request.id();
    }

    long deadlineMicros() {
        return request.deadline();
    }

    /** The client; null once the request has its final answer. */
    ClientCallback client() {
        return client;
    }

    /** The payload submitted with the request; null once the request has its final answer. */
    Object payload() {
        return payload;
    }

    /** All attempts so far, in the order of their numbers. */
    List<Attempt> attempts() {
        return attempts;
    }

    /**
     * Adds the next attempt, which times out at {@code deadlineMicros} and must not be written from {@code
     * writeDeadlineMicros} on.
     */
    Attempt addAttempt(String endpointId, long nowMicros, long deadlineMicros, long writeDeadlineMicros) {
        Attempt attempt =
                new Attempt(this, attempts.size(), endpointId, nowMicros, deadlineMicros, writeDeadlineMicros);
        attempts.add(attempt);
        return attempt;
    }

    /** The attempt whose response stream is forwarded to the client; null if no stream has started. */
    Attempt streaming() {
        return streaming;
    }

    boolean isStreaming() {
        return streaming != null;
    }

    void markStreaming(Attempt attempt) {
        streaming = attempt;
    }

    boolean isAnswered() {
        return answered;
    }

    /**
     * Marks the request as answered and drops the client and the payload, because a timer keeps this object reachable
     * until the deadline.
     */
    void markAnswered() {
        answered = true;
        payload = null;
        client = null;
    }
}
