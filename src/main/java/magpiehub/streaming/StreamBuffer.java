package magpiehub.streaming;

/**
 * Accounts for the bytes of one stream that have been received from its upstream but not yet accepted by its client's
 * socket. Modified only by the {@link BufferBudget} that opened it, under the same lock.
 *
 * @param <T> the type that identifies the stream's owner
 */
public final class StreamBuffer<T> {
    /** The value of {@link #aboveThresholdSinceMicros} while the buffer is at or below the threshold. */
    private static final long NEVER = Long.MAX_VALUE;

    private final T owner;
    private final long maxBytes;
    private long bufferedBytes;
    private long deliveredBytes;
    /** When the client's socket last accepted bytes, or when the buffer last became non-empty. */
    private long lastProgressMicros;

    private long aboveThresholdSinceMicros = NEVER;
    private boolean closed;

    StreamBuffer(T owner, long maxBytes, long nowMicros) {
        this.owner = owner;
        this.maxBytes = maxBytes;
        this.lastProgressMicros = nowMicros;
    }

    /** The owner that was passed to {@link BufferBudget#open}. */
    T owner() {
        return owner;
    }

    /** The bytes received from the upstream that the client's socket has not accepted. */
    public long bufferedBytes() {
        return bufferedBytes;
    }

    /** The bytes that the client's socket has accepted. */
    public long deliveredBytes() {
        return deliveredBytes;
    }

    /** How long the client's socket has accepted nothing although bytes are buffered; 0 if none are. */
    public long stalledMicros(long nowMicros) {
        return bufferedBytes == 0 || closed ? 0 : Math.max(0, nowMicros - lastProgressMicros);
    }

    /** How long this stream has exceeded the lag threshold; 0 if it is not lagging, see {@link BufferBudget}. */
    long laggingMicros(long nowMicros) {
        if (aboveThresholdSinceMicros == NEVER) {
            return 0;
        }
        long aboveThresholdMicros = nowMicros - aboveThresholdSinceMicros;
        return aboveThresholdMicros < BufferBudget.LAG_GRACE_MICROS ? 0 : aboveThresholdMicros;
    }

    boolean isClosed() {
        return closed;
    }

    boolean isFull() {
        return bufferedBytes >= maxBytes;
    }

    void close() {
        closed = true;
    }

    void add(int bytes, long nowMicros) {
        if (bufferedBytes == 0) {
            lastProgressMicros = nowMicros;
        }
        bufferedBytes += bytes;
        if (bufferedBytes > BufferBudget.LAG_THRESHOLD_BYTES && aboveThresholdSinceMicros == NEVER) {
            aboveThresholdSinceMicros = nowMicros;
        }
    }

    void deliver(long bytes, long nowMicros) {
        remove(bytes);
        deliveredBytes += bytes;
        lastProgressMicros = nowMicros;
    }

    /** Removes bytes; throws if there are too few, since counting a byte twice would exceed the budget unnoticed. */
    void remove(long bytes) {
        if (bytes < 0 || bytes > bufferedBytes) {
            throw new IllegalStateException("cannot remove " + bytes + " of " + bufferedBytes + " buffered bytes");
        }
        bufferedBytes -= bytes;
        if (bufferedBytes <= BufferBudget.LAG_THRESHOLD_BYTES) {
            aboveThresholdSinceMicros = NEVER;
        }
    }
}
