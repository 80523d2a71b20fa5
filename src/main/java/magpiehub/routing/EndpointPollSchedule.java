package magpiehub.routing;

/**
 * Schedules requests for the endpoint list, with backoff after failed calls. An endpoint list that discovery has and
 * could send counts as sent after 6 s, whatever happened before. The longest backoff, the time to connect and the
 * longest time that discovery lets a call wait in its queue must therefore fit into 6 s together.
 */
final class EndpointPollSchedule {
    /**
     * Base of the backoff after a watch was lost, and after each further failure. The backoff is at least half of it,
     * with nearly as much jitter, so that routers that lost discovery together reconnect spread out. The longest
     * backoff and a failed connection attempt of one second leave half of the 6 s for an answer that waits in
     * discovery's queue.
     */
    private static final long FIRST_BACKOFF_MICROS = 1_000_000;

    private static final long REPEATED_BACKOFF_MICROS = 2_000_000;
    private static final double MIN_BACKOFF_FACTOR = 0.5;
    private static final double BACKOFF_JITTER = 0.45;

    /** Time per router over which first calls are spread, since discovery serves callers one after another. */
    private static final long FIRST_POLL_SPREAD_MICROS = 20_000;

    private boolean upToDate;
    private boolean failedBefore;
    /** Whether {@link #nextPollAt} is the end of a backoff rather than the end of the time allotted to a call. */
    private boolean backingOff;

    private long nextPollAt;

    /** Creates a schedule without an endpoint list, whose first poll is due at the given time. */
    EndpointPollSchedule(long firstPollAt) {
        nextPollAt = firstPollAt;
    }

    /** Creates a schedule with a random time of the first poll, so that routers that start together are spread out. */
    static EndpointPollSchedule startingAt(long now, RoutingSettings settings, double random) {
        long spread =
                Math.min(settings.guarantees().pollWithin() / 2, FIRST_POLL_SPREAD_MICROS * settings.instanceCount());
        return new EndpointPollSchedule(now + (long) (random * spread));
    }

    /** Records that discovery has sent a list: no poll is due until a call fails. */
    void recordReceived() {
        upToDate = true;
        failedBefore = false;
    }

    /**
     * Records that a call has failed or a watch has ended. Neither a list nor another failure postpones a poll that is
     * already scheduled after a backoff; otherwise each message of a watch that was silent before would postpone it.
     */
    void recordFailure(long now, long pollWithin, double random) {
        long base = Math.min(pollWithin, failedBefore ? REPEATED_BACKOFF_MICROS : FIRST_BACKOFF_MICROS);
        long next = now + (long) (base * (MIN_BACKOFF_FACTOR + BACKOFF_JITTER * random));
        nextPollAt = backingOff ? Math.min(nextPollAt, next) : next;
        backingOff = true;
        failedBefore = true;
        upToDate = false;
    }

    /**
     * Returns whether a poll is due and, if so, counts it as made. The call then counts as in progress for half of the
     * time that the settings allow for polling.
     */
    boolean acquirePoll(long now, long pollWithin) {
        boolean due = !upToDate && now >= nextPollAt;
        backingOff &= now < nextPollAt;
        nextPollAt = due ? now + pollWithin / 2 : nextPollAt;
        return due;
    }
}
