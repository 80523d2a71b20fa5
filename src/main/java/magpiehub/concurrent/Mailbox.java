package magpiehub.concurrent;

import java.util.ArrayDeque;

/**
 * A mailbox, the clock that its owner waits by, and the threads that empty it: one of its own, or those of a
 * {@link ActorThreadPool} where actors are many and mostly have nothing to do. It owns the order in which messages reach
 * one actor: first in, first out, whoever posts. It must never drop a message and go on: what does not fit
 * into its bytes ends the peer, through {@link #post} answering false, and what is posted to a closed mailbox
 * is refused in the same way. Nothing in here blocks a poster, but for the reader of the very peer that the
 * mailbox belongs to, where it asks for that.
 */
public final class Mailbox<M> {

    /** Bytes of a thread's stack. */
    static final int STACK = 160 * 1024;

    private record Entry<T>(T message, int bytes) {}

    /** Also the monitor of all that follows: the owner waits on it for messages, a reader for room. */
    private final ArrayDeque<Entry<M>> queue = new ArrayDeque<>(4);

    private final MonotonicClock clock;
    private final long most;
    private long held;
    private boolean closed;
    private ActorThreadPool crew;
    private Runnable turn;
    private boolean underWay;

    /** Gives the actor its turns on a crew: called whenever there is something to {@link #poll}, never twice
     *  at once. A turn is to take all there is, and must not throw. */
    public void attach(ActorThreadPool threads, Runnable actorsTurn) {
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
    public Mailbox(MonotonicClock clock, long most) {
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
