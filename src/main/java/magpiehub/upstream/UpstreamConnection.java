package magpiehub.upstream;

import magpiehub.concurrent.ActorThreadPool;
import magpiehub.concurrent.CachedThreadPool;
import magpiehub.concurrent.Mailbox;
import magpiehub.streaming.StreamFlow;

/**
 * One connection to an upstream, as the pool, the timer and the socket's reader see it; {@link ConnectionActor} does
 * its work. It carries out one attempt at a time.
 *
 * <p>After an attempt that leaves the socket open the connection is idle and can be assigned another one. A connection
 * outlives its socket: if the upstream has closed it meanwhile, a new one is opened for the next attempt. It ends when
 * the pool posts {@link ConnectionMessage.Discharged}.
 *
 * <p><b>Threads.</b> Each section names the thread that its methods are for.
 */
final class UpstreamConnection {
    /** The time of a timer that is not set. */
    static final long NEVER = Long.MAX_VALUE;

    /** Bytes of events that may wait in the mailbox; a complete response is far smaller. */
    private static final int MAILBOX_BYTES = 512 * 1024;

    /** What the pool is told about its connections, on the dispatcher's thread. */
    interface Listener {
        /** The connection's attempt is over; {@code reusable} says whether its socket is still open. */
        void onReleased(UpstreamConnection connection, boolean reusable);

        /** The connection's socket was closed while it had no attempt. */
        void onClosedWhileIdle(UpstreamConnection connection);
    }

    private final String endpointId;
    private final Mailbox<ConnectionMessage> mailbox;
    private final ConnectionActor actor;

    // The dispatcher's thread alone uses these two.
    private boolean assigned;
    private long releasedAtMicros;

    // Written by the actor alone.
    private volatile long timerDueMicros = NEVER;
    /** Requests written on the current socket: a response without a request is none. */
    private volatile int requestsWritten;
    /** The flow of the current request, to which the reader counts what it reads. */
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

    /** Gives the actor its turns on a pool's threads. To be called once, before the first message. */
    void attach(ActorThreadPool threadPool) {
        mailbox.attach(threadPool, actor::runTurn);
    }

    /** Starts an attempt. The connection must not have another one. */
    void assign(UpstreamAttempt newAttempt) {
        assigned = true;
        newAttempt.assignTo(this);
        post(new ConnectionMessage.AttemptStarted(newAttempt));
    }

    /** Records that the attempt is over. */
    void markReleased() {
        assigned = false;
    }

    /** Records that the connection has become idle. */
    void markIdle(long nowMicros) {
        releasedAtMicros = nowMicros;
    }

    boolean isAssigned() {
        return assigned;
    }

    /** When the connection last became idle. */
    long releasedAtMicros() {
        return releasedAtMicros;
    }

    // ---- Any thread -----------------------------------------------------------------------------------

    String endpointId() {
        return endpointId;
    }

    /** Adds a message without payload to the mailbox; ignored after the connection has ended. */
    void post(ConnectionMessage message) {
        mailbox.post(message);
    }

    /** Adds a message once the mailbox has capacity for its payload; false if the connection has ended. */
    boolean postBlocking(ConnectionMessage message, int bytes) throws InterruptedException {
        return mailbox.postBlocking(message, bytes);
    }

    /** When the connection is to be woken by {@link ConnectionMessage.TimerDue}. */
    long timerDueMicros() {
        return timerDueMicros;
    }

    /** The number of requests written on the current socket. */
    int requestsWritten() {
        return requestsWritten;
    }

    /** The flow of the request written last. */
    StreamFlow flow() {
        return flow;
    }

    // ---- The actor's turns ----------------------------------------------------------------------------

    /** Returns the next message, or null if there is none. */
    ConnectionMessage poll() {
        return mailbox.poll();
    }

    /** Refuses all messages from now on. */
    void closeMailbox() {
        mailbox.close();
    }

    /** Sets the time at which the connection is to be woken. */
    void wakeAt(long dueMicros) {
        timerDueMicros = dueMicros;
    }

    /** Records that a new socket takes the place of the one before. */
    void recordNewSocket() {
        requestsWritten = 0;
    }

    /** Records a request that is about to be written: before a response can arrive, whose reader counts by it. */
    @SuppressWarnings("NonAtomicVolatileUpdate") // Only the connection's own turns write the count.
    void recordRequest(StreamFlow requestFlow) {
        flow = requestFlow;
        requestsWritten++;
    }
}
