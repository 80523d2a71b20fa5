package magpiehub.downstream;

import java.util.concurrent.atomic.AtomicLong;

/**
 * The bytes that the request bodies of all clients of a listener may occupy while they are read or wait for their
 * response. Thread-safe.
 */
final class RequestBodyBudget {
    /** The heap holds up to three copies of each body while it is read. */
    static final long MAX_BYTES = 12L << 20;

    private final AtomicLong reservedBytes = new AtomicLong();

    /** Reserves bytes; returns false, with nothing reserved, if fewer are left. */
    boolean tryReserve(int bytes) {
        if (reservedBytes.addAndGet(bytes) > MAX_BYTES) {
            reservedBytes.addAndGet(-bytes);
            return false;
        }
        return true;
    }

    /** Releases reserved bytes. */
    void release(int bytes) {
        reservedBytes.addAndGet(-bytes);
    }
}
