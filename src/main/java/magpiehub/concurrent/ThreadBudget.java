package magpiehub.concurrent;

import java.util.concurrent.atomic.AtomicInteger;

/**
 * The number of threads that may work for connections, so that their stacks fit into the process's memory. It bounds
 * the requests that are admitted; a thread that an admitted request needs is started regardless. Thread-safe.
 */
public final class ThreadBudget {
    private static final int BYTES_PER_MB = 1 << 20;
    /** What a thread occupies: the part of its stack that the JVM touches, and the JVM's own data. */
    private static final int THREAD_BYTES = 96 * 1024;
    /** What the JVM occupies besides heap and threads. */
    private static final int JVM_BYTES = 64 * BYTES_PER_MB;
    /** Ordinary load needs fewer; where the heap is not used up they fit into less memory, too. */
    private static final int MIN_THREADS = 512;

    private final int maxThreads;
    private final AtomicInteger threads = new AtomicInteger();

    private ThreadBudget(int maxThreads) {
        this.maxThreads = maxThreads;
    }

    /** A budget without a limit. */
    public static ThreadBudget unlimited() {
        return new ThreadBudget(Integer.MAX_VALUE);
    }

    /**
     * The budget of a process.
     *
     * @param memoryMb the memory limit of the process
     * @param heapBytes the largest size of the heap
     */
    public static ThreadBudget forMemory(int memoryMb, long heapBytes) {
        long availableBytes = (long) memoryMb * BYTES_PER_MB - heapBytes - JVM_BYTES;
        return new ThreadBudget((int) Math.max(MIN_THREADS, availableBytes / THREAD_BYTES));
    }

    /** Whether there is no room for the threads of one more request. Each open request may need one more thread. */
    public boolean isExhausted(int openRequests) {
        return threads.get() >= maxThreads - openRequests;
    }

    /** Records that a thread was started. */
    void threadStarted() {
        threads.incrementAndGet();
    }

    /** Records that a thread has ended, or could not be started. */
    void threadEnded() {
        threads.decrementAndGet();
    }
}
