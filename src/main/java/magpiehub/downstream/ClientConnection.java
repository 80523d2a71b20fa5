package magpiehub.downstream;

import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicBoolean;
import magpiehub.concurrent.Mailbox;
import magpiehub.http.Sockets;
import magpiehub.streaming.StreamClient;
import magpiehub.streaming.StreamFlow;
import magpiehub.streaming.StreamOutcome;

/**
 * One client's connection as all threads see it: its socket, its mailbox, and the state that the accepting thread and
 * the monitor read to select connections to close. All other state is private to the {@link ClientConnectionActor}.
 *
 * <p><b>Threads.</b> All methods may be called from any thread, except the setters, whose comments name their callers.
 * No lock is held; fields that one thread writes and others read are volatile.
 *
 * <p>Only the actor closes the connection gracefully. {@link #disconnect} closes the socket without the actor, which
 * ends in its next turn; this is for clients that do not read, because the actor may be blocked in a write to them.
 */
final class ClientConnection implements StreamClient, EvictionCandidate {
    /**
     * The time limit for the complete first request after the connection was accepted, whether the client sends
     * nothing, an endless head or half a request: it must get an error response within 3 s.
     */
    private static final long FIRST_REQUEST_TIMEOUT_MICROS = 2_500_000;

    /** The requests that may wait for the actor; then the reader waits, so that the client is not read from. */
    private static final int MAX_UNHANDLED_REQUESTS = 8;

    private final Semaphore requestPermits = new Semaphore(MAX_UNHANDLED_REQUESTS);
    private final Socket socket;
    private final ListenerServices services;
    private final Mailbox<ClientMessage> mailbox;
    private final ClientConnectionActor actor;
    private final ClientRequestReader reader;
    private final AtomicBoolean disconnected = new AtomicBoolean();
    private volatile long idleSinceMicros;
    private volatile boolean receivedRequest;
    private volatile boolean receiving;
    private volatile boolean closeRequested;
    /**
     * The end of the client's input was read, or the connection is closed: no new work may start for it. Set by the
     * first thread to detect it, before the corresponding message passes through the mailboxes.
     */
    private volatile boolean clientDisconnected;
    /** Further requests are not answered. */
    private volatile boolean ignoresInput;
    /** When the monitor is to post a {@link ClientMessage.TimerExpired}. */
    private volatile long timerMicros;

    /**
     * Creates a connection that does nothing until {@link #start}.
     *
     * @param overCapacity whether requests on it are only answered with a rejection
     */
    ClientConnection(Socket socket, boolean overCapacity, ListenerServices services) {
        this.socket = socket;
        this.services = services;
        this.mailbox = new Mailbox<>(services.clock(), services.mailboxBytes());
        this.idleSinceMicros = services.clock().micros();
        this.timerMicros = idleSinceMicros + FIRST_REQUEST_TIMEOUT_MICROS;
        this.actor = new ClientConnectionActor(this, socket, overCapacity, mailbox, services);
        this.reader = new ClientRequestReader(this, socket, services);
    }

    /**
     * Adds this to the open connections and attaches the actor to its thread pool. Called once, by the accepting
     * thread.
     */
    void start() {
        services.connections().add(this);
        mailbox.attach(services.actorThreads(), actor::runTurn);
    }

    /**
     * Starts the reader. Called once. If there is no memory for its thread, the connection ends and the error is
     * rethrown.
     */
    void startReader() {
        try {
            services.readerThreads().execute(reader::run);
        } catch (OutOfMemoryError e) {
            mailbox.post(new ClientMessage.Disconnected());
            throw e;
        }
    }

    /**
     * Starts the reader if the first byte has arrived.
     *
     * @return false if the first byte is still awaited; true also if the connection has ended meanwhile
     */
    boolean startReaderIfReadable() {
        try {
            if (!socket.isClosed() && socket.getInputStream().available() == 0) {
                return false;
            }
            if (!socket.isClosed()) {
                startReader();
            }
        } catch (IOException | OutOfMemoryError e) {
            mailbox.post(new ClientMessage.Disconnected());
        }
        return true;
    }

    // ---- Messages to the actor ------------------------------------------------------------------------

    /**
     * Posts a message. If it does not fit, the client is disconnected: it does not read, and no event may be skipped.
     */
    void post(ClientMessage message, int bytes) {
        if (!mailbox.post(message, bytes)) {
            disconnectAfterOverflow();
        }
    }

