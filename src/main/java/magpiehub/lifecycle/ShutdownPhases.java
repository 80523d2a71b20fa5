package magpiehub.lifecycle;

import java.util.List;
import magpiehub.routing.RequestClass;

/**
 * The end of each phase of a graceful shutdown, in milliseconds after the signal.
 *
 * @param acceptMillis new connections are accepted until then
 * @param admitUnresumableMillis requests whose streams can't be resumed elsewhere are admitted until then
 * @param keepIdleMillis idle connections are kept until then; afterwards each response closes its connection
 * @param finishMillis requests in flight may finish until then; the rest are answered or resumed elsewhere immediately
 */
record ShutdownPhases(long acceptMillis, long admitUnresumableMillis, long keepIdleMillis, long finishMillis) {
    /** New connections arrive for 400 ms after the signal; a router with a CPU quota may accept them later. */
    private static final long ACCEPT_MS = 600;
    /**
     * A request that comes later than 0.7 s after the signal must be answered completely before the kill, and the
     * process may be held up for 0.15 s.
     */
    private static final long ADMIT_UNRESUMABLE_MS = 500;
    /** Upper limit of the deadline from which the time of the kill is derived. */
    private static final long MAX_DEADLINE_MS = 3_000;
    /** The process is killed at the earliest this long after the longest deadline. */
    private static final long KILL_AFTER_DEADLINE_MS = 700;
    /**
     * Time for sending the final answers before the kill. Kept short, since an upstream has to process a resumed stream
     * again, so that no stream should be ended earlier than necessary.
     */
    private static final long FINAL_ANSWERS_MS = 300;

    private static final int MICROS_PER_MILLI = 1000;

    /**
     * The phases for these request classes, which are those in force. Idle connections are kept for half of the time,
     * since another router may be down as well; the last requests on them have the other half to finish.
     */
    static ShutdownPhases forClasses(List<RequestClass> classes) {
        long longestDeadlineMillis = classes.stream()
                .mapToLong(requestClass -> requestClass.deadline() / MICROS_PER_MILLI)
                .max()
                .orElse(MAX_DEADLINE_MS);
        long killMillis = Math.min(MAX_DEADLINE_MS, longestDeadlineMillis) + KILL_AFTER_DEADLINE_MS;
        long finishMillis = killMillis - FINAL_ANSWERS_MS;
        return new ShutdownPhases(
                ACCEPT_MS,
                Math.min(ADMIT_UNRESUMABLE_MS, finishMillis),
                Math.max(ACCEPT_MS, finishMillis / 2),
                finishMillis);
    }
}
