package magpiehub.downstream;

import java.io.IOException;
import java.net.Socket;
import magpiehub.http.HttpException;
import magpiehub.protocol.ProtocolExchange;
import magpiehub.streaming.StreamFlow;
import magpiehub.streaming.StreamOutcome;

/**
 * What a connection's actor does for each message: it starts and answers the exchanges of the connection, one at a time
 * and in the order of the requests, and decides how the connection is closed (see {@link ConnectionCloseState}). A
 * request is answered at most once, and the end of a stream is written only if the stream is complete.
 *
 * <p>Nothing is written to the socket here; answers are added to the {@link ResponseWriter}'s buffer, which the actor
 * flushes. All methods are for the actor's turns and do not block.
 */
final class ClientMessageHandler implements ClientMessage.Handler {
    /** How long a connection that is being closed waits for its client's end, so that no reset destroys the answer. */
    private static final long LINGER_MICROS = 1_000_000;

    private static final long LINGER_WHEN_CROWDED_MICROS = 200_000;
    /** What a client that is rejected for capacity is told to wait before it retries. */
    private static final long REJECTION_RETRY_AFTER_MICROS = 500_000;
    /**
     * When a client that has closed its sending side is first sent a sign of life, which the system answers with a
     * reset if the client has gone: soon, since only the write after that meets the reset.
     */
    private static final long FIRST_KEEP_ALIVE_MICROS = 20_000;

    private static final long KEEP_ALIVE_PERIOD_MICROS = 1_000_000;
    private static final long NO_TIMER = Long.MAX_VALUE;

    private static final int REQUEST_TIMED_OUT = 408;
    private static final int INTERNAL_ERROR = 500;
    private static final int UNAVAILABLE = 503;

    private final ClientConnection connection;
    private final Socket socket;
    private final ListenerServices services;
    private final ResponseWriter writer;
    private final ConnectionCloseState close;
    private final PipelinedRequests requests;
    /** The exchange in progress, or null. */
    private ClientExchange current;
    /** The client has closed its sending side while a request was in progress. */
    private boolean halfClosed;

    ClientMessageHandler(
            ClientConnection connection,
            Socket socket,
            ListenerServices services,
            ResponseWriter writer,
            ConnectionCloseState close) {
        this.connection = connection;
        this.socket = socket;
        this.services = services;
        this.writer = writer;
        this.close = close;
        this.requests = new PipelinedRequests(services.bodyBudget());
    }

    // ---- Called by the actor --------------------------------------------------------------------------

    /** The stream of the request in progress, or null. */
    StreamFlow currentFlow() {
        return current == null ? null : current.flow();
    }

    /**
     * To be called when the socket has taken the whole buffer: begins to linger if the last answer was in it, and else
     * stops the timer, unless signs of life are due.
     */
    void onBufferWritten() throws IOException {
        if (close.isLingering() && !socket.isOutputShutdown()) {
            socket.shutdownOutput();
            setTimer(services.connections().isCrowded() ? LINGER_WHEN_CROWDED_MICROS : LINGER_MICROS);
        } else if (connection.hasReceivedRequest() && !close.isLingering() && !halfClosed) {
            connection.setTimerMicros(NO_TIMER);
        }
    }

    /**
     * After a handler has failed, buffers an error answer in place of all else if the request in progress was not begun
     * to be answered.
     *
     * @return whether there is anything to write
     */
    boolean answerAfterFailure() {
        if (current == null || !current.isPending()) {
            return false;
        }
        writer.discard();
        writeError(INTERNAL_ERROR, "internal error", 0);
        return true;
    }

    /** Releases what the connection holds, and ends its streams; to be called once, when it is closed. */
    void release(StreamOutcome ending) {
        requests.releaseAll();
        endStreams(ending);
        if (current != null) {
            services.dispatcher().clientDisconnected(current.requestId());
        }
    }

    /** Ends the stream that was being written, whose own ending was not, and the one of the request in progress. */
    private void endStreams(StreamOutcome ending) {
        StreamFlow written = writer.flow();
        if (written != null) {
            services.streams().endStream(written, ending);
        }
        if (current != null && current.flow() != written) {
            services.streams().endStream(current.flow(), ending);
        }
    }

    // ---- Requests -------------------------------------------------------------------------------------

    @Override
    public void onRequestReceived(ClientMessage.RequestReceived message) {
        connection.markRequestReceived();
        if (current == null && !close.isLingering()) {
            begin(message);
        } else if (!requests.offer(message)) {
            // No ordinary client sends so many ahead: the one in progress is answered, then the connection ends.
            close.closeAfterAnswer();
            requests.drop(message);
        }
    }

    private void begin(ClientMessage.RequestReceived request) {
        requests.start(request);
        connection.setIdleSinceMicros(EvictionCandidate.BUSY);
        if (request.head().closesConnection() || services.connections().isCrowded()) {
            close.closeAfterAnswer();
        }
        boolean lastAnswer = close.isLastAnswer();
        String method = request.head().method();
        String path = request.head().target();
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
        ProtocolExchange call;
        try {
            call = services.protocol().readRequest(request.head(), request.body(), request.firstByteMicros());
        } catch (HttpException e) {
            services.eventLog().count("malformed_requests");
            writeError(e.status(), e.getMessage(), 0);
            completeAnswer(true);
            return;
        }
        StreamFlow flow = services.streams()
                .openStream(
                        call.request().classIndex(),
                        call.request().tenantIndex(),
                        call.request().id(),
                        connection);
        if (flow == null) {
            reject(call, lastAnswer);
            return;
        }
        current = new ClientExchange(connection, call, flow);
        writer.openStream(flow);
        call.setStreamListener(current);
        if (!services.dispatcher().submit(call.request(), current, call, request.body().length)) {
            services.streams().endStream(flow, StreamOutcome.INTERNAL_ERROR);
            writer.withdrawStream();
            reject(call, lastAnswer);
        }
    }

    private void reject(ProtocolExchange call, boolean lastAnswer) {
        services.eventLog().count("answered_refused");
        services.eventLog().count("requests_shed");
        call.writeRejection(writer.output(), REJECTION_RETRY_AFTER_MICROS, lastAnswer);
        completeAnswer(lastAnswer);
    }

    /** Writes an answer that is not an exchange's; it announces the close. */
    private void writeError(int status, String reason, long retryAfterMicros) {
        services.protocol().writeError(writer.output(), status, reason, retryAfterMicros, true);
    }

    /** An answer is buffered completely: closes the connection orderly, or goes on with the next request. */
    private void completeAnswer(boolean lastAnswer) {
        endExchange();
        connection.setIdleSinceMicros(services.clock().micros());
        requests.finishStarted();
        if (lastAnswer) {
            close.linger();
        } else if (!requests.isEmpty()) {
            begin(requests.poll());
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
            writer.endStream(StreamOutcome.COMPLETE);
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
        boolean mayEndInOrder = message.ending() != StreamOutcome.MIGRATED && message.error() == null;
        if (mayEndInOrder && current.writeIncompleteEnd(writer.output(), close.isLastAnswer())) {
            writer.endStream(StreamOutcome.INCOMPLETE);
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
        writer.endStream(StreamOutcome.INTERNAL_ERROR);
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

    private void setTimer(long delayMicros) {
        connection.setTimerMicros(services.clock().micros() + delayMicros);
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
        return current == null && requests.isEmpty() && !close.isLingering();
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
}
