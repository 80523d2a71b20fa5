package magpiehub.downstream;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayDeque;
import magpiehub.concurrent.Mailbox;
import magpiehub.http.Http;
import magpiehub.http.Sockets;
import magpiehub.protocol.ProtocolAdapter;
import magpiehub.streaming.StreamOutcomes.Ending;
import magpiehub.streaming.Streams;

/**
 * The actor of one connection: it owns the exchange in progress and the requests behind it, alone writes to the socket,
 * and decides how the connection is closed (see {@link ConnectionCloseState}). A request is answered at most once, and
 * the end of a stream is written only if the stream is complete.
 *
 * <p><b>Threads.</b> {@link #runTurn} is called on the actors' threads, never on two at once; a turn may block while the
 * client does not read. Everything else is private to it, except {@link #responseFlow}, which any thread may call.
 */
final class ClientConnectionActor implements ClientMessage.Handler {
    /** Requests that a client may have sent ahead of their answers. */
    private static final int MAX_PIPELINED_REQUESTS = 4;
    /** How long a connection that is being closed waits for its client's end, so that no reset destroys the answer. */
    private static final long LINGER_MICROS = 1_000_000;

    private static final long LINGER_WHEN_CROWDED_MICROS = 200_000;
    /** What a client that is rejected for capacity is told to wait before it retries. */
    private static final long REJECTION_RETRY_AFTER_MICROS = 500_000;
    /**
     * When a client that has closed its sending side is first sent a sign of life, which the system answers with a reset
     * if the client has gone: soon, since only the write after that meets the reset.
     */
    private static final long FIRST_KEEP_ALIVE_MICROS = 20_000;

    private static final long KEEP_ALIVE_PERIOD_MICROS = 1_000_000;
    private static final long NO_TIMER = Long.MAX_VALUE;

    private static final int REQUEST_TIMED_OUT = 408;
    private static final int INTERNAL_ERROR = 500;
    private static final int UNAVAILABLE = 503;

    private final ClientConnection connection;
    private final Socket socket;
    private final Mailbox<ClientMessage> mailbox;
    private final ListenerServices services;
    private final ResponseWriter writer;
    private final ConnectionCloseState close;
    private final ArrayDeque<ClientMessage.RequestReceived> pipelined = new ArrayDeque<>(2);
    /** The exchange in progress, or null. */
    private ClientExchange current;
    /** What the request in progress has reserved of the body budget. */
    private int reservedBytes;
    /** The client has closed its sending side while a request was in progress. */
    private boolean halfClosed;
    /** A handler has failed. */
    private boolean failed;
    /** The resources are released; further messages are dropped. */
    private boolean released;

    ClientConnectionActor(
            ClientConnection connection,
            Socket socket,
            boolean overCapacity,
            Mailbox<ClientMessage> mailbox,
            ListenerServices services) {
        this.connection = connection;
        this.socket = socket;
        this.mailbox = mailbox;
        this.services = services;
        this.writer = new ResponseWriter(services.streams());
        this.close = new ConnectionCloseState(overCapacity, services.drain());
    }

    /** The stream whose bytes are being written, or null. Any thread. */
    Streams.Flow responseFlow() {
        return writer.flow();
    }

    // ---- Turns ----------------------------------------------------------------------------------------

    /** Handles the messages in the mailbox and writes the answers. */
    void runTurn() {
        if (!released) {
            try {
                handleMessages(socket.getOutputStream());
            } catch (IOException e) {
                close.endNow(); // The client has gone while it was written to.
            } catch (RuntimeException | StackOverflowError | OutOfMemoryError e) {
                services.eventLog().count("client_exceptions");
                services.eventLog().log("client-exception", "error", e.toString());
                failed = true;
                answerAfterFailure();
                close.endNow();
            }
        }
        if (close.isEnded()) {
            closeConnection();
        }
    }

    private void handleMessages(OutputStream out) throws IOException {
        ClientMessage message = mailbox.poll();
        while (message != null && !close.isEnded()) {
            handleUntilFlush(message);
            writer.flush(out);
            writer.reportWritten(current == null ? null : current.flow());
            updateAfterWrite();
            message = mailbox.poll();
        }
    }

