package magpiehub.lifecycle;

import java.util.List;
import magpiehub.routing.RequestClass;

/**
 * When each phase of a graceful shutdown ends, in milliseconds from the signal.
 *
 * @param acceptMillis new connections are accepted until then
 * @param keepIdleMillis idle connections are kept until then; later each response is its connection's last
 * @param finishMillis requests in flight are waited for until then; the rest is answered or resumed elsewhere at once
 */
record ShutdownPhases(long acceptMillis, long keepIdleMillis, long finishMillis) {
    /** New connections come for 400 ms after the signal, and a router held to its share of a core sees them later. */
    private static final long ACCEPT_MS = 600;
    /** A deadline counts as so long at most when the time of the kill is derived from it. */
    private static final long MAX_DEADLINE_MS = 3_000;
    /** The process is killed no sooner than this after the longest deadline. */
    private static final long KILL_AFTER_DEADLINE_MS = 700;
    /**
     * What the last answers may take before the kill. No more than needed: a stream that its client asks for again is
     * processed anew by an upstream, so none is ended earlier than it must.
     */
    private static final long LAST_ANSWERS_MS = 300;

    private static final int MICROS_PER_MILLI = 1000;

    /**
     * The phases for these request classes. Idle connections are kept for half of the time: another router may be down
     * as well, and what comes on them last has the other half.
     */
    static ShutdownPhases forClasses(List<RequestClass> classes) {
        long longestDeadlineMillis = classes.stream()
                .mapToLong(requestClass -> requestClass.deadline() / MICROS_PER_MILLI)
                .max()
                .orElse(MAX_DEADLINE_MS);
        long killMillis = Math.min(MAX_DEADLINE_MS, longestDeadlineMillis) + KILL_AFTER_DEADLINE_MS;
        long finishMillis = killMillis - LAST_ANSWERS_MS;
        return new ShutdownPhases(ACCEPT_MS, Math.max(ACCEPT_MS, finishMillis / 2), finishMillis);
    }
}
