package magpiehub.routing;

/**
 * The actions that the routing policy requests from its host. They are called on the policy's thread while it handles
 * an event; the host must not call the policy from them. Times are in microseconds of the host's clock.
 */
public interface RoutingActions {
    /** The write deadline of an attempt that may be written at any time. */
    long NO_WRITE_DEADLINE = Long.MAX_VALUE;

    /**
     * Starts the next attempt of a request. With a timeout of 0, the attempt may last until the request's deadline.
     *
     * @param writeDeadline the time before which the request must be written completely, or else not at all: later, the
     *     replica might execute it although another one has; or {@link #NO_WRITE_DEADLINE}
     */
    void sendAttempt(String id, String replica, long timeout, long writeDeadline);

    /** Cancels an attempt, counted from 0. Its outcome is still reported. */
    void cancelAttempt(String id, int attempt);

    /** Final answer: rejected; a retry by the client is safe. {@code retryAfter} is 0 if no time is given. */
    void reject(String id, long retryAfter);

    /** Final answer: failed; the request may have been executed. */
    void fail(String id);

    /** Opens a watch on the endpoint list. */
    void watchEndpoints();

    /** Requests a call of {@link RoutingEvents#onTimer} with the token at the given time. */
    void setTimer(long at, long token);

    /** Sends a health check to a replica. */
    void sendHealthCheck(String replica);

    /** Ends a running stream gracefully, so that its client resumes it elsewhere. */
    void migrateStream(String id);

    /** Requests the complete endpoint list once. */
    void fetchEndpoints();

    /** Closes the watch on the endpoint list. */
    void unwatchEndpoints();

    /** Closes the idle connections to a replica. */
    void closeIdleConnections(String replica);

    /** Sends at most 256 bytes to one peer, or to all peers if {@code peer} is negative. */
    void sendToPeer(int peer, byte[] payload);

    /** Writes a line to the operators' log. */
    void log(String text);
}
