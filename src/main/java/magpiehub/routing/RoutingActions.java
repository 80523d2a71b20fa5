package magpiehub.routing;

/**
 * What the routing policy asks of its host. Calls come on the policy's thread, within an event; the host must not
 * call back into the policy from them. Times are in microseconds of the host's clock.
 */
public interface RoutingActions {
    /** Starts the next attempt of a request. A timeout of 0 lasts until the request's deadline. */
    void sendAttempt(String id, String replica, long timeout);

    /** Cancels an attempt, counted from 0. Its outcome is still reported. */
    void cancelAttempt(String id, int attempt);

    /** Final answer: rejected; a retry by the client is harmless. 0 names no time to come back. */
    void reject(String id, long retryAfter);

    /** Final answer: failed; the request may have been executed. */
    void fail(String id);

    /** Opens a watch on the endpoint list. */
    void watchEndpoints();

    /** Asks for {@link RoutingEvents#onTimer} with this token at a time. */
    void setTimer(long at, long token);

    /** Sends a health check to a replica. */
    void sendHealthCheck(String replica);

    /** Ends a running stream in order, so that its client resumes it elsewhere. */
    void migrateStream(String id);

    /** Asks for the complete endpoint list once. */
    void fetchEndpoints();

    /** Closes the watch on the endpoint list. */
    void unwatchEndpoints();

    /** Closes the idle connections to a replica. */
    void closeIdleConnections(String replica);

    /** Sends at most 256 bytes to one peer, or to all if {@code peer} is negative. */
    void sendToPeer(int peer, byte[] payload);

    /** Logs a line for operators. */
    void log(String text);
}
