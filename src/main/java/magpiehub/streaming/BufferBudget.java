package magpiehub.streaming;

import java.util.ArrayList;
import java.util.List;

/**
 * The shared byte budget for the buffers of all streams. A byte counts once, from when it is received from the upstream
 * until the client's socket accepts it.
 *
 * <p>A stream is <em>lagging</em> if it has buffered more than {@link #LAG_THRESHOLD_BYTES} for at least
 * {@link #LAG_GRACE_MICROS}. When the budget is exhausted, the lagging stream with the largest product of buffered
 * bytes and lag time is selected to be ended; a stream that is not lagging is never ended.
 *
 * <p>Does no I/O and takes the time as a parameter. Not thread-safe: callers serialize access to an instance.
 *
 * @param <T> the type that identifies a stream's owner, see {@link StreamBuffer#owner}
 */
public final class BufferBudget<T> {
    /** The buffer size up to which a stream is not lagging: a few events plus the size of one write. */
    public static final int LAG_THRESHOLD_BYTES = 48 * 1024;
    /** How long a stream may exceed the threshold before it counts as lagging, so that the client can catch up. */
    public static final long LAG_GRACE_MICROS = 500_000;
    /** The minimum that is reserved for each stream that is not lagging when a new one is admitted. */
    static final int RESERVED_BYTES = 8 * 1024;
    /** What a stream may buffer even if the budget is exhausted, so that every stream makes progress. */
    static final int MIN_SHARE_BYTES = LAG_THRESHOLD_BYTES / 4;

    private final long totalBytes;
    private final List<StreamBuffer<T>> openBuffers = new ArrayList<>();
    private long bufferedBytes;
    private long maxBufferedBytes;

    /**
     * Creates an unused budget.
     *
     * @throws IllegalArgumentException if it is smaller than {@link #LAG_THRESHOLD_BYTES}
     */
    public BufferBudget(long totalBytes) {
        if (totalBytes < LAG_THRESHOLD_BYTES) {
            throw new IllegalArgumentException(
                    "buffer budget of " + totalBytes + " bytes is below the minimum of " + LAG_THRESHOLD_BYTES);
        }
        this.totalBytes = totalBytes;
    }

    /** The bytes that all streams currently buffer. */
    public long bufferedBytes() {
        return bufferedBytes;
    }

    /** The peak of {@link #bufferedBytes}. */
    public long maxBufferedBytes() {
        return maxBufferedBytes;
    }

    /** The size of the budget in bytes. */
    public long totalBytes() {
        return totalBytes;
    }

    /**
     * Whether one more stream may be admitted. The buffered bytes of the streams that are not lagging, but at least
     * {@link #RESERVED_BYTES} for each of them and for the new one, must fit into the budget. Lagging streams do not
     * count, since they can be ended to free capacity.
     */
    public boolean hasCapacityForStream(long nowMicros) {
        long reserved = RESERVED_BYTES;
        for (StreamBuffer<T> buffer : openBuffers) {
            reserved += buffer.laggingMicros(nowMicros) > 0 ? 0 : Math.max(buffer.bufferedBytes(), RESERVED_BYTES);
        }
        return reserved <= totalBytes;
    }

    /**
     * Opens the buffer of a new stream.
     *
     * @param maxBytes the buffer size at which the stream's upstream has to wait
     */
    public StreamBuffer<T> open(T owner, long maxBytes, long nowMicros) {
        StreamBuffer<T> buffer = new StreamBuffer<>(owner, maxBytes, nowMicros);
        openBuffers.add(buffer);
        return buffer;
    }

    /** Whether more bytes may be received from the stream's upstream; if not, the upstream has to wait. */
    public boolean hasCapacity(StreamBuffer<T> buffer) {
        return buffer.isClosed()
                || (!buffer.isFull() && (bufferedBytes < totalBytes || buffer.bufferedBytes() < MIN_SHARE_BYTES));
    }

    /** Records bytes received from the upstream. */
    public void receive(StreamBuffer<T> buffer, int bytes, long nowMicros) {
        if (buffer.isClosed()) {
            return;
        }
        buffer.add(bytes, nowMicros);
        bufferedBytes += bytes;
        maxBufferedBytes = Math.max(maxBufferedBytes, bufferedBytes);
    }

    /**
     * Records bytes that the client's socket has accepted.
     *
     * @throws IllegalStateException if they are more than the stream has buffered
     */
    public void deliver(StreamBuffer<T> buffer, long bytes, long nowMicros) {
        if (!buffer.isClosed()) {
            buffer.deliver(bytes, nowMicros);
            bufferedBytes -= bytes;
        }
    }

    /**
     * Releases bytes that are not forwarded to the client, because they belong to an attempt that was not selected.
     *
     * @throws IllegalStateException if they are more than the stream has buffered
     */
    public void discard(StreamBuffer<T> buffer, long bytes) {
        if (!buffer.isClosed()) {
            buffer.remove(bytes);
            bufferedBytes -= bytes;
        }
    }

    /** Closes a stream's buffer and releases its bytes. Has no effect on a buffer that is already closed. */
    public void close(StreamBuffer<T> buffer) {
        if (!buffer.isClosed()) {
            buffer.close();
            bufferedBytes -= buffer.bufferedBytes();
            openBuffers.remove(buffer);
        }
    }

    /** The stream to end because the budget is exhausted; null if it is not, or if no stream is lagging. */
    public StreamBuffer<T> selectVictim(long nowMicros) {
        if (bufferedBytes < totalBytes) {
            return null;
        }
        StreamBuffer<T> victim = null;
        double maxLag = 0;
        for (StreamBuffer<T> buffer : openBuffers) {
            double lag = (double) buffer.bufferedBytes() * buffer.laggingMicros(nowMicros);
            if (lag > maxLag) {
                maxLag = lag;
                victim = buffer;
            }
        }
        return victim;
    }
}
