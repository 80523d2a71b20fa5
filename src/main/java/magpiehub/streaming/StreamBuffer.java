package magpiehub.streaming;

/**
 * The bytes of one stream that have come from its upstream and that its client's socket has not taken yet. Changed by
 * the {@link BufferBudget} that opened it, under the same lock.
 *
 * @param <T> what the budget's user keeps for a stream
 */
public final class StreamBuffer<T> {
    /** Stands for "not lagging" in {@link #laggingSince}. */
    private static final long NEVER = Long.MAX_VALUE;

    private final T owner;
    private final long maxBytes;
    private long bufferedBytes;
    private long deliveredBytes;
    /** When the client's socket last took bytes, or when the first of those that wait came (us). */
    private long lastProgressMicros;

    private long laggingSince = NEVER;
    private boolean closed;

    StreamBuffer(T owner, long maxBytes, long nowMicros) {
        this.owner = owner;
        this.maxBytes = maxBytes;
        this.lastProgressMicros = nowMicros;
    }

    /** What was given to {@link BufferBudget#open}. */
    T owner() {
        return owner;
    }

    /** Bytes that the client's socket has not taken. */
    public long bufferedBytes() {
        return bufferedBytes;
    }

    /** Bytes that the client's socket has taken. */
    public long deliveredBytes() {
        return deliveredBytes;
    }

    /** How long the client has taken nothing although bytes wait (us); 0 if none wait. */
    public long stalledMicros(long nowMicros) {
        return bufferedBytes == 0 || closed ? 0 : Math.max(0, nowMicros - lastProgressMicros);
    }

    /** How long this stream has been lagging (us); 0 if it keeps up, see {@link BufferBudget}. */
    long laggingMicros(long nowMicros) {
        return laggingSince == NEVER || nowMicros - laggingSince < BufferBudget.LAG_GRACE_MICROS
                ? 0
                : nowMicros - laggingSince;
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
        if (bufferedBytes > BufferBudget.KEEPING_UP_BYTES && laggingSince == NEVER) {
            laggingSince = nowMicros;
        }
    }

    void deliver(long bytes, long nowMicros) {
        remove(bytes);
        deliveredBytes += bytes;
        lastProgressMicros = nowMicros;
    }

    /** Guards against counting a byte twice, which would let the budget overrun unseen. */
    void remove(long bytes) {
        if (bytes < 0 || bytes > bufferedBytes) {
            throw new IllegalStateException(bytes + " bytes taken of " + bufferedBytes);
        }
        bufferedBytes -= bytes;
        if (bufferedBytes <= BufferBudget.KEEPING_UP_BYTES) {
            laggingSince = NEVER;
        }
    }
}
