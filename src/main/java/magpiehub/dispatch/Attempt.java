package magpiehub.dispatch;

/**
 * One attempt to serve a request by one upstream. The public methods may be called from any thread; everything else
 * belongs to the dispatcher's thread.
 */
public final class Attempt {
    private final OpenRequest request;
    private final int number;
    private final String endpointId;
    private final long startedAtMicros;
    private final long deadlineMicros;
    private AttemptHandle handle = AttemptHandle.NONE;
    private boolean over;

    Attempt(OpenRequest request, int number, String endpointId, long startedAtMicros, long deadlineMicros) {
        this.request = request;
        this.number = number;
        this.endpointId = endpointId;
        this.startedAtMicros = startedAtMicros;
        this.deadlineMicros = deadlineMicros;
    }

    /** The endpoint that serves the attempt. */
    public String endpointId() {
        return endpointId;
    }

    /**
     * When the attempt times out if its stream has not started, by the dispatcher's clock. The upstream is told how
     * much time remains.
     */
    public long deadlineMicros() {
        return deadlineMicros;
    }

    /**
     * What was passed to {@link RequestDispatcher#submit} with the request; null once the request is over or its client
     * has gone. To be asked right before the attempt's bytes are written: the message that ends the attempt may still
     * be in a mailbox, and nothing may be started for a client that has gone.
     */
    public Object payload() {
        ClientCallback client = request.client();
        return client == null || client.isClientGone() ? null : request.payload();
    }

    OpenRequest request() {
        return request;
    }

    /** The position among the attempts of the request, from 0. */
    int number() {
        return number;
    }

    /** How long the attempt has lasted at a given time. */
    long elapsedMicros(long nowMicros) {
        return nowMicros - startedAtMicros;
    }

    void attach(AttemptHandle startedHandle) {
        handle = startedHandle;
    }

    boolean isOver() {
        return over;
    }

    void grant() {
        handle.grant();
    }

    /** Closes the connection. The attempt is not over before {@link #markOver}. */
    void abort() {
        handle.abort();
    }

    /**
     * Marks the attempt as over and releases its handle: the connection may serve other requests by now, and the
     * attempt itself stays reachable from a timer until its deadline.
     */
    void markOver() {
        over = true;
        handle = AttemptHandle.NONE;
    }
}
