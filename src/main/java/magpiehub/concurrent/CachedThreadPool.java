package magpiehub.concurrent;

import java.util.ArrayDeque;

/**
 * Platform threads with small stacks for work that blocks, such as reading one connection to its end. A thread that has
 * finished waits a while for more work before it ends: where connections come and go by the hundred a second, starting
 * and ending a thread for each costs more than serving it, and ended threads may pile up faster than the system takes
 * them back. The number of threads is not bounded; whoever submits work has to bound that.
 *
 * <p>Safe for use from any thread.
 *
 * <p><b>Locking.</b> The monitor of {@link #idleWorkers} guards that queue. Each worker has a monitor of its own for
 * the hand-over of work, which is taken before that of the queue, never after. A worker that was removed from the
 * queue is given work exactly once, by whoever removed it, or ends, if it removed itself.
 */
public final class CachedThreadPool {
    private static final long DEFAULT_KEEP_ALIVE_MICROS = 2_000_000;
    private static final long NANOS_PER_MICRO = 1000;
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final String threadName;
    private final long keepAliveNanos;
    /** Workers that wait for work, the longest waiting first; the last is used first, so that the others may end. */
    private final ArrayDeque<Worker> idleWorkers = new ArrayDeque<>();

    /** A pool without threads, with the usual time to wait for more work. */
    public CachedThreadPool(String threadName) {
        this(threadName, DEFAULT_KEEP_ALIVE_MICROS);
    }

    /**
     * A pool without threads.
     *
     * @param threadName the name of all its threads
     * @param keepAliveMicros how long a thread waits for more work before it ends
     */
    public CachedThreadPool(String threadName, long keepAliveMicros) {
        this.threadName = threadName;
        this.keepAliveNanos = keepAliveMicros * NANOS_PER_MICRO;
    }

    /**
     * Starts the work at once, on an idle thread or a new one.
     *
     * @throws OutOfMemoryError if a new thread is needed and can't be started; the work has not been started then
     */
    public void execute(Runnable work) {
        Worker idleWorker;
        synchronized (idleWorkers) {
            idleWorker = idleWorkers.pollLast();
        }
        if (idleWorker == null) {
            DaemonThreads.newThread(threadName, new Worker(work)).start();
        } else {
            idleWorker.handOver(work);
        }
    }

    /** The body of one thread. */
    private final class Worker implements Runnable {
        /** Guards {@link #nextWork}; the worker waits on it. */
        private final Object monitor = new Object();

        private Runnable nextWork;

        Worker(Runnable firstWork) {
            this.nextWork = firstWork;
        }

        @Override
        public void run() {
            try {
                for (Runnable work = nextWork; work != null; work = awaitWork()) {
                    work.run();
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt(); // Nobody interrupts a worker between two pieces of work.
            }
        }

        /** Gives work to this worker; for the thread that has removed it from the idle ones. */
        void handOver(Runnable work) {
            synchronized (monitor) {
                nextWork = work;
                monitor.notifyAll();
            }
        }

        /** Becomes idle and returns the next work, or null once none has come in time. */
        private Runnable awaitWork() throws InterruptedException {
            long untilNanos = System.nanoTime() + keepAliveNanos;
            synchronized (monitor) {
                nextWork = null;
                synchronized (idleWorkers) {
                    idleWorkers.addLast(this);
                }
                while (nextWork == null) {
                    long leftNanos = untilNanos - System.nanoTime();
                    if (leftNanos > 0) {
                        monitor.wait(leftNanos / NANOS_PER_MILLI + 1);
                    } else if (removeFromIdle()) {
                        return null;
                    } else {
                        monitor.wait(); // Another thread has removed it already, and is about to hand work over.
                    }
                }
                return nextWork;
            }
        }

        private boolean removeFromIdle() {
            synchronized (idleWorkers) {
                return idleWorkers.remove(this);
            }
        }
    }
}
