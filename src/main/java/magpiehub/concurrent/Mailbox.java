package magpiehub.concurrent;

import java.util.ArrayDeque;

/**
 * The FIFO message queue of an actor, bounded by the total payload size of the queued messages. The actor either has a
 * thread of its own, which waits in {@link #take}, or is scheduled in turns on a shared {@link ActorThreadPool} through
 * {@link #attach}, which suits large numbers of mostly idle actors.
 *
 * <p>A message is never dropped silently: {@link #post} returns false if the message does not fit or the mailbox is
 * closed, and the caller has to close the connection that the message belongs to.
 *
 * <p><b>Threads.</b> Any thread may post or close. {@link #take} and {@link #poll} are for the actor, that is for one
 * thread at a time. Of the methods that post, only {@link #postBlocking} blocks.
 *
 * <p><b>Locking.</b> The monitor of {@link #queue} guards all other fields. Apart from the clock, no code outside this
 * class runs while it is held; in particular, a turn is submitted to the pool after the monitor was released, so that
 * the pool's monitor is never acquired inside of it. Waiting threads are woken by {@code notifyAll}, because the actor
 * (waiting for messages) and a reader (waiting for capacity) may wait at the same time.
 *
 * @param <M> the type of the messages
 */
public final class Mailbox<M> {
    /** Small, since most mailboxes belong to connections: there are many of them, with few messages queued. */
    private static final int INITIAL_CAPACITY = 4;

    private record Entry<T>(T message, int bytes) {}

    private final ArrayDeque<Entry<M>> queue = new ArrayDeque<>(INITIAL_CAPACITY);
    private final MonotonicClock clock;
    private final long maxBytes;
    private long queuedBytes;
    private boolean closed;
    private ActorThreadPool threadPool;
    private Runnable turn;
    /** Whether a turn is running or has been submitted to the pool. */
    private boolean turnActive;

    /**
     * Creates an empty mailbox.
     *
     * @param clock the clock for the time-outs of {@link #take}
     * @param maxBytes the capacity in payload bytes; with 0, only messages without payload fit
     */
    public Mailbox(MonotonicClock clock, long maxBytes) {
        this.clock = clock;
        this.maxBytes = maxBytes;
    }

    /**
     * Schedules the actor on a thread pool: {@code actorTurn} is called after a message was posted, and again until the
     * mailbox is empty, but never concurrently. A turn has to call {@link #poll} and must not throw. To be called
     * before the first message is posted.
     */
    public void attach(ActorThreadPool pool, Runnable actorTurn) {
        synchronized (queue) {
            threadPool = pool;
            turn = actorTurn;
        }
    }

    /**
     * Adds a message without payload. It fits regardless of the capacity, so the number of such messages has to be
     * bounded by other means, such as the number of requests that they start or end.
     *
     * @return false if the mailbox is closed
     */
    public boolean post(M message) {
        return post(message, 0);
    }

    /**
     * Adds a message with a payload of the given size.
     *
     * @return false if the message does not fit or the mailbox is closed; the caller then has to close the connection
     *     that the message belongs to
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
            threadPool.execute(this::runTurn);
        }
        return true;
    }

    /**
     * Waits until there is capacity for a message, then adds it. For the thread that reads from one peer: waiting
     * applies back-pressure to that peer alone. A message larger than the capacity is added once no payload is queued.
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
            threadPool.execute(this::runTurn);
        }
        return true;
    }

    /** Waits for the next message until the clock reaches {@code untilMicros}; returns null if there is none. */
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

    /** Whether no message is queued. */
    public boolean isEmpty() {
        synchronized (queue) {
            return queue.isEmpty();
        }
    }

    /** Rejects all further messages. Queued messages can still be taken. */
    public void close() {
        synchronized (queue) {
            closed = true;
            queue.notifyAll();
        }
    }

    /** Adds a message. Returns whether the caller has to submit a turn to the pool. The caller holds the monitor. */
    private boolean enqueue(M message, int bytes) {
        queuedBytes += bytes;
        queue.add(new Entry<>(message, bytes));
        queue.notifyAll();
        return claimTurn();
    }

    /** Removes the next message, or returns null. The caller holds the monitor. */
    private M dequeue() {
        Entry<M> entry = queue.poll();
        if (entry == null) {
            return null;
        }
        queuedBytes -= entry.bytes;
        queue.notifyAll();
        return entry.message;
    }

    /** Claims the turn if the actor runs on a pool and no turn is active. The caller holds the monitor. */
    private boolean claimTurn() {
        boolean claimed = turn != null && !turnActive;
        turnActive |= claimed;
        return claimed;
    }

    /** Runs one turn on a pool thread, and submits another one if the mailbox is not empty after it. */
    private void runTurn() {
        turn.run();
        synchronized (queue) {
            if (queue.isEmpty()) {
                turnActive = false;
                return;
            }
        }
        threadPool.execute(this::runTurn);
    }
}
