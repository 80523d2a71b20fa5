package magpiehub;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/** Finds threads that spin: CPU time outside the kernel that a thread has used since it last waited. */
final class CpuRunTracker {
    /** A run of this length without a wait or system calls is too long. */
    private static final long MAX_RUN_MILLIS = 1_000;

    /** A thread whose time in the kernel is a larger part of its time outside makes system calls. */
    private static final double MAX_SYSTEM_SHARE = 0.2;

    private static final int MILLIS_PER_SECOND = 1000;
    private static final int WITHIN_BOUND = -1;

    /** The first sample since each thread's last wait, by thread id. */
    private final Map<Long, ThreadSample> runStarts = new HashMap<>();

    private final Map<String, Long> longestRunMillis = new TreeMap<>();

    /** Records a sample; returns the length of the thread's run in milliseconds, or -1 if it is within the bound. */
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

    /** The longest run without a wait in milliseconds, by the thread's name. */
    Map<String, Long> longestRunMillis() {
        return longestRunMillis;
    }
}
