package magpiehub.dispatch;

import java.util.ArrayList;
import java.util.List;
import magpiehub.routing.RoutingRequest;

/**
 * A request that was admitted, with its attempts, until it has its final answer. Belongs to the dispatcher's thread,
 * but for {@link #client} and {@link #payload}, which the upstream side reads through {@link Attempt#payload}.
 */
final class OpenRequest {
    /** Most requests need one attempt, some a second. */
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

    /** What was submitted with the request; null once the request has its final answer. */
    Object payload() {
        return payload;
    }

    /** All attempts so far, by number. */
    List<Attempt> attempts() {
        return attempts;
    }

    /** Creates the next attempt; {@code deadlineMicros} is when it times out. */
    Attempt addAttempt(String endpointId, long nowMicros, long deadlineMicros) {
        Attempt attempt = new Attempt(this, attempts.size(), endpointId, nowMicros, deadlineMicros);
        attempts.add(attempt);
        return attempt;
    }

    /** The attempt whose response stream the client receives; null while no stream has started. */
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
     * Marks the request as answered and releases client and payload, since a timer keeps the rest of this object
     * reachable until the deadline.
     */
    void markAnswered() {
        answered = true;
        payload = null;
        client = null;
    }
}
