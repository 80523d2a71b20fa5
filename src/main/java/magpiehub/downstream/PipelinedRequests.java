package magpiehub.downstream;

import java.util.ArrayDeque;

/**
 * The requests that a client has pipelined, that is, sent before the response to an earlier one, and what these and the
 * started request have reserved of the {@link RequestBodyBudget}. Used by the connection's actor only.
 */
final class PipelinedRequests {
    static final int MAX_WAITING = 4;
    private static final int INITIAL_CAPACITY = 2;

    private final RequestBodyBudget bodyBudget;
    private final ArrayDeque<ClientMessage.RequestReceived> waiting = new ArrayDeque<>(INITIAL_CAPACITY);
    /** The bytes reserved for the started request. */
    private int startedBytes;

    PipelinedRequests(RequestBodyBudget bodyBudget) {
        this.bodyBudget = bodyBudget;
    }

    /** Queues a request; returns false if too many are waiting already. */
    boolean offer(ClientMessage.RequestReceived request) {
        return waiting.size() < MAX_WAITING && waiting.add(request);
    }

    /** Whether no request is waiting. */
    boolean isEmpty() {
        return waiting.isEmpty();
    }

    /** Removes and returns the first waiting request; null if there is none. */
    ClientMessage.RequestReceived poll() {
        return waiting.poll();
    }

    /** Marks a request as started; its reservation is kept until {@link #finishStarted}. */
    void start(ClientMessage.RequestReceived request) {
        startedBytes = request.reservedBytes();
    }

    /** Releases the started request's reservation. */
    void finishStarted() {
        bodyBudget.release(startedBytes);
        startedBytes = 0;
    }

    /** Releases the reservation of a request that was neither queued nor started. */
    void drop(ClientMessage.RequestReceived request) {
        bodyBudget.release(request.reservedBytes());
    }

    /** Releases all reservations. Called once, when the connection is closed. */
    void releaseAll() {
        bodyBudget.release(startedBytes);
        for (ClientMessage.RequestReceived request : waiting) {
            bodyBudget.release(request.reservedBytes());
        }
    }
}