    /** Posts a message without payload, which always fits unless the connection has ended. */
    void postControl(ClientMessage message) {
        mailbox.post(message);
    }

    /**
     * Posts a request once the actor has taken most of the earlier ones: a client may send requests faster than they
     * are handled. Returns false if it does not fit or the connection has ended.
     */
    boolean postRequest(ClientMessage.RequestReceived request) throws InterruptedException {
        requestPermits.acquire();
        return mailbox.post(request, request.body().length);
    }

    /** Posts a {@link ClientMessage.TimerExpired} if the timer has expired. */
    void checkTimer(long nowMicros) {
        if (timerMicros <= nowMicros) {
            mailbox.post(new ClientMessage.TimerExpired());
        }
    }

    @Override
    public void evictIfIdle() {
        closeRequested = true;
        mailbox.post(new ClientMessage.EvictIfIdle());
    }

    @Override
    public void closeIfIdle() {
        closeRequested = true;
        mailbox.post(new ClientMessage.CloseIfIdle());
    }

    // ---- Closing without the actor ---------------------------------------------------------------------

    /** Closes the socket at once: the stream's buffer budget is exceeded, or its client has not read for too long. */
    @Override
    public void disconnect() {
        closeSocketOnce();
    }

    /**
     * Disconnects the client if it has read nothing of its stream for longer than allowed.
     *
     * @param maxStallMicros the longest stall allowed, where it is shorter than that of the request's class
     * @param cause the outcome of the stream in that case
     */
    void disconnectIfStalled(long nowMicros, long maxStallMicros, StreamOutcome cause) {
        StreamFlow flow = actor.responseFlow();
        if (flow != null && services.streams().detectClientStall(flow, nowMicros, maxStallMicros, cause)) {
            disconnect();
        }
    }

    /**
     * Disconnects the client and counts the overflow, unless the connection has already ended: a message that is
     * refused after that is no overflow.
     */
    void disconnectAfterOverflow() {
        if (!socket.isClosed() && closeSocketOnce()) {
            services.eventLog().count("client_overflows");
        }
    }

    /** Closes the socket, which wakes a thread blocked in a write; returns false if this was done before. */
    private boolean closeSocketOnce() {
        boolean first = disconnected.compareAndSet(false, true);
        if (first) {
            clientDisconnected = true;
            Sockets.closeQuietly(socket);
            mailbox.post(new ClientMessage.Disconnected());
        }
        return first;
    }

    /**
     * Called by the reader when the client has disconnected. Counted unless the connection was closed from this side.
     */
    void onInputEnded() {
        if (!clientDisconnected) {
            clientDisconnected = true;
            services.eventLog().count("clients_left");
        }
        mailbox.post(new ClientMessage.Disconnected());
    }

    // ---- State shared between threads ------------------------------------------------------------------

    boolean isClientDisconnected() {
        return clientDisconnected;
    }

    @Override
    public long idleSinceMicros() {
        return idleSinceMicros;
    }

    @Override
    public boolean hasReceivedRequest() {
        return receivedRequest;
    }

    @Override
    public boolean isReceiving() {
        return receiving;
    }

    @Override
    public boolean isCloseRequested() {
        return closeRequested;
    }

    /** Called by the reader: whether a request is being received. */
    void setReceiving(boolean value) {
        receiving = value;
    }

    /** Called by the actor: since when no request has been in progress, or {@link #BUSY}. */
    void setIdleSinceMicros(long micros) {
        idleSinceMicros = micros;
    }

    /** Called by the actor when it takes a request. */
    void markRequestReceived() {
        receivedRequest = true;
        requestPermits.release();
    }

    /** Called by the actor: no further request will be answered, so that the reader need not read them. */
    void ignoreInput() {
        ignoresInput = true;
    }

    boolean ignoresInput() {
        return ignoresInput;
    }

    /** Called by the actor when it closes the connection: the reader must not wait for it any more. */
    void releaseReader() {
        requestPermits.release(MAX_UNHANDLED_REQUESTS);
    }

    /** Called by the actor when it handles an {@link ClientMessage.EvictIfIdle}. */
    void clearCloseRequest() {
        closeRequested = false;
    }

    /** Called by the actor when it closes the connection. */
    void markClientDisconnected() {
        clientDisconnected = true;
    }

    /** Called by the actor: when the timer expires. */
    long timerMicros() {
        return timerMicros;
    }

    /** Called by the actor: sets the timer. */
    void setTimerMicros(long micros) {
        timerMicros = micros;
    }
}
