package magpiehub.streaming;

/**
 * One stream as the {@link FlowController} sees it, from the client's request to the stream's one outcome. Opaque to
 * others. Fields that are not volatile are guarded by the controller's lock.
 */
public final class StreamFlow {
    final int classIndex;
    final int tenantIndex;
    final String requestId;
    final StreamClient client;
    StreamBuffer<StreamFlow> buffer;
    /** The upstream whose stream the client gets; null until one is chosen. */
    String upstreamId;
    /** Over before it became a stream: a stream that starts in the same moment is not counted. */
    boolean abandoned;

    StreamOutcome outcome;
    /** Why the client's connection was cut, before the stream's end is reported; null if it was not. */
    private StreamOutcome disconnectCause;

    /** When the last event came (us); 0 before the first. */
    volatile long lastEventMicros;
    /** The upstream's reader waits for capacity: the upstream is not silent, it is not read from. */
    volatile boolean waitingForCapacity;
    /** When that wait last ended (us): what the upstream sent meanwhile is only read from then on. */
    volatile long waitedUntilMicros;

    StreamFlow(int classIndex, int tenantIndex, String requestId, StreamClient client) {
        this.classIndex = classIndex;
        this.tenantIndex = tenantIndex;
        this.requestId = requestId;
        this.client = client;
    }

    /** Notes why the client's connection is cut; the first cause stands. */
    void noteDisconnect(StreamOutcome cause) {
        disconnectCause = disconnectCause == null ? cause : disconnectCause;
    }

    /** The outcome to record: a client that was cut off looks as if it had left by itself. */
    StreamOutcome resolve(StreamOutcome reported) {
        return disconnectCause != null && reported == StreamOutcome.CLIENT_DISCONNECTED ? disconnectCause : reported;
    }
}
