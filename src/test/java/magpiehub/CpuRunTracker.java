package magpiehub;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/** Detects spinning threads by the user-mode CPU time that each has used since it last waited. */
final class CpuRunTracker {
    /** A thread that runs for this long without a wait or system calls is reported. */
    private static final long MAX_RUN_MILLIS = 1_000;

    /** A thread with a larger ratio of system to user time makes system calls, and so does not spin. */
    private static final double MAX_SYSTEM_SHARE = 0.2;

    private static final int MILLIS_PER_SECOND = 1000;
    private static final int WITHIN_BOUND = -1;

    /** The first sample since each thread's last wait, by thread id. */
    private final Map<Long, ThreadSample> runStarts = new HashMap<>();

    private final Map<String, Long> longestRunMillis = new TreeMap<>();

    /** Records a sample; returns the thread's CPU time since its last wait in ms, or -1 if it is within the bound. */
    long record(ThreadSample sample) {
        ThreadSample start = runStarts.get(sample.id());
        if (start == null || start.waits() != sample.waits()) {
            runStarts.put(sample.id(), sample);
            return WITHIN_BOUND;
        }
        long userTicks = sample.userTicks() - start.userTicks();
        long systemTicks = sample.systemTicks() - start.systemTicks();
        if (systemTicks > MAX_SYSTEM_SHARE * userTicks) {
            return WITHIN_BOUND;
        }
        long runMillis = userTicks * MILLIS_PER_SECOND / ThreadSample.TICKS_PER_SECOND;
        longestRunMillis.merge(sample.name(), runMillis, Math::max);
        return runMillis >= MAX_RUN_MILLIS ? runMillis : WITHIN_BOUND;
    }

    /** The longest CPU time without a wait in milliseconds, by thread name. */
    Map<String, Long> longestRunMillis() {
        return longestRunMillis;
    }
}
