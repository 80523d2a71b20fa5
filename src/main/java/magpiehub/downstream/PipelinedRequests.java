package magpiehub.downstream;

import java.util.ArrayDeque;

/**
 * The requests that a client has sent ahead of their answers, and what the started one and these have reserved of the
 * {@link RequestBodyBudget}. For the connection's actor.
 */
final class PipelinedRequests {
    static final int MAX_WAITING = 4;
    private static final int INITIAL_CAPACITY = 2;

    private final RequestBodyBudget bodyBudget;
    private final ArrayDeque<ClientMessage.RequestReceived> waiting = new ArrayDeque<>(INITIAL_CAPACITY);
    /** What the started request has reserved. */
    private int startedBytes;

    PipelinedRequests(RequestBodyBudget bodyBudget) {
        this.bodyBudget = bodyBudget;
    }

    /** Adds a request behind those that wait; false if too many do. */
    boolean offer(ClientMessage.RequestReceived request) {
        return waiting.size() < MAX_WAITING && waiting.add(request);
    }

    /** Whether none waits. */
    boolean isEmpty() {
        return waiting.isEmpty();
    }

    /** Removes and returns the request that has waited longest, or null. */
    ClientMessage.RequestReceived poll() {
        return waiting.poll();
    }

    /** A request begins to be processed; its reservation is kept until {@link #finishStarted}. */
    void start(ClientMessage.RequestReceived request) {
        startedBytes = request.reservedBytes();
    }

    /** Releases the started request's reservation. */
    void finishStarted() {
        bodyBudget.release(startedBytes);
        startedBytes = 0;
    }

    /** Releases the reservation of a request that is neither offered nor started. */
    void drop(ClientMessage.RequestReceived request) {
        bodyBudget.release(request.reservedBytes());
    }

    /** Releases all reservations; to be called once, when the connection is closed. */
    void releaseAll() {
        bodyBudget.release(startedBytes);
        for (ClientMessage.RequestReceived request : waiting) {
            bodyBudget.release(request.reservedBytes());
        }
    }
}
