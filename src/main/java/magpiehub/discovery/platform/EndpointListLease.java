package magpiehub.discovery.platform;

/**
 * Says until when the endpoint list may be used without another sign that it is current. What discovery has counts as
 * received after a while, whether or not it arrived: a list that was not confirmed for longer may name replicas that
 * must get nothing any more.
 *
 * <p>While discovery can't be reached, no change counts as received, and the lease is renewed: the last list is the
 * best that there is. One failed call does not show that, for it may have waited in discovery's queue for too long. A
 * list from before this start has no lease, since nobody knows its age.
 *
 * <p>A state machine without I/O and without a clock; an instance belongs to one thread.
 */
final class EndpointListLease {
    /** What {@link #validUntilMicros} returns before the first sign. */
    static final long NEVER_VALID = Long.MIN_VALUE;

    /** A change counts as received this long after discovery had it and could be reached (us). */
    private static final long NOTIFICATION_MICROS = 6_000_000;

    /** From reading the clock to the first byte on the wire: the process may be held up in between (us). */
    private static final long WRITE_DELAY_MICROS = 500_000;

    /** Losses in a row, of the watch or of calls, after which discovery counts as down. */
    private static final int LOSSES_WHEN_DOWN = 2;

    private long renewedAtMicros = NEVER_VALID;
    private int losses;

    /** The list is known to be current. */
    void recordCurrent(long nowMicros) {
        renewedAtMicros = nowMicros;
        losses = 0;
    }

    /** The watch that kept the list current was ended by the other side, as when discovery goes down. */
    void recordWatchLost() {
        losses++;
    }

    /** A call has failed. */
    void recordCallFailed(long nowMicros, CallFailure failure) {
        if (failure == CallFailure.LOCAL) {
            return;
        }
        losses = failure == CallFailure.REFUSED ? LOSSES_WHEN_DOWN : losses + 1;
        if (isDiscoveryDown()) {
            renewedAtMicros = nowMicros;
        }
    }

    /** Whether discovery counts as down. */
    boolean isDiscoveryDown() {
        return losses >= LOSSES_WHEN_DOWN;
    }

    /**
     * The time from which on nothing may be sent by the list.
     *
     * @param stopSendingWithinMicros the time that the site gives to stop sending to a replica that leaves
     */
    long validUntilMicros(long stopSendingWithinMicros) {
        if (renewedAtMicros == NEVER_VALID) {
            return NEVER_VALID;
        }
        return renewedAtMicros + NOTIFICATION_MICROS + Math.max(0, stopSendingWithinMicros - WRITE_DELAY_MICROS);
    }
}