    /** Handles messages, from the given one on, until the mailbox is empty or what is buffered has to be written. */
    private void handleUntilFlush(ClientMessage first) {
        ClientMessage message = first;
        while (message != null && !close.isEnded()) {
            message.deliverTo(this);
            message = writer.acceptsMore() ? mailbox.poll() : null;
        }
    }

    private void updateAfterWrite() throws IOException {
        if (close.isLingering() && !socket.isOutputShutdown()) {
            socket.shutdownOutput();
            setTimer(services.connections().isCrowded() ? LINGER_WHEN_CROWDED_MICROS : LINGER_MICROS);
        } else if (connection.hasReceivedRequest() && !close.isLingering() && !halfClosed) {
            connection.setTimerMicros(NO_TIMER);
        }
    }

    private void setTimer(long delayMicros) {
        connection.setTimerMicros(services.clock().micros() + delayMicros);
    }

    /** After a failure: a request that was accepted and not begun to be answered still gets an answer. */
    private void answerAfterFailure() {
        try {
            if (current != null && current.isPending()) {
                writer.writeInstead(socket.getOutputStream(), () -> writeError(INTERNAL_ERROR, "internal error", 0));
            }
        } catch (IOException e) {
            // Nobody is left to answer.
        }
    }

    // ---- Requests -------------------------------------------------------------------------------------

    @Override
    public void onRequestReceived(ClientMessage.RequestReceived message) {
        connection.markRequestReceived();
        if (current == null && !close.isLingering()) {
            begin(message);
        } else if (pipelined.size() < MAX_PIPELINED_REQUESTS) {
            pipelined.add(message);
        } else {
            // No ordinary client sends so many ahead: the one in progress is answered, then the connection ends.
            close.closeAfterAnswer();
            services.bodyBudget().release(message.reservedBytes());
        }
    }

    private void begin(ClientMessage.RequestReceived request) {
        reservedBytes = request.reservedBytes();
        connection.setIdleSinceMicros(EvictionCandidate.BUSY);
        if (request.head().closes() || services.connections().isCrowded()) {
            close.closeAfterAnswer();
        }
        boolean lastAnswer = close.isLastAnswer();
        String method = request.head().start[0];
        String path = request.head().start[1];
        if (StatusResources.handles(path)) {
            services.statusResources().answer(writer.output(), method, path, lastAnswer);
            completeAnswer(lastAnswer);
        } else if (close.isOverCapacity()) {
            writeError(UNAVAILABLE, "no room", REJECTION_RETRY_AFTER_MICROS);
            completeAnswer(true);
        } else {
            submit(request, lastAnswer);
        }
    }

    /** Hands a request to the dispatcher; one that is malformed or finds no capacity is answered at once. */
    private void submit(ClientMessage.RequestReceived request, boolean lastAnswer) {
        ProtocolAdapter.Call call;
        try {
            call = services.protocol().read(request.head(), request.body(), request.firstByteMicros());
        } catch (Http.Bad e) {
            services.eventLog().count("malformed_requests");
            writeError(e.status, e.getMessage(), 0);
            completeAnswer(true);
            return;
        }
        Streams.Flow flow = services.streams()
                .open(call.request.classIndex(), call.request.tenantIndex(), call.request.id(), connection);
        if (flow == null) {
            reject(call, lastAnswer);
            return;
        }
        current = new ClientExchange(connection, call, flow);
        writer.openStream(flow);
        call.sink(current);
        if (!services.dispatcher().submit(call.request, current, call, request.body().length)) {
            services.streams().end(flow, Ending.FAULT);
            writer.withdrawStream();
            reject(call, lastAnswer);
        }
    }

    private void reject(ProtocolAdapter.Call call, boolean lastAnswer) {
        services.eventLog().count("answered_refused");
        services.eventLog().count("requests_shed");
        call.refused(writer.output(), REJECTION_RETRY_AFTER_MICROS, lastAnswer);
        completeAnswer(lastAnswer);
    }

