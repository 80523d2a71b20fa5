package magpiehub.streaming;

import java.util.ArrayList;
import java.util.List;

/**
 * One byte budget for the buffers of all streams together. A byte counts once, from the moment it has come from the
 * upstream until the client's socket has taken it.
 *
 * <p>A stream <em>keeps up</em> while it buffers no more than {@link #KEEPING_UP_BYTES}, or has buffered more for less
 * than {@link #LAG_GRACE_MICROS}; otherwise it is <em>lagging</em>. Where bytes run short, a stream that keeps up is
 * never ended. Of the lagging ones the worst is, by buffered bytes times the time it has been lagging.
 *
 * <p>A state machine without I/O or a clock of its own. Not thread-safe: an instance belongs to one lock or one thread.
 *
 * @param <T> what the user keeps for a stream, see {@link StreamBuffer#owner}
 */
public final class BufferBudget<T> {
    /** What a stream that keeps up may buffer: a few events, and what one write takes (bytes). */
    public static final int KEEPING_UP_BYTES = 48 * 1024;
    /** A client that fell behind only now has not had the time to catch up (us). */
    public static final long LAG_GRACE_MICROS = 500_000;
    /** What is reserved for each stream when a new one asks to be admitted (bytes). */
    static final int RESERVED_BYTES = 8 * 1024;
    /** What a stream may buffer even though the budget is spent, so that each one moves (bytes). */
    static final int MIN_SHARE_BYTES = KEEPING_UP_BYTES / 4;

    private final long totalBytes;
    private final List<StreamBuffer<T>> openBuffers = new ArrayList<>();
    private long bufferedBytes;
    private long maxBufferedBytes;

    /**
     * A budget that no stream uses yet.
     *
     * @throws IllegalArgumentException if it is too small for one stream that keeps up
     */
    public BufferBudget(long totalBytes) {
        if (totalBytes < KEEPING_UP_BYTES) {
            throw new IllegalArgumentException("a budget smaller than the buffer of one stream that keeps up");
        }
        this.totalBytes = totalBytes;
    }

    /** Bytes that all streams buffer now. */
    public long bufferedBytes() {
        return bufferedBytes;
    }

    /** The most bytes that all streams ever buffered at once. */
    public long maxBufferedBytes() {
        return maxBufferedBytes;
    }

    /** The size of the budget (bytes). */
    public long totalBytes() {
        return totalBytes;
    }

    /**
     * Whether one more stream may begin: what the streams that keep up buffer, or a little for each of them and for the
     * new one, must fit. What lagging streams buffer does not count: capacity is gained by ending them.
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
     * @param maxBytes what it may buffer at most before its upstream has to wait
     */
    public StreamBuffer<T> open(T owner, long maxBytes, long nowMicros) {
        StreamBuffer<T> buffer = new StreamBuffer<>(owner, maxBytes, nowMicros);
        openBuffers.add(buffer);
        return buffer;
    }

    /** Whether the upstream's next bytes may be read now; if not, the upstream waits. */
    public boolean hasCapacity(StreamBuffer<T> buffer) {
        return buffer.isClosed()
                || (!buffer.isFull() && (bufferedBytes < totalBytes || buffer.bufferedBytes() < MIN_SHARE_BYTES));
    }

    /** Records bytes that have come from the upstream. */
    public void receive(StreamBuffer<T> buffer, int bytes, long nowMicros) {
        if (buffer.isClosed()) {
            return;
        }
        buffer.add(bytes, nowMicros);
        bufferedBytes += bytes;
        maxBufferedBytes = Math.max(maxBufferedBytes, bufferedBytes);
    }

    /**
     * Records bytes that the client's socket has taken.
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
     * Releases bytes that the client will never see: those of an attempt that was not the one answered with.
     *
     * @throws IllegalStateException if they are more than the stream has buffered
     */
    public void discard(StreamBuffer<T> buffer, long bytes) {
        if (!buffer.isClosed()) {
            buffer.remove(bytes);
            bufferedBytes -= bytes;
        }
    }

    /** Ends a stream and releases what it buffered. Does nothing the second time. */
    public void close(StreamBuffer<T> buffer) {
        if (!buffer.isClosed()) {
            buffer.close();
            bufferedBytes -= buffer.bufferedBytes();
            openBuffers.remove(buffer);
        }
    }

    /** The stream to end because the budget is spent; null if it is not, or if all streams keep up. */
    public StreamBuffer<T> selectVictim(long nowMicros) {
        if (bufferedBytes < totalBytes) {
            return null;
        }
        StreamBuffer<T> worst = null;
        double worstLag = 0;
        for (StreamBuffer<T> buffer : openBuffers) {
            double lag = (double) buffer.bufferedBytes() * buffer.laggingMicros(nowMicros);
            if (lag > worstLag) {
                worstLag = lag;
                worst = buffer;
            }
        }
        return worst;
    }
}
