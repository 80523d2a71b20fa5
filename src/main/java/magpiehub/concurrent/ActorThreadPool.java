package magpiehub.concurrent;

import java.util.ArrayDeque;
import java.util.ArrayList;

/**
 * The threads on which the actors without a thread of their own take their turns, in the order in which the turns were
 * handed in. The pool keeps few threads, since each thread that stops and continues costs the process CPU time. A turn
 * may block on a peer that does not read; therefore one thread is added when all have been busy for a while, and
 * threads that are in a blocking call for long are not counted among the few.
 *
 * <p>That one actor never runs on two threads at once is ensured by its {@link Mailbox}.
 *
 * <p><b>Locking.</b> The monitor of {@link #pendingTurns} guards all fields, and idle threads wait on it. No turn runs
 * while it is held.
 */
public final class ActorThreadPool {
    /** Threads that are kept; more are added only under the conditions of {@link #addWorkerIfStalled}. */
    private static final int CORE_THREADS = 4;

    private static final int MAX_THREADS = 1024;
    /** How long all threads have to be busy before one is added. */
    private static final long STALLED_AFTER_NANOS = 20_000_000;
    /** How long a thread beyond the core stays idle before it ends. */
    private static final long KEEP_ALIVE_NANOS = 2_000_000_000;
    /** A thread that has been in a blocking call for longer waits for its peer, and does not count as a core thread. */
    private static final long BLOCKED_AFTER_NANOS = 3_000_000;

    private static final long NANOS_PER_MILLI = 1_000_000;

    private final ArrayDeque<Runnable> pendingTurns = new ArrayDeque<>();
    private final ArrayList<Worker> workers = new ArrayList<>();
    private int idleWorkers;
    /** When a thread last took a turn or was added: if long ago, all threads are busy with turns that last. */
    private long lastProgressNanos = System.nanoTime();

    private static final class Worker extends Thread {
        /** When the current blocking call began; 0 outside of one. Written by the worker itself alone. */
        private volatile long blockingSinceNanos;

        Worker(Runnable body) {
            super(null, body, "actor", DaemonThreads.STACK_BYTES);
            setDaemon(true);
        }

        boolean isBlocked(long nowNanos) {
            long since = blockingSinceNanos;
            return since != 0 && nowNanos - since > BLOCKED_AFTER_NANOS;
        }
    }

    /**
     * To be called on a pool's thread right before a call that may wait for a peer, such as a write to its socket;
     * keeps peers that do not read from occupying all threads. Has no effect on other threads.
     */
    public static void enterBlockingCall() {
        if (Thread.currentThread() instanceof Worker worker) {
            worker.blockingSinceNanos = System.nanoTime() | 1; // Never 0, which means that there is no such call.
        }
    }

    /** To be called when the call announced by {@link #enterBlockingCall} has returned or thrown. */
    public static void exitBlockingCall() {
        if (Thread.currentThread() instanceof Worker worker) {
            worker.blockingSinceNanos = 0;
        }
    }

    /** Runs a turn on the next free thread. */
    void execute(Runnable turn) {
        synchronized (pendingTurns) {
            pendingTurns.add(turn);
            if (idleWorkers > 0) {
                pendingTurns.notify();
            } else {
                addWorkerIfStalled();
            }
        }
    }

    /**
     * Adds a thread if turns are pending and all threads are busy for long. To be called regularly: all threads may be
     * blocked while nobody hands in another turn.
     */
    public void checkForStall() {
        synchronized (pendingTurns) {
            if (!pendingTurns.isEmpty() && idleWorkers == 0) {
                addWorkerIfStalled();
            }
        }
    }

    /**
     * With the monitor held: adds a thread if there are fewer than the core, or none has taken a turn for a while, or
     * so many are blocked that the rest is fewer than the core. The pending turns wait if there is no memory for a
     * thread, unless there is none at all.
     */
    private void addWorkerIfStalled() {
        long nowNanos = System.nanoTime();
        boolean progressing = nowNanos - lastProgressNanos < STALLED_AFTER_NANOS;
        if (workers.size() >= CORE_THREADS && progressing && unblockedWorkers(nowNanos) >= CORE_THREADS) {
            return;
        }
        if (workers.size() >= MAX_THREADS) {
            return;
        }
        try {
            Worker worker = new Worker(this::runTurns);
            worker.start();
            workers.add(worker);
            lastProgressNanos = nowNanos;
        } catch (OutOfMemoryError e) {
            // Sound: the list holds started threads only, and those that there are will take the pending turns.
            if (workers.isEmpty()) {
                throw e;
            }
        }
    }

    private int unblockedWorkers(long nowNanos) {
        int count = workers.size();
        for (Worker worker : workers) {
            if (worker.isBlocked(nowNanos)) {
                count--;
            }
        }
        return count;
    }

    private void runTurns() {
        for (Runnable turn = nextTurn(); turn != null; turn = nextTurn()) {
            turn.run();
        }
    }

    /** Waits for the next turn; null once this thread was idle for long and is not needed for the core. */
    private Runnable nextTurn() {
        synchronized (pendingTurns) {
            long untilNanos = System.nanoTime() + KEEP_ALIVE_NANOS;
            while (pendingTurns.isEmpty()) {
                long leftNanos = untilNanos - System.nanoTime();
                if (leftNanos <= 0 && workers.size() > CORE_THREADS) {
                    workers.remove(Thread.currentThread());
                    return null;
                }
                idleWorkers++;
                try {
                    pendingTurns.wait(waitMillis(leftNanos));
                } catch (InterruptedException e) {
                    untilNanos = System.nanoTime(); // Nobody interrupts these threads; the conditions are tested again.
                } finally {
                    idleWorkers--;
                }
            }
            Runnable turn = pendingTurns.poll();
            lastProgressNanos = System.nanoTime();
            return turn;
        }
    }

    /** How long to wait at once; a core thread, whose time is over, waits on for the usual time. */
    private static long waitMillis(long leftNanos) {
        return leftNanos <= 0 ? KEEP_ALIVE_NANOS / NANOS_PER_MILLI : leftNanos / NANOS_PER_MILLI + 1;
    }
}
