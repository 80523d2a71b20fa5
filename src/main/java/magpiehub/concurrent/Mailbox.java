package magpiehub.concurrent;

import java.util.ArrayDeque;
import java.util.ArrayList;

/**
 * A mailbox, the clock that its owner waits by, and the threads that empty it: one of its own, or those of a
 * {@link Crew} where actors are many and mostly have nothing to do. It owns the order in which messages reach
 * one actor: first in, first out, whoever posts. It must never drop a message and go on: what does not fit
 * into its bytes ends the peer, through {@link #post} answering false, and what is posted to a closed mailbox
 * is refused in the same way. Nothing in here blocks a poster, but for the reader of the very peer that the
 * mailbox belongs to, where it asks for that.
 */
public final class Mailbox<M> {
    /** Whole microseconds on a clock that only goes forward. */
    public interface Clock {
        long micros();

        /** Waits on a monitor that the caller holds until notified or until this clock may have reached a
         *  time; by whole milliseconds, so that it may return one late. A monitor, not the library's
         *  Condition: a timed wait there that is over while its signaller stands still between two steps
         *  looks again and again until that one goes on, which never comes where one thread runs at a
         *  time. */
        default void await(Object monitor, long until) throws InterruptedException {
            monitor.wait(until == Long.MAX_VALUE ? 0 : Math.max(1, (until - micros() + 999) / 1000));
        }

        /** The machine's monotonic clock. It starts far from zero: to the module, 0 is 'long ago'. */
        Clock SYSTEM = new Clock() {
            private final long start = System.nanoTime();

            @Override
            public long micros() {
                return (System.nanoTime() - start) / 1000 + 1_000_000_000_000L;
            }
        };
    }

    /** Bytes of a thread's stack. */
    private static final int STACK = 160 * 1024;

    private record Entry<T>(T message, int bytes) {}

    /** Also the monitor of all that follows: the owner waits on it for messages, a reader for room. */
    private final ArrayDeque<Entry<M>> queue = new ArrayDeque<>(4);

    private final Clock clock;
    private final long most;
    private long held;
    private boolean closed;
    private Crew crew;
    private Runnable turn;
    private boolean underWay;

    /**
     * The threads that actors without one of their own take their turns on. A thread costs the process each
     * time that it is stopped and continued, so there are few; one more comes when none has been free for a
     * while, since a turn may block on a peer that does not read. It must never run one actor twice at once:
     * its mailbox sees to that.
     */
    public static final class Crew {
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
                super(null, body, "actor", STACK);
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

    /** Gives the actor its turns on a crew: called whenever there is something to {@link #poll}, never twice
     *  at once. A turn is to take all there is, and must not throw. */
    public void attach(Crew threads, Runnable actorsTurn) {
        synchronized (queue) {
            crew = threads;
            turn = actorsTurn;
        }
    }

    private boolean due() {
        boolean start = turn != null && !underWay;
        underWay |= start;
        return start;
    }

    private void turns() {
        while (true) {
            turn.run();
            synchronized (queue) {
                if (queue.isEmpty()) {
                    underWay = false;
                    return;
                }
            }
        }
    }

    /** A mailbox that holds at most so many bytes of payload. */
    public Mailbox(Clock clock, long most) {
        this.clock = clock;
        this.most = most;
    }

    /** False if the message does not fit or the mailbox is closed: then its peer is to be ended. */
    public boolean post(M message, int bytes) {
        boolean start;
        synchronized (queue) {
            if (closed || held + bytes > most) {
                return false;
            }
            start = put(message, bytes);
        }
        if (start) {
            crew.execute(this::turns);
        }
        return true;
    }

    private boolean put(M message, int bytes) {
        held += bytes;
        queue.add(new Entry<>(message, bytes));
        queue.notifyAll(); // The owner and a reader may both be waiting.
        return due();
    }

    /** For a peer's own reader: waits until there is room, so that only what that peer sends is held back. A
     *  single message larger than the mailbox goes in alone. False once the mailbox is closed. */
    public boolean postWhenRoom(M message, int bytes) throws InterruptedException {
        boolean start;
        synchronized (queue) {
            while (!closed && held > 0 && held + bytes > most) {
                queue.wait();
            }
            if (closed) {
                return false;
            }
            start = put(message, bytes);
        }
        if (start) {
            crew.execute(this::turns);
        }
        return true;
    }

    /** A word that ends something: small, bounded in number by what it ends, and taken whatever is queued. */
    public boolean post(M message) {
        return post(message, 0);
    }

    /** The next message, or null once the clock has reached a time. */
    public M take(long until) throws InterruptedException {
        synchronized (queue) {
            while (queue.isEmpty() && clock.micros() < until) {
                clock.await(queue, until);
            }
            return unlockedPoll();
        }
    }

    /** The next message if one is there. */
    public M poll() {
        synchronized (queue) {
            return unlockedPoll();
        }
    }

    private M unlockedPoll() {
        Entry<M> e = queue.poll();
        if (e == null) {
            return null;
        }
        held -= e.bytes;
        queue.notifyAll();
        return e.message;
    }

    /** Takes nothing more. What is queued stays for its owner to read. */
    public void close() {
        synchronized (queue) {
            closed = true;
            queue.notifyAll();
        }
    }

    /** A platform thread with a small stack; stacks are the largest part of what a connection costs. */
    public static Thread thread(String name, Runnable body) {
        Thread t = new Thread(null, body, name, STACK);
        t.setDaemon(true);
        return t;
    }
}
