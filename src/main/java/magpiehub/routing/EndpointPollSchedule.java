package magpiehub.routing;

/**
 * Says when the endpoint list is asked for, with backoff after calls that failed. What discovery has and could send
 * counts as sent 6 s later, whatever happened before; so the longest backoff, a connection, and an answer that has
 * queued for as long as discovery lets calls queue fit into that time together.
 */
final class EndpointPollSchedule {
    /**
     * Base of the backoff after a watch was lost, and after each further failure (us). Half of it always, and nearly as
     * much by chance: routers that lost discovery together are to come back spread out. The longest, with a second in
     * vain for a connection, leaves half of the 6 s for an answer that waits.
     */
    private static final long FIRST_BACKOFF_MICROS = 1_000_000;

    private static final long FURTHER_BACKOFF_MICROS = 2_000_000;
    private static final double LEAST_BACKOFF = 0.5;
    private static final double BACKOFF_JITTER = 0.45;

    /** Discovery serves callers in turn: first calls are spread over this time (us) for each router. */
    private static final long FIRST_POLL_SPREAD_MICROS = 20_000;

    private boolean upToDate;
    private boolean failedBefore;
    /** Whether {@link #nextPollAt} is the end of a backoff, and not of a call's time. */
    private boolean backingOff;

    private long nextPollAt;

    /** Nothing is known yet; the first poll is due at a time. */
    EndpointPollSchedule(long firstPollAt) {
        nextPollAt = firstPollAt;
    }

    /** A schedule whose first poll is due soon, at a random time, so that routers started together spread out. */
    static EndpointPollSchedule startingAt(long now, RoutingSettings settings, double random) {
        long spread =
                Math.min(settings.guarantees().pollWithin() / 2, FIRST_POLL_SPREAD_MICROS * settings.instanceCount());
        return new EndpointPollSchedule(now + (long) (random * spread));
    }

    /** Discovery has sent a list: nothing is due until a call fails. */
    void recordReceived() {
        upToDate = true;
        failedBefore = false;
    }

    /**
     * A call has failed, or a watch has ended. Neither a list nor a second failure puts off a poll that is waited for:
     * each message of a watch that has fallen silent once would.
     */
    void recordFailure(long now, long pollWithin, double random) {
        long base = Math.min(pollWithin, failedBefore ? FURTHER_BACKOFF_MICROS : FIRST_BACKOFF_MICROS);
        long next = now + (long) (base * (LEAST_BACKOFF + BACKOFF_JITTER * random));
        nextPollAt = backingOff ? Math.min(nextPollAt, next) : next;
        backingOff = true;
        failedBefore = true;
        upToDate = false;
    }

    /**
     * Whether a poll is due; true uses it up. The call is then believed to be under way for half of the time that the
     * settings give for polling.
     */
    boolean acquirePoll(long now, long pollWithin) {
        boolean due = !upToDate && now >= nextPollAt;
        backingOff &= now < nextPollAt;
        nextPollAt = due ? now + pollWithin / 2 : nextPollAt;
        return due;
    }
}
