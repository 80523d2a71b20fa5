package magpiehub.concurrent;

import java.util.ArrayDeque;

/**
 * An actor's queue of messages, first in, first out, bounded by the bytes of the messages' payload. The actor either
 * has a thread of its own, which waits in {@link #take}, or is given turns on a shared {@link ActorThreadPool} through
 * {@link #attach}, which suits actors that are many and mostly idle.
 *
 * <p>A message is never dropped silently: {@link #post} returns false if the message does not fit or the mailbox is
 * closed, and the caller has to end the peer that the message concerns.
 *
 * <p><b>Threads.</b> Any thread may post or close. {@link #take} and {@link #poll} are for the actor, that is for one
 * thread at a time. Posting never blocks, but for {@link #postBlocking}.
 *
 * <p><b>Locking.</b> The monitor of {@link #queue} guards all other fields. No foreign code runs while it is held, but
 * for the clock; in particular a turn is handed to the pool after it was released, so that the pool's monitor is never
 * taken inside of it. All waits on the monitor are woken by {@code notifyAll}, since the actor, which waits for
 * messages, and a reader, which waits for capacity, may wait at the same time.
 *
 * @param <M> the type of the messages
 */
public final class Mailbox<M> {
    /** Most mailboxes belong to connections, which are many and have few messages waiting. */
    private static final int INITIAL_CAPACITY = 4;

    private record Entry<T>(T message, int bytes) {}

    private final ArrayDeque<Entry<M>> queue = new ArrayDeque<>(INITIAL_CAPACITY);
    private final MonotonicClock clock;
    private final long maxBytes;
    private long queuedBytes;
    private boolean closed;
    private ActorThreadPool threadPool;
    private Runnable turn;
    /** Whether a turn is running or was handed to the pool. */
    private boolean turnActive;

    /**
     * An empty mailbox.
     *
     * @param clock what {@link #take} waits by
     * @param maxBytes how many bytes of payload may be queued; with 0, messages without payload still fit
     */
    public Mailbox(MonotonicClock clock, long maxBytes) {
        this.clock = clock;
        this.maxBytes = maxBytes;
    }

    /**
     * Gives the actor turns on a pool's threads: {@code actorTurn} is called when a message was posted, and again until
     * the mailbox is empty, but never twice at the same time. A turn has to {@link #poll} and must not throw. To be
     * called before the first message is posted.
     */
    public void attach(ActorThreadPool pool, Runnable actorTurn) {
        synchronized (queue) {
            threadPool = pool;
            turn = actorTurn;
        }
    }

    /**
     * Adds a message that has no payload. It fits however full the mailbox is; such messages have to be few, bounded by
     * the number of things that they start or end.
     *
     * @return false if the mailbox is closed
     */
    public boolean post(M message) {
        return post(message, 0);
    }

    /**
     * Adds a message whose payload has so many bytes.
     *
     * @return false if the message does not fit or the mailbox is closed; the peer that it concerns is to be ended then
     */
    public boolean post(M message, int bytes) {
        boolean startTurn;
        synchronized (queue) {
            if (closed || queuedBytes + bytes > maxBytes) {
                return false;
            }
            startTurn = enqueue(message, bytes);
        }
        if (startTurn) {
            threadPool.execute(this::runTurns);
        }
        return true;
    }

    /**
     * Waits until there is capacity for a message, then adds it. Meant for the thread that reads from one peer: while
     * it waits, only what that peer sends is held back. A message larger than the whole mailbox is added once the
     * mailbox is empty.
     *
     * @return false if the mailbox is closed
     */
    public boolean postBlocking(M message, int bytes) throws InterruptedException {
        boolean startTurn;
        synchronized (queue) {
            while (!closed && queuedBytes > 0 && queuedBytes + bytes > maxBytes) {
                queue.wait();
            }
            if (closed) {
                return false;
            }
            startTurn = enqueue(message, bytes);
        }
        if (startTurn) {
            threadPool.execute(this::runTurns);
        }
        return true;
    }

    /** Returns the next message, waiting for it until the clock has reached a time; null if none has come by then. */
    public M take(long untilMicros) throws InterruptedException {
        synchronized (queue) {
            while (queue.isEmpty() && clock.micros() < untilMicros) {
                clock.await(queue, untilMicros);
            }
            return dequeue();
        }
    }

    /** Returns the next message, or null if there is none. */
    public M poll() {
        synchronized (queue) {
            return dequeue();
        }
    }

    /** Refuses all messages from now on. Those that are queued can still be taken. */
    public void close() {
        synchronized (queue) {
            closed = true;
            queue.notifyAll();
        }
    }

    /** With the monitor held: adds a message. Returns whether the caller has to hand a turn to the pool. */
    private boolean enqueue(M message, int bytes) {
        queuedBytes += bytes;
        queue.add(new Entry<>(message, bytes));
        queue.notifyAll();
        return claimTurn();
    }

    /** With the monitor held: removes the next message, or returns null. */
    private M dequeue() {
        Entry<M> entry = queue.poll();
        if (entry == null) {
            return null;
        }
        queuedBytes -= entry.bytes;
        queue.notifyAll();
        return entry.message;
    }

    /** With the monitor held: whether the actor runs on a pool and has no turn yet; it has one from then on. */
    private boolean claimTurn() {
        boolean claimed = turn != null && !turnActive;
        turnActive |= claimed;
        return claimed;
    }

    /** On a thread of the pool: runs turns until no message has arrived during the last one. */
    private void runTurns() {
        while (true) {
            turn.run();
            synchronized (queue) {
                if (queue.isEmpty()) {
                    turnActive = false;
                    return;
                }
            }
        }
    }
}
