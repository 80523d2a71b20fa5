package magpiehub.routing;

/**
 * When the module asks for the list of engines again. It owns the backoff after calls that came to nothing.
 * It must never wait so long that a list which can be had is not in force in time: what discovery has and
 * could tell counts as told 6 s later, whatever happened before. The longest wait, a connection and an answer
 * that has queued for as long as discovery lets calls queue fit into that together. It knows no clock.
 */
final class EndpointPollSchedule {
    /** Base of the wait after a watch was lost, and after each further failure (us). Half of it always, and
     *  nearly as much by chance: a fleet that lost discovery together is to come back spread out. The
     *  longest, with a second in vain for a connection, leaves half of the 6 s for an answer that waits. */
    private static final long FIRST = 1_000_000;

    private static final long AGAIN = 2_000_000;
    private static final double LEAST = 0.5;
    private static final double CHANCE = 0.45;
    private boolean told;
    private boolean failed;
    /** Whether {@link #at} is the end of a wait, and not of a call's time. */
    private boolean waits;

    private long at;

    /** Nothing is known yet; the first call is due at a time. */
    EndpointPollSchedule(long first) {
        at = first;
    }

    /** Discovery has spoken: nothing is due until a call fails. */
    void told() {
        told = true;
        failed = false;
    }

    /** A call has failed, or a watch has ended. No word, and no second failure, puts off a call that is
     *  waited for: each word of a watch that has fallen silent once would. */
    void failed(long now, long within, double random) {
        long next = now + (long) (Math.min(within, failed ? AGAIN : FIRST) * (LEAST + CHANCE * random));
        at = waits ? Math.min(at, next) : next;
        waits = true;
        failed = true;
        told = false;
    }

    /** Whether to ask now. Asking takes it: the call is believed to be under way for half of the time that
     *  the settings give for asking. */
    boolean due(long now, long within) {
        boolean due = !told && now >= at;
        waits &= now < at;
        at = due ? now + within / 2 : at;
        return due;
    }
}
