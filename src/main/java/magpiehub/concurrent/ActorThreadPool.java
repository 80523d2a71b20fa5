package magpiehub.concurrent;

import java.util.ArrayDeque;
import java.util.ArrayList;

/**
 * The threads that actors without one of their own take their turns on. A thread costs the process each
 * time that it is stopped and continued, so there are few; one more comes when none has been free for a
 * while, since a turn may block on a peer that does not read. It must never run one actor twice at once:
 * its mailbox sees to that.
 */
public final class ActorThreadPool {
    private static final int FEW = 4;
    private static final int MANY = 1024;
    /** How long all may be at work before another comes, and how long one stays idle. */
    private static final long STUCK_NANOS = 20_000_000;

    private static final long STAY_NANOS = 2_000_000_000;
    /** A write that has lasted longer waits for its peer: its thread is not counted among the few. */
    private static final long WRITE_NANOS = 3_000_000;

    /** A thread of a crew; since when it has been in a call that may wait for a peer, 0 if it is not. */
    private static final class Worker extends Thread {
        private volatile long since;

        Worker(Runnable body) {
            super(null, body, "actor", Mailbox.STACK);
            setDaemon(true);
        }
    }

    /** Also the monitor of all that follows; idle threads wait on it. */
    private final ArrayDeque<Runnable> waiting = new ArrayDeque<>();

    private final ArrayList<Worker> workers = new ArrayList<>();
    private int idle;
    private long takenAt = System.nanoTime();

    void execute(Runnable r) {
        synchronized (waiting) {
            waiting.add(r);
            if (idle > 0) {
                waiting.notify();
            } else {
                grow();
            }
        }
    }

    /** Called now and then: all threads may be blocked while nobody posts. */
    public void check() {
        synchronized (waiting) {
            if (!waiting.isEmpty() && idle == 0) {
                grow();
            }
        }
    }

    /** For a turn's own thread: a call begins, or has ended, that may wait for a peer that does not
     *  read. Guards against a crowd of those taking all threads, while everybody else waits. */
    public static void mayBlock(boolean begins) {
        if (Thread.currentThread() instanceof Worker w) {
            w.since = begins ? System.nanoTime() | 1 : 0;
        }
    }

    private void grow() {
        int threads = workers.size();
        long now = System.nanoTime();
        if (threads >= FEW && now - takenAt < STUCK_NANOS) {
            for (Worker w : workers) {
                long since = w.since;
                threads -= since != 0 && now - since > WRITE_NANOS ? 1 : 0;
            }
            if (threads >= FEW) {
                return;
            }
        }
        if (workers.size() >= MANY) {
            return;
        }
        try {
            Worker w = new Worker(this::run);
            w.start();
            workers.add(w);
            takenAt = now;
        } catch (OutOfMemoryError e) {
            if (workers.isEmpty()) {
                throw e;
            }
        }
    }

    private void run() {
        while (true) {
            Runnable r;
            synchronized (waiting) {
                long until = System.nanoTime() + STAY_NANOS;
                while (waiting.isEmpty()) {
                    long left = until - System.nanoTime();
                    if (left <= 0 && workers.size() > FEW) {
                        workers.remove(Thread.currentThread());
                        return;
                    }
                    idle++;
                    try {
                        waiting.wait(left <= 0 ? STAY_NANOS / 1_000_000 : left / 1_000_000 + 1);
                    } catch (InterruptedException e) {
                        until = System.nanoTime(); // Nobody interrupts a crew; it looks again.
                    } finally {
                        idle--;
                    }
                }
                r = waiting.poll();
                takenAt = System.nanoTime();
            }
            r.run();
        }
    }
}
