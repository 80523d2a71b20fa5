package magpiehub.concurrent;

import java.util.ArrayDeque;

/**
 * An unbounded pool of platform threads with small stacks, for blocking work such as reading one connection until it
 * closes. An idle thread is kept for a while and reused: with hundreds of connections a second, starting a thread for
 * each costs more than serving it, and exited threads can accumulate faster than the system reclaims them. Callers
 * have to bound the amount of work that they submit.
 *
 * <p>Thread-safe.
 *
 * <p><b>Locking.</b> The monitor of {@link #idleWorkers} guards that queue. Each worker has its own monitor for handing
 * over work; it is acquired before the monitor of the queue, never after. A worker that is removed from the queue
 * receives work exactly once, from the thread that removed it, or exits if it removed itself.
 */
public final class CachedThreadPool {
    private static final long DEFAULT_KEEP_ALIVE_MICROS = 2_000_000;
    private static final long NANOS_PER_MICRO = 1000;
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final ThreadBudget budget;
    private final String threadName;
    private final long keepAliveNanos;
    /** Idle workers, longest idle first. The last one is reused first, so that the others can time out. */
    private final ArrayDeque<Worker> idleWorkers = new ArrayDeque<>();

    /**
     * Creates an empty pool with the default keep-alive time.
     *
     * @param threadName the name of all threads of the pool
     * @param budget counts the threads of the pool
     */
    public CachedThreadPool(String threadName, ThreadBudget budget) {
        this(threadName, DEFAULT_KEEP_ALIVE_MICROS, budget);
    }

    /**
     * Creates an empty pool.
     *
     * @param threadName the name of all threads of the pool
     * @param keepAliveMicros how long an idle thread waits for work before it exits
     * @param budget counts the threads of the pool
     */
    CachedThreadPool(String threadName, long keepAliveMicros, ThreadBudget budget) {
        this.budget = budget;
        this.threadName = threadName;
        this.keepAliveNanos = keepAliveMicros * NANOS_PER_MICRO;
    }

    /**
     * Starts the work immediately, on an idle thread or a new one.
     *
     * @throws OutOfMemoryError if a new thread is needed and cannot be started; the work has not run in that case
     */
    public void execute(Runnable work) {
        Worker idleWorker;
        synchronized (idleWorkers) {
            idleWorker = idleWorkers.pollLast();
        }
        if (idleWorker == null) {
            startWorker(work);
        } else {
            idleWorker.handOver(work);
        }
    }

    private void startWorker(Runnable work) {
        budget.threadStarted();
        try {
            DaemonThreads.newThread(threadName, new Worker(work)).start();
        } catch (OutOfMemoryError e) {
            budget.threadEnded();
            throw e;
        }
    }

    /** The run loop of one thread. */
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
                Thread.currentThread().interrupt(); // Not expected: idle workers are not interrupted.
            } finally {
                budget.threadEnded();
            }
        }

        /** Hands work to this worker. Only for the thread that removed it from the idle queue. */
        void handOver(Runnable work) {
            synchronized (monitor) {
                nextWork = work;
                monitor.notifyAll();
            }
        }

        /** Joins the idle queue and waits for work. Returns null if the keep-alive time passes without any. */
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
                        monitor.wait(); // Another thread has removed this worker and is about to hand over work.
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