    /** Writes an answer that is not an exchange's; it announces the close. */
    private void writeError(int status, String reason, long retryAfterMicros) {
        services.protocol().error(writer.output(), status, reason, retryAfterMicros, true);
    }

    /** An answer is buffered completely: closes the connection orderly, or goes on with the next request. */
    private void completeAnswer(boolean lastAnswer) {
        endExchange();
        connection.setIdleSinceMicros(services.clock().micros());
        services.bodyBudget().release(reservedBytes);
        reservedBytes = 0;
        if (lastAnswer) {
            close.linger();
        } else if (!pipelined.isEmpty()) {
            begin(pipelined.poll());
        }
    }

    private void endExchange() {
        if (current != null) {
            current.markEnded();
            current = null;
        }
    }

    @Override
    public void onMalformedRequest(ClientMessage.MalformedRequest message) {
        services.eventLog().count("malformed_requests");
        if (current == null && !close.isLingering()) {
            int status = message.status();
            writeError(status, message.reason(), status == UNAVAILABLE ? REJECTION_RETRY_AFTER_MICROS : 0);
            close.linger();
        } else {
            // Behind a request in progress: that one is answered, then the connection ends.
            close.closeAfterAnswer();
        }
    }

    // ---- The response ---------------------------------------------------------------------------------
    // Messages of an exchange that is not the one in progress are ignored: it has been answered already.

    @Override
    public void onStreamEvent(ClientMessage.StreamEvent message) {
        if (message.exchange() == current) {
            ensureHeadWritten();
            current.writeEvent(writer.output(), message.bytes());
            writer.addStreamBytes(message.bytes().length);
        }
    }

    @Override
    public void onStreamCompleted(ClientMessage.StreamCompleted message) {
        if (message.exchange() == current) {
            ensureHeadWritten();
            current.writeEnd(writer.output(), close.isLastAnswer());
            writer.endStream(Ending.WHOLE);
            completeAnswer(close.isLastAnswer());
        }
    }

    private void ensureHeadWritten() {
        if (current.isPending()) {
            current.writeHead(writer.output(), close.isLastAnswer());
        }
    }

    @Override
    public void onStreamBroken(ClientMessage.StreamBroken message) {
        if (message.exchange() != current) {
            return;
        }
        writer.endStream(message.ending());
        boolean mayEndInOrder = message.ending() != Ending.MOVED && message.error() == null;
        if (mayEndInOrder && current.writeIncompleteEnd(writer.output(), close.isLastAnswer())) {
            writer.endStream(Ending.INCOMPLETE);
            completeAnswer(close.isLastAnswer());
            return;
        }
        // The end of the connection without the stream's end tells the client that the stream is not complete.
        current.writeBroken(writer.output(), message.error());
        endExchange();
        close.endNow();
    }

    @Override
    public void onRequestRejected(ClientMessage.RequestRejected message) {
        if (message.exchange() == current) {
            current.writeRejection(writer.output(), message.retryAfterMicros(), close.isLastAnswer());
            completeWithoutStream();
        }
    }

    @Override
    public void onRequestFailed(ClientMessage.RequestFailed message) {
        if (message.exchange() == current) {
            current.writeFailure(writer.output(), message.reason(), close.isLastAnswer());
            completeWithoutStream();
        }
    }

    /** If the request has become a stream all the same, it ends by a fault; one that has not has no ending. */
    private void completeWithoutStream() {
        writer.endStream(Ending.FAULT);
        completeAnswer(close.isLastAnswer());
    }

    // ---- Closing --------------------------------------------------------------------------------------

    /** Ends at once: nothing that is written would arrive. */
    @Override
    public void onDisconnected(ClientMessage.Disconnected message) {
        close.endNow();
    }

