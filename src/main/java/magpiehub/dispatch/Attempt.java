package magpiehub.dispatch;

/**
 * One attempt to serve a request on one endpoint. The public methods are thread-safe; all others are confined to the
 * dispatcher's thread.
 */
public final class Attempt {
    private final OpenRequest request;
    private final int number;
    private final String endpointId;
    private final long startedAtMicros;
    private final long deadlineMicros;
    private final long writeDeadlineMicros;
    private volatile boolean written;
    private AttemptHandle handle = AttemptHandle.NONE;
    private boolean over;

    Attempt(
            OpenRequest request,
            int number,
            String endpointId,
            long startedAtMicros,
            long deadlineMicros,
            long writeDeadlineMicros) {
        this.request = request;
        this.number = number;
        this.endpointId = endpointId;
        this.startedAtMicros = startedAtMicros;
        this.deadlineMicros = deadlineMicros;
        this.writeDeadlineMicros = writeDeadlineMicros;
    }

    /** The id of the request. */
    public String requestId() {
        return request.id();
    }

    /** The id of the endpoint that the attempt is sent to. */
    public String endpointId() {
        return endpointId;
    }

    /**
     * When the attempt times out unless its response stream has started, on the dispatcher's clock. The remaining time
     * is sent to the upstream with the request.
     */
    public long deadlineMicros() {
        return deadlineMicros;
    }

    /**
     * The time, on the dispatcher's clock, from which the request must no longer be written: connecting may take longer
     * than the upstreams recognize a request that one of them has executed.
     */
    public long writeDeadlineMicros() {
        return writeDeadlineMicros;
    }

    /** Records that the request has been written completely. Called by the upstream side. */
    public void markWritten() {
        written = true;
    }

    /**
     * The payload that was passed to {@link RequestDispatcher#submit}; null once the request has its final answer or
     * its client has disconnected. To be called immediately before the request is written to the upstream: the message
     * that cancels the attempt may still be queued in a mailbox, and no work may be started for a disconnected client.
     */
    public Object payload() {
        ClientCallback client = request.client();
        return client == null || client.isClientDisconnected() ? null : request.payload();
    }

    OpenRequest request() {
        return request;
    }

    /** The number of this attempt among those of the request, from 0. */
    int number() {
        return number;
    }

    /** The time since the attempt was started. */
    long elapsedMicros(long nowMicros) {
        return nowMicros - startedAtMicros;
    }

    void attach(AttemptHandle startedHandle) {
        handle = startedHandle;
    }

    boolean isOver() {
        return over;
    }

    boolean isWritten() {
        return written;
    }

    void startForwarding() {
        handle.startForwarding();
    }

    /** Closes the attempt's connection; the attempt is over only after {@link #markOver}. */
    void abort() {
        handle.abort();
    }

    /**
     * Marks the attempt as over and drops its handle: the connection may already serve other requests, and a timer
     * keeps this object reachable until the attempt's deadline.
     */
    void markOver() {
        over = true;
        handle = AttemptHandle.NONE;
    }
}
