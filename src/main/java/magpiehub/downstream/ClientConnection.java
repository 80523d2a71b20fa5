package magpiehub.downstream;

import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicBoolean;
import magpiehub.concurrent.Mailbox;
import magpiehub.http.Sockets;
import magpiehub.streaming.StreamClient;
import magpiehub.streaming.StreamFlow;
import magpiehub.streaming.StreamOutcome;

/**
 * One client's connection, as all threads see it: its socket, its mailbox, and the state that the accepting thread and
 * the monitor read to choose which connections to close. All else is known to the {@link ClientConnectionActor} alone.
 *
 * <p><b>Threads.</b> All methods may be called from any thread, except the setters, whose comments name their callers.
 * No lock is held anywhere; what one thread writes and others read is volatile.
 *
 * <p>The connection is closed orderly by its actor alone. {@link #cut} closes the socket under the actor, which ends
 * in its next turn; this is for clients that do not read, on whom the actor may be blocked in a write.
 */
final class ClientConnection implements StreamClient, EvictionCandidate {
    /**
     * When a client that has connected must have sent its first request completely, whether it sends nothing, a head
     * without end or half a request: it is owed an error within 3 s.
     */
    private static final long FIRST_REQUEST_TIMEOUT_MICROS = 2_500_000;

    private final Socket socket;
    private final ListenerServices services;
    private final Mailbox<ClientMessage> mailbox;
    private final ClientConnectionActor actor;
    private final ClientRequestReader reader;
    private final AtomicBoolean cut = new AtomicBoolean();
    private volatile long idleSinceMicros;
    private volatile boolean receivedRequest;
    private volatile boolean receiving;
    private volatile boolean toldToClose;
    /**
     * The client's end was read, or the connection is closed: nothing more may begin for it. Set by whoever learns it
     * first, ahead of the message that goes through mailboxes.
     */
    private volatile boolean clientGone;
    /** When the monitor posts a {@link ClientMessage.TimerExpired}. */
    private volatile long timerMicros;

    /**
     * A connection that does nothing until {@link #start}.
     *
     * @param overCapacity whether it is only answered that it is rejected
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

    /** Adds this to the open connections and gives its actor turns; to be called once, by the accepting thread. */
    void start() {
        services.connections().add(this);
        mailbox.attach(services.actorThreads(), actor::runTurn);
    }

    /** Starts the reader; to be called once. Without memory for its thread the connection ends, and this throws. */
    void startReader() {
        try {
            services.readerThreads().execute(reader::run);
        } catch (OutOfMemoryError e) {
            mailbox.post(new ClientMessage.Disconnected());
            throw e;
        }
    }

    /**
     * Starts the reader if the first byte is here.
     *
     * @return false if it has to be awaited; true also if the connection has ended meanwhile
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

    /** Posts a message; one that does not fit ends this client: it does not read, and no event may be left out. */
    void post(ClientMessage message, int bytes) {
        if (!mailbox.post(message, bytes)) {
            cutAfterOverflow();
        }
    }

    /** Posts a message without payload, which fits as long as the connection has not ended. */
    void postAlways(ClientMessage message) {
        mailbox.post(message);
    }

    /** Posts a request; false if it does not fit, or the connection has ended. */
    boolean postRequest(ClientMessage.RequestReceived request) {
        return mailbox.post(request, request.body().length);
    }

    /** Posts that the timer has expired, if it has. */
    void checkTimer(long nowMicros) {
        if (timerMicros <= nowMicros) {
            mailbox.post(new ClientMessage.TimerExpired());
        }
    }

    @Override
    public void evictIfIdle() {
        toldToClose = true;
        mailbox.post(new ClientMessage.EvictIfIdle());
    }

    @Override
    public void closeIfIdle() {
        toldToClose = true;
        mailbox.post(new ClientMessage.CloseIfIdle());
    }

    // ---- Closing under the actor ----------------------------------------------------------------------

    /** Closes the socket at once: the stream's budget is exceeded, or its client has not read for too long. */
    @Override
    public void disconnect() {
        cutOnce();
    }

    /** Cuts the connection if its client has read nothing of a stream for longer than its request's class allows. */
    void cutIfStalled(long nowMicros, long leastMicros, StreamOutcome ending) {
        StreamFlow flow = actor.responseFlow();
        if (flow != null && services.streams().detectClientStall(flow, nowMicros, leastMicros, ending)) {
            disconnect();
        }
    }

    /** Cuts and counts, unless the connection has ended by itself: then what is posted to it is no overflow. */
    void cutAfterOverflow() {
        if (!socket.isClosed() && cutOnce()) {
            services.eventLog().count("client_overflows");
        }
    }

    /** A thread that is blocked in a write is woken by the close; false if this has been done before. */
    private boolean cutOnce() {
        boolean first = cut.compareAndSet(false, true);
        if (first) {
            clientGone = true;
            Sockets.closeQuietly(socket);
            mailbox.post(new ClientMessage.Disconnected());
        }
        return first;
    }

    /** For the reader: the client has gone. Counted unless the connection was closed from this side. */
    void inputEnded() {
        if (!clientGone) {
            clientGone = true;
            services.eventLog().count("clients_left");
        }
        mailbox.post(new ClientMessage.Disconnected());
    }

    // ---- State that several threads read --------------------------------------------------------------

    boolean isClientGone() {
        return clientGone;
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
    public boolean isToldToClose() {
        return toldToClose;
    }

    /** For the reader: whether a request is arriving. */
    void setReceiving(boolean value) {
        receiving = value;
    }

    /** For the actor: since when no request is in progress, or {@link #BUSY}. */
    void setIdleSinceMicros(long micros) {
        idleSinceMicros = micros;
    }

    /** For the actor: a complete request has arrived. */
    void markRequestReceived() {
        receivedRequest = true;
    }

    /** For the actor: it has decided on an {@link ClientMessage.EvictIfIdle}. */
    void clearToldToClose() {
        toldToClose = false;
    }

    /** For the actor, when it ends. */
    void markClientGone() {
        clientGone = true;
    }

    /** For the actor: when the timer expires. */
    long timerMicros() {
        return timerMicros;
    }

    /** For the actor: sets the timer. */
    void setTimerMicros(long micros) {
        timerMicros = micros;
    }
}
