package magpiehub.downstream;

import java.util.concurrent.atomic.AtomicLong;

/**
 * The bytes that the request bodies of all of a listener's clients may take while they are read or wait for their
 * answer. Any thread.
 */
final class RequestBodyBudget {
    /** The heap holds each body up to three times while it is read. */
    static final long MAX_BYTES = 12L << 20;

    private final AtomicLong reservedBytes = new AtomicLong();

    /** Reserves bytes; false, with nothing reserved, if the budget has not that many left. */
    boolean tryReserve(int bytes) {
        if (reservedBytes.addAndGet(bytes) > MAX_BYTES) {
            reservedBytes.addAndGet(-bytes);
            return false;
        }
        return true;
    }

    /** Gives reserved bytes back. */
    void release(int bytes) {
        reservedBytes.addAndGet(-bytes);
    }
}
