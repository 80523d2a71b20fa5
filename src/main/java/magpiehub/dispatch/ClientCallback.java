package magpiehub.dispatch;

/**
 * The client of one request, as the dispatcher sees it. At most one of {@link #reject}, {@link #fail} and
 * {@link #migrate} is called, once and on the dispatcher's thread, and must not block it.
 */
public interface ClientCallback {
    /**
     * Answers that the request was rejected and has had no effect, so that a retry is safe.
     *
     * @param retryAfterMicros when the client should retry, from now; 0 if no time is to be named
     */
    void reject(long retryAfterMicros);

    /** Answers that the request has failed; whether it had effects is unknown. */
    void fail(String reason);

    /** Ends a response stream in progress in such a way that the client requests the rest from another upstream. */
    void migrate();

    /**
     * Whether the client has closed its connection. True from the moment that the end of its input was read, which
     * is before {@link RequestDispatcher#clientGone} takes effect. Any thread.
     */
    boolean isClientGone();
}
