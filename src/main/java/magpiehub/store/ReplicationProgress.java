package magpiehub.store;

/**
 * How far the writes of a replica have been sent to at least one peer. Writes are numbered in the order in which the
 * replica has applied them. Thread-safe.
 */
final class ReplicationProgress {
    private static final int NANOS_PER_MILLI = 1_000_000;

    /** All writes up to this number have been sent. Guarded by this. */
    private long sentNumber;

    /** Records that all writes up to the given number have been written to a peer's connection. */
    synchronized void recordSent(long number) {
        if (number > sentNumber) {
            sentNumber = number;
            notifyAll();
        }
    }

    /** Waits until all writes up to the given number have been sent; returns false if the time limit is over first. */
    synchronized boolean awaitSent(long number, long timeoutMillis) throws InterruptedException {
        long endNanos = System.nanoTime() + timeoutMillis * NANOS_PER_MILLI;
        while (sentNumber < number) {
            long leftMillis = (endNanos - System.nanoTime()) / NANOS_PER_MILLI;
            if (leftMillis <= 0) {
                return false;
            }
            wait(leftMillis);
        }
        return true;
    }
}
