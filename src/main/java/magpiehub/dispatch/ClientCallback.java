package magpiehub.dispatch;

/**
 * The port to the client of one request. At most one of {@link #reject}, {@link #fail} and {@link #migrate} is called,
 * at most once and on the dispatcher's thread; it must not block.
 */
public interface ClientCallback {
    /**
     * Answers that the request was rejected without side effects, so that a retry is safe.
     *
     * @param retryAfterMicros the delay after which the client should retry; 0 for none
     */
    void reject(long retryAfterMicros);

    /** Answers that the request has failed; it may have had side effects. */
    void fail(String reason);

    /** Ends a response stream in progress so that the client resumes it on another upstream. */
    void migrate();

    /** Whether the client requests the rest of its stream if that ends before it is complete. */
    boolean resumesStream();

    /**
     * Whether the client has closed its connection. True as soon as the end of its input has been read, which is before
     * the dispatcher handles {@link RequestDispatcher#clientDisconnected}. Thread-safe.
     */
    boolean isClientDisconnected();
}
