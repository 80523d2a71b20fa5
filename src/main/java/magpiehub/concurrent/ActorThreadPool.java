package magpiehub.concurrent;

import java.util.ArrayDeque;
import java.util.ArrayList;

/**
 * A shared thread pool for actors that have no thread of their own. Turns run in the order in which they were
 * submitted. The pool is kept small, because every context switch costs CPU time. A turn may block on a peer that does
 * not read, so a thread is added when all threads have been busy for {@link #STALLED_AFTER_NANOS}, and threads that
 * have been in a blocking call for {@link #BLOCKED_AFTER_NANOS} do not count towards the core size.
 *
 * <p>The {@link Mailbox} of an actor ensures that the actor never runs on two threads at once.
 *
 * <p><b>Locking.</b> The monitor of {@link #pendingTurns} guards all fields, and idle threads wait on it. No turn runs
 * while it is held.
 */
public final class ActorThreadPool {
    /** The number of threads that are kept alive; more are started only by {@link #addWorkersIfStalled}. */
    private static final int CORE_THREADS = 4;

    private static final int MAX_THREADS = 1024;
    /** The most threads that are added at once. */
    private static final int MAX_ADDED_AT_ONCE = 32;
    /** A thread is added when no thread has become free for this long. */
    private static final long STALLED_AFTER_NANOS = 20_000_000;
    /** How long a thread beyond the core size may be idle before it exits. */
    private static final long KEEP_ALIVE_NANOS = 2_000_000_000;
    /** A thread in a blocking call for longer than this counts as blocked and not towards the core size. */
    private static final long BLOCKED_AFTER_NANOS = 3_000_000;

    private static final long NANOS_PER_MILLI = 1_000_000;

    private final ThreadBudget budget;
    private final ArrayDeque<Runnable> pendingTurns = new ArrayDeque<>();
    private final ArrayList<Worker> workers = new ArrayList<>();
    private int idleWorkers;
    /** When a thread last started a turn or was added. If that is long ago, all threads are in long-running turns. */
    private long lastProgressNanos = System.nanoTime();

    /** Creates a pool whose threads count against a budget. */
    public ActorThreadPool(ThreadBudget budget) {
        this.budget = budget;
    }

    /** The budget of this pool, which the pools of the same connections' readers share. */
    public ThreadBudget budget() {
        return budget;
    }

    private static final class Worker extends Thread {
        /** When the current blocking call began; 0 if there is none. Written only by this thread. */
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
     * Marks the current pool thread as being in a call that may wait for a peer, such as a write to its socket, so that
     * peers that do not read cannot occupy the whole pool. Has no effect on threads outside of a pool.
     */
    public static void enterBlockingCall() {
        if (Thread.currentThread() instanceof Worker worker) {
            worker.blockingSinceNanos = System.nanoTime() | 1; // Never 0, which means no call in progress.
        }
    }

    /** Ends what {@link #enterBlockingCall} began; to be called when the call has returned or thrown. */
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
                addWorkersIfStalled();
            }
        }
    }

    /**
     * Adds a thread if turns are pending and all threads have been busy for too long. To be called periodically, since
     * all threads may be blocked while no further turn is submitted.
     */
    public void checkForStall() {
        synchronized (pendingTurns) {
            if (!pendingTurns.isEmpty() && idleWorkers == 0) {
                addWorkersIfStalled();
            }
        }
    }

    /**
     * Adds a thread if no thread has started a turn for {@link #STALLED_AFTER_NANOS}, and as many as are missing to the
     * core size of unblocked ones. Many turns may be about to block, so the more have blocked, the more are added at
     * once. The caller holds the monitor.
     */
    private void addWorkersIfStalled() {
        long nowNanos = System.nanoTime();
        int blocked = blockedWorkers(nowNanos);
        int unblocked = workers.size() - blocked;
        int missing = Math.max(CORE_THREADS, Math.min(blocked, MAX_ADDED_AT_ONCE)) - unblocked;
        int stalled = nowNanos - lastProgressNanos >= STALLED_AFTER_NANOS ? 1 : 0;
        int count = Math.min(Math.max(missing, stalled), pendingTurns.size());
        for (int i = 0; i < count && workers.size() < MAX_THREADS; i++) {
            if (!addWorker(nowNanos)) {
                return;
            }
        }
    }

    /**
     * Adds a thread. If there is no memory for it, returns false, and the pending turns wait for the existing threads;
     * the error is thrown only if there are none. The caller holds the monitor.
     */
    private boolean addWorker(long nowNanos) {
        try {
            Worker worker = new Worker(this::runTurns);
            worker.start();
            workers.add(worker);
            budget.threadStarted();
            lastProgressNanos = nowNanos;
            return true;
        } catch (OutOfMemoryError e) {
            // The list holds only started threads, so the pool is consistent and they will run the pending turns.
            if (workers.isEmpty()) {
                throw e;
            }
            return false;
        }
    }

    private int blockedWorkers(long nowNanos) {
        int count = 0;
        for (Worker worker : workers) {
            if (worker.isBlocked(nowNanos)) {
                count++;
            }
        }
        return count;
    }

    private void runTurns() {
        for (Runnable turn = nextTurn(); turn != null; turn = nextTurn()) {
            turn.run();
        }
    }

    /** Waits for the next turn. Returns null if this thread is beyond the core size and its idle time is over. */
    private Runnable nextTurn() {
        synchronized (pendingTurns) {
            long untilNanos = System.nanoTime() + KEEP_ALIVE_NANOS;
            while (pendingTurns.isEmpty()) {
                long leftNanos = untilNanos - System.nanoTime();
                if (leftNanos <= 0 && workers.size() > CORE_THREADS) {
                    workers.remove(Thread.currentThread());
                    budget.threadEnded();
                    return null;
                }
                idleWorkers++;
                try {
                    pendingTurns.wait(waitMillis(leftNanos));
                } catch (InterruptedException e) {
                    untilNanos = System.nanoTime(); // Not expected; the loop tests its conditions again.
                } finally {
                    idleWorkers--;
                }
            }
            Runnable turn = pendingTurns.poll();
            lastProgressNanos = System.nanoTime();
            return turn;
        }
    }

    /** The timeout of one wait. A core thread whose idle time is over waits for another full interval. */
    private static long waitMillis(long leftNanos) {
        return leftNanos <= 0 ? KEEP_ALIVE_NANOS / NANOS_PER_MILLI : leftNanos / NANOS_PER_MILLI + 1;
    }
}