    /**
     * With a request in progress, answers it last, and sends signs of life meanwhile, which find out whether the client
     * still reads. Without one, ends at once: the client can neither ask nor be owed anything.
     */
    @Override
    public void onInputHalfClosed(ClientMessage.InputHalfClosed message) {
        halfClosed = current != null && !close.isLingering();
        if (!halfClosed) {
            close.endNow();
        }
        close.closeAfterAnswer();
        sendKeepAlive(FIRST_KEEP_ALIVE_MICROS);
    }

    /**
     * After lingering for long enough, ends; after a half-close, asks for another sign that the client reads; and if no
     * request has come in time, answers that.
     */
    @Override
    public void onTimerExpired(ClientMessage.TimerExpired message) {
        if (services.clock().micros() < connection.timerMicros()) {
            return; // Set to a later time since the message was posted.
        }
        connection.setTimerMicros(NO_TIMER);
        if (close.isLingering()) {
            close.endNow();
        } else if (halfClosed) {
            sendKeepAlive(KEEP_ALIVE_PERIOD_MICROS);
        } else if (!connection.hasReceivedRequest()) {
            services.eventLog().count("clients_without_request");
            onMalformedRequest(new ClientMessage.MalformedRequest(REQUEST_TIMED_OUT, "no request in time"));
        }
    }

    /** Writes what a client that has gone answers with a reset, and sets the timer for the next time. */
    private void sendKeepAlive(long nextMicros) {
        if (current != null) {
            current.writeKeepAlive(writer.output());
        }
        setTimer(nextMicros);
    }

    /**
     * Closes an idle connection since capacity is needed. A request that has begun to arrive meanwhile keeps it, unless
     * the client has never sent a complete one: that connection ends at once.
     */
    @Override
    public void onEvictIfIdle(ClientMessage.EvictIfIdle message) {
        connection.clearToldToClose();
        if (!isIdle()) {
            return;
        }
        if (!connection.hasReceivedRequest()) {
            services.eventLog().count("clients_silent_closed");
            close.endNow();
            return;
        }
        closeIdle();
        if (close.isLingering()) {
            services.eventLog().count("clients_idle_closed");
        }
    }

    /** Closes an idle connection since clients are sent away. */
    @Override
    public void onCloseIfIdle(ClientMessage.CloseIfIdle message) {
        if (isIdle()) {
            closeIdle();
        }
    }

    private boolean isIdle() {
        return current == null && pipelined.isEmpty() && !close.isLingering();
    }

    /**
     * Lingers, unless a request has begun to arrive: that one gets its answer, which is the last. A close over bytes
     * that nobody has read would reset the connection.
     */
    private void closeIdle() {
        boolean arriving = connection.isReceiving();
        try {
            arriving |= socket.getInputStream().available() > 0;
        } catch (IOException e) {
            close.endNow();
            return;
        }
        if (arriving) {
            close.closeAfterAnswer();
        } else {
            close.linger();
        }
    }

    /** Closes the socket, and releases what the connection holds, once; later messages are dropped. */
    private void closeConnection() {
        connection.markClientGone();
        Sockets.closeQuietly(socket);
        mailbox.close();
        dropMessages();
        if (released) {
            return;
        }
        released = true;
        services.bodyBudget().release(reservedBytes);
        for (ClientMessage.RequestReceived request : pipelined) {
            services.bodyBudget().release(request.reservedBytes());
        }
        endStreams(failed ? Ending.FAULT : Ending.READER_LEFT);
        if (current != null) {
            services.dispatcher().clientGone(current.requestId());
        }
        services.connections().remove(connection);
    }

    private void dropMessages() {
        ClientMessage message = mailbox.poll();
        while (message != null) {
            if (message instanceof ClientMessage.RequestReceived request) {
                services.bodyBudget().release(request.reservedBytes());
            }
            message = mailbox.poll();
        }
    }

    /** Ends the stream that was being written, whose own ending was not, and the one of the request in progress. */
    private void endStreams(Ending ending) {
        Streams.Flow written = writer.flow();
        if (written != null) {
            services.streams().end(written, ending);
        }
        if (current != null && current.flow() != written) {
            services.streams().end(current.flow(), ending);
        }
    }
}
