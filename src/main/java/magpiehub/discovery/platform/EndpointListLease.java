package magpiehub.discovery.platform;

/**
 * The time until which the endpoint list may be used without another confirmation that it is current. A change at
 * discovery is deemed to have been received after a fixed delay, whether or not it arrived, so a list that has not
 * been confirmed for longer may contain replicas that must not receive requests any more.
 *
 * <p>While discovery is unreachable, no change is deemed to have been received, and the lease is renewed, because the
 * last list is the best one available. A single failed call does not prove that discovery is unreachable, since the
 * call may have waited in discovery's queue for too long. A list saved before this start has no lease, because its age
 * is unknown.
 *
 * <p>A state machine without I/O and without a clock; an instance belongs to one thread.
 */
final class EndpointListLease {
    /** Returned by {@link #validUntilMicros} before the lease is first renewed. */
    static final long NEVER_VALID = Long.MIN_VALUE;

    /** A change is deemed to have been received this long after discovery had it and was reachable. */
    private static final long MAX_NOTIFICATION_DELAY_MICROS = 6_000_000;

    /** Allowance for delays of the process between reading the clock and writing the first byte of a request. */
    private static final long MAX_WRITE_DELAY_MICROS = 500_000;

    /** Consecutive failures, of the watch or of calls, after which discovery is considered down. */
    private static final int FAILURES_UNTIL_DOWN = 2;

    private long renewedAtMicros = NEVER_VALID;
    private int consecutiveFailures;

    /** Records that the list was confirmed to be current. */
    void recordConfirmed(long nowMicros) {
        renewedAtMicros = nowMicros;
        consecutiveFailures = 0;
    }

    /** Records that the peer ended the watch that kept the list current, as happens when discovery goes down. */
    void recordWatchLost() {
        consecutiveFailures++;
    }

    /** Records that a call failed. */
    void recordCallFailed(long nowMicros, CallFailure failure) {
        if (failure == CallFailure.LOCAL) {
            return;
        }
        consecutiveFailures = failure == CallFailure.REFUSED ? FAILURES_UNTIL_DOWN : consecutiveFailures + 1;
        if (isDiscoveryDown()) {
            renewedAtMicros = nowMicros;
        }
    }

    /** Whether discovery is considered down. */
    boolean isDiscoveryDown() {
        return consecutiveFailures >= FAILURES_UNTIL_DOWN;
    }

    /**
     * The time from which no request may be sent on the basis of the list.
     *
     * @param stopSendingWithinMicros the time that the site allows for stopping to send to a replica that leaves
     */
    long validUntilMicros(long stopSendingWithinMicros) {
        if (renewedAtMicros == NEVER_VALID) {
            return NEVER_VALID;
        }
        return renewedAtMicros
                + MAX_NOTIFICATION_DELAY_MICROS
                + Math.max(0, stopSendingWithinMicros - MAX_WRITE_DELAY_MICROS);
    }
}
