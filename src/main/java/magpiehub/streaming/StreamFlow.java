package magpiehub.streaming;

/**
 * The state that the {@link FlowController} keeps for one stream, from the client's request to the stream's outcome.
 * Opaque to other packages. Non-volatile fields are guarded by the controller's lock.
 */
public final class StreamFlow {
    final int classIndex;
    final int tenantIndex;
    final String requestId;
    final StreamClient client;
    StreamBuffer<StreamFlow> buffer;
    /** The upstream whose stream is forwarded to the client; null until one is selected. */
    String upstreamId;
    /** Whether the request ended before it became a stream; a stream that starts concurrently is not counted. */
    boolean abandoned;

    StreamOutcome outcome;
    /** Why the router disconnected the client; null if it did not. */
    private StreamOutcome disconnectCause;

    /** When the last event was received; 0 before the first. */
    volatile long lastEventMicros;
    /** Whether the upstream's reader waits for capacity, so that the upstream must not be treated as silent. */
    volatile boolean waitingForCapacity;
    /** When the last wait for capacity ended. What the upstream sent during the wait is read only after it. */
    volatile long waitedUntilMicros;

    StreamFlow(int classIndex, int tenantIndex, String requestId, StreamClient client) {
        this.classIndex = classIndex;
        this.tenantIndex = tenantIndex;
        this.requestId = requestId;
        this.client = client;
    }

    /** Records why the router disconnects the client; the first cause is kept. */
    void recordDisconnectCause(StreamOutcome cause) {
        disconnectCause = disconnectCause == null ? cause : disconnectCause;
    }

    /** The outcome to record: a client that the router disconnected is reported as if it had disconnected itself. */
    StreamOutcome resolve(StreamOutcome reported) {
        return disconnectCause != null && reported == StreamOutcome.CLIENT_DISCONNECTED ? disconnectCause : reported;
    }
}
