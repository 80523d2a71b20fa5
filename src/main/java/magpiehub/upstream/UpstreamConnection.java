package magpiehub.upstream;

import magpiehub.concurrent.ActorThreadPool;
import magpiehub.concurrent.CachedThreadPool;
import magpiehub.concurrent.Mailbox;
import magpiehub.streaming.StreamFlow;

/**
 * One connection to an upstream: the interface for the pool, the timer and the socket's reader. {@link ConnectionActor}
 * implements its behavior. It serves one attempt at a time.
 *
 * <p>After an attempt that leaves the socket open, the connection is idle and can be assigned another one. A connection
 * outlives its socket: if the upstream has closed the socket in the meantime, a new one is opened for the next attempt.
 * The connection ends when the pool posts {@link ConnectionMessage.RemovedFromPool}.
 *
 * <p><b>Threads.</b> Each section names the thread that may call its methods.
 */
final class UpstreamConnection {
    /** The expiry time of a timer that is not set. */
    static final long NEVER = Long.MAX_VALUE;

    /** Capacity of the mailbox in bytes of events; a complete response is far smaller. */
    private static final int MAILBOX_BYTES = 512 * 1024;

    /** Notifies the pool of changes to its connections, on the dispatcher's thread. */
    interface Listener {
        /** The connection's attempt is over; {@code reusable} tells whether its socket is still open. */
        void onReleased(UpstreamConnection connection, boolean reusable);

        /** The connection's socket was closed while it had no attempt. */
        void onClosedWhileIdle(UpstreamConnection connection);
    }

    private final String endpointId;
    private final Mailbox<ConnectionMessage> mailbox;
    private final ConnectionActor actor;

    // Confined to the dispatcher's thread.
    private boolean assigned;

    // Written by the actor only.
    private volatile long timerDueMicros = NEVER;
    /** The progress on the current or last socket. */
    private volatile SocketProgress progress = new SocketProgress();
    /** The flow of the current request, to which the reader accounts the bytes that it reads. */
    private volatile StreamFlow flow;

    UpstreamConnection(
            String endpointId,
            UpstreamContext context,
            CachedThreadPool readers,
            ConnectionTimer timer,
            Listener listener) {
        this.endpointId = endpointId;
        this.mailbox = new Mailbox<>(context.clock(), MAILBOX_BYTES);
        this.actor = new ConnectionActor(this, context, readers, timer, listener);
    }

    // ---- The dispatcher's thread ----------------------------------------------------------------------

    /** Runs the actor on a thread pool. Must be called once, before the first message. */
    void attach(ActorThreadPool threadPool) {
        mailbox.attach(threadPool, actor::runTurn);
    }

    /** Starts an attempt. The connection must not have another attempt in progress. */
    void assign(UpstreamAttempt newAttempt) {
        assigned = true;
        newAttempt.assignTo(this);
        post(new ConnectionMessage.AttemptStarted(newAttempt));
    }

    /** Records that the attempt is over. */
    void markReleased() {
        assigned = false;
    }

    boolean isAssigned() {
        return assigned;
    }

    // ---- Any thread -----------------------------------------------------------------------------------

    String endpointId() {
        return endpointId;
    }

    /** Posts a message without payload; ignored once the mailbox is closed. */
    void post(ConnectionMessage message) {
        mailbox.post(message);
    }

    /** Posts a message once the mailbox has capacity for its payload; returns false if the mailbox is closed. */
    boolean postBlocking(ConnectionMessage message, int bytes) throws InterruptedException {
        return mailbox.postBlocking(message, bytes);
    }

    /** The time at which {@link ConnectionMessage.TimerDue} is to be posted. */
    long timerDueMicros() {
        return timerDueMicros;
    }

    /** The progress on the current socket, or on the last one if there is none. */
    SocketProgress progress() {
        return progress;
    }

    /** The flow of the last request written. */
    StreamFlow flow() {
        return flow;
    }

    // ---- The connection's actor ------------------------------------------------------------------------

    /** Returns the next message, or null if there is none. */
    ConnectionMessage poll() {
        return mailbox.poll();
    }

    /** Whether more messages have been posted. */
    boolean hasMessages() {
        return !mailbox.isEmpty();
    }

    /** Rejects all further messages. */
    void closeMailbox() {
        mailbox.close();
    }

    /** Sets the expiry time of the connection's timer. */
    void wakeAt(long dueMicros) {
        timerDueMicros = dueMicros;
    }

    /** Records that a new socket replaces the previous one, and returns the progress on it. */
    SocketProgress recordNewSocket() {
        SocketProgress newProgress = new SocketProgress();
        progress = newProgress;
        return newProgress;
    }

    /** Records a request that is about to be written. */
    void recordRequest(StreamFlow requestFlow) {
        flow = requestFlow;
        progress.recordRequest();
    }
}
