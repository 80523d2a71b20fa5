package magpiehub.concurrent;

import java.util.ArrayDeque;

/**
 * Platform threads with small stacks for work that blocks, such as reading one connection to its end. A
 * thread that has finished waits a moment for more work before it ends: where connections come and go by the
 * hundred a second, starting and ending a thread for each costs more than serving it, and ended threads may
 * pile up faster than the system takes them back. There is no bound on the threads at work; whoever hands
 * work in bounds that. Safe for use from any thread.
 */
public final class CachedThreadPool {
    /** How long a thread waits for more work where nothing else is said (us). */
    private static final long DEFAULT_STAY = 2_000_000;

    private final String name;
    private final long stayNanos;
    /** Those that wait for work, the longest waiting first; its monitor guards it. */
    private final ArrayDeque<Worker> idle = new ArrayDeque<>();

    /** A cache without threads, which wait for more work for as long as is usual. */
    public CachedThreadPool(String name) {
        this(name, DEFAULT_STAY);
    }

    /**
     * A cache without threads.
     *
     * @param name what its threads are called
     * @param stay how long a thread waits for more work (us)
     */
    public CachedThreadPool(String name, long stay) {
        this.name = name;
        this.stayNanos = stay * 1000;
    }

    /**
     * Begins the work at once, on a thread that waits or on a new one.
     *
     * @throws OutOfMemoryError if a thread is needed and none can be started; nothing has begun then
     */
    public void execute(Runnable work) {
        Worker waiting;
        synchronized (idle) {
            waiting = idle.pollLast();
        }
        if (waiting == null) {
            Mailbox.thread(name, new Worker(work)).start();
        } else {
            waiting.take(work);
        }
    }

    private final class Worker implements Runnable {
        /** Guards {@link #next}; the worker waits on it. */
        private final Object handOver = new Object();

        private Runnable next;

        Worker(Runnable first) {
            this.next = first;
        }

        @Override
        public void run() {
            try {
                for (Runnable work = next; work != null; work = await()) {
                    work.run();
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt(); // Nobody interrupts a worker between two pieces of work.
            }
        }

        /** Called once for each time that this worker was taken from the idle ones. */
        void take(Runnable work) {
            synchronized (handOver) {
                next = work;
                handOver.notifyAll();
            }
        }

        /** The next work, or null once none has come in time. */
        private Runnable await() throws InterruptedException {
            long until = System.nanoTime() + stayNanos;
            synchronized (handOver) {
                next = null;
                synchronized (idle) {
                    idle.addLast(this);
                }
                while (next == null) {
                    long left = until - System.nanoTime();
                    if (left > 0) {
                        handOver.wait(left / 1_000_000 + 1);
                    } else if (leaves()) {
                        return null;
                    } else {
                        handOver.wait(); // Taken from the idle ones already: the work is on its way.
                    }
                }
                return next;
            }
        }

        private boolean leaves() {
            synchronized (idle) {
                return idle.remove(this);
            }
        }
    }
}
