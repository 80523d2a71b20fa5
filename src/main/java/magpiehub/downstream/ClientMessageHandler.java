package magpiehub.downstream;

import java.io.IOException;
import java.net.Socket;
import magpiehub.http.HttpException;
import magpiehub.protocol.ProtocolExchange;
import magpiehub.streaming.StreamFlow;
import magpiehub.streaming.StreamOutcome;

/**
 * Handles the messages of a connection's actor: starts and answers the connection's exchanges, one at a time and in the
 * order of the requests, and decides how the connection is closed (see {@link ConnectionCloseState}). A request gets at
 * most one response, and the end of a stream is written only if the stream is complete.
 *
 * <p>Nothing is written to the socket here; responses are appended to the buffer of the {@link ResponseWriter}, which
 * the actor flushes. All methods are called by the actor only and do not block.
 */
final class ClientMessageHandler implements ClientMessage.Handler {
    /**
     * How long a closing connection waits for the end of the client's input, so that no reset destroys the response.
     */
    private static final long LINGER_MICROS = 1_000_000;

    private static final long LINGER_ABOVE_SOFT_LIMIT_MICROS = 200_000;
    /** The {@code Retry-After} of requests rejected for lack of capacity. */
    private static final long REJECTION_RETRY_AFTER_MICROS = 500_000;
    /**
     * The delay of the first keep-alive after the client has closed its sending side. The operating system of a client
     * that has gone answers it with a reset, which only the write after that detects; hence the short delay.
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
    private final ConnectionCloseState closeState;
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
            ConnectionCloseState closeState) {
        this.connection = connection;
        this.socket = socket;
        this.services = services;
        this.writer = writer;
        this.closeState = closeState;
        this.requests = new PipelinedRequests(services.bodyBudget());
    }

    // ---- Called by the actor --------------------------------------------------------------------------

    /** Returns the stream of the request in progress, or null. */
    StreamFlow currentFlow() {
        return current == null ? null : current.flow();
    }

    /**
     * Called when the whole buffer has been written to the socket: starts to linger if the last response was in it, and
     * otherwise stops the timer unless keep-alives are due.
     */
    void onBufferWritten() throws IOException {
        if (closeState.isLingering() && !socket.isOutputShutdown()) {
            socket.shutdownOutput();
            setTimer(services.connections().exceedsSoftLimit() ? LINGER_ABOVE_SOFT_LIMIT_MICROS : LINGER_MICROS);
        } else if (connection.hasReceivedRequest() && !closeState.isLingering() && !halfClosed) {
            connection.setTimerMicros(NO_TIMER);
        }
    }

    /**
     * Called after a handler has thrown: replaces the buffer with an error response if the response to the request in
     * progress has not begun.
     *
     * @return whether there is anything to write
     */
    boolean respondAfterFailure() {
        if (current == null || !current.isPending()) {
            return false;
        }
        writer.discard();
        writeError(INTERNAL_ERROR, "internal error", 0);
        return true;
    }

    /** Releases the connection's resources and ends its streams. Called once, when the connection is closed. */
    void release(StreamOutcome outcome) {
        requests.releaseAll();
        endStreams(outcome);
        if (current != null) {
            services.dispatcher().clientDisconnected(current.requestId(), current);
        }
    }

    /** Ends the stream whose bytes or end have not been written completely, and that of the request in progress. */
    private void endStreams(StreamOutcome outcome) {
        StreamFlow written = writer.flow();
        if (written != null) {
            services.streams().endStream(written, outcome);
        }
        if (current != null && current.flow() != written) {
            services.streams().endStream(current.flow(), outcome);
        }
    }

    // ---- Requests -------------------------------------------------------------------------------------

    @Override
    public void onRequestReceived(ClientMessage.RequestReceived message) {
        connection.markRequestReceived();
        if (current == null && !closeState.isLingering()) {
            begin(message);
        } else if (!requests.offer(message)) {
            // No ordinary client pipelines so many requests: the one in progress is answered, then the connection ends.
            closeState.closeAfterResponse();
            connection.ignoreInput();
            requests.drop(message);
        }
    }

    private void begin(ClientMessage.RequestReceived request) {
        requests.start(request);
        connection.setIdleSinceMicros(EvictionCandidate.BUSY);
        if (request.head().closesConnection() || services.connections().exceedsSoftLimit()) {
            closeState.closeAfterResponse();
        }
        boolean lastResponse = closeState.isLastResponse();
        String method = request.head().method();
        String path = request.head().target();
        if (StatusResources.handles(path)) {
            services.statusResources().writeResponse(writer.output(), method, path, lastResponse);
            completeResponse(lastResponse);
        } else if (closeState.isOverCapacity()) {
            writeError(UNAVAILABLE, "no room", REJECTION_RETRY_AFTER_MICROS);
            completeResponse(true);
        } else {
            submit(request, lastResponse);
        }
    }

    /** Submits a request to the dispatcher; one that is malformed or exceeds the capacity is answered at once. */
    private void submit(ClientMessage.RequestReceived request, boolean lastResponse) {
        ProtocolExchange protocolExchange;
        try {
            protocolExchange =
                    services.protocol().readRequest(request.head(), request.body(), request.firstByteMicros());
        } catch (HttpException e) {
            services.eventLog().count("malformed_requests");
            writeError(e.status(), e.getMessage(), 0);
            completeResponse(true);
            return;
        }
        if (services.actorThreads().budget().isExhausted(services.dispatcher().openRequests())) {
            services.eventLog().count("requests_shed_for_threads");
            reject(protocolExchange, lastResponse);
            return;
        }
        StreamFlow flow = services.streams()
                .openStream(
                        protocolExchange.request().classIndex(),
                        protocolExchange.request().tenantIndex(),
                        protocolExchange.request().id(),
                        connection);
        if (flow == null) {
            reject(protocolExchange, lastResponse);
            return;
        }
        current = new ClientExchange(connection, protocolExchange, flow);
        writer.openStream(flow);
        protocolExchange.setStreamListener(current);
        if (!services.dispatcher()
                .submit(protocolExchange.request(), current, protocolExchange, request.body().length)) {
            services.streams().endStream(flow, StreamOutcome.INTERNAL_ERROR);
            writer.cancelStream();
            reject(protocolExchange, lastResponse);
        }
    }

    private void reject(ProtocolExchange protocolExchange, boolean lastResponse) {
        services.eventLog().count("answered_refused");
        services.eventLog().count("requests_shed");
        protocolExchange.writeRejection(writer.output(), REJECTION_RETRY_AFTER_MICROS, lastResponse);
        completeResponse(lastResponse);
    }

    /** Writes an error response outside of an exchange; it announces that the connection is closed. */
    private void writeError(int status, String reason, long retryAfterMicros) {
        services.protocol().writeError(writer.output(), status, reason, retryAfterMicros, true);
    }

    /**
     * Called once a response is completely in the buffer: starts to close the connection, or begins the next request.
     */
    private void completeResponse(boolean lastResponse) {
        endExchange();
        connection.setIdleSinceMicros(services.clock().micros());
        requests.finishStarted();
        if (lastResponse) {
            closeState.linger();
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
        if (current == null && !closeState.isLingering()) {
            int status = message.status();
            writeError(status, message.reason(), status == UNAVAILABLE ? REJECTION_RETRY_AFTER_MICROS : 0);
            closeState.linger();
        } else {
            // Pipelined after a request in progress: that one is answered, then the connection ends.
            closeState.closeAfterResponse();
        }
    }

    // ---- The response ---------------------------------------------------------------------------------
    // Messages of an exchange that is no longer in progress are ignored: its response is already complete.

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
            current.writeEnd(writer.output(), closeState.isLastResponse());
            writer.endStream(StreamOutcome.COMPLETE);
            completeResponse(closeState.isLastResponse());
        }
    }

    private void ensureHeadWritten() {
        if (current.isPending()) {
            current.writeHead(writer.output(), closeState.isLastResponse());
        }
    }

    @Override
    public void onStreamFailed(ClientMessage.StreamFailed message) {
        if (message.exchange() != current) {
            return;
        }
        writer.endStream(message.outcome());
        boolean canEndNormally = message.outcome() != StreamOutcome.MIGRATED && message.errorEvent() == null;
        if (canEndNormally && current.writeIncompleteEnd(writer.output(), closeState.isLastResponse())) {
            writer.endStream(StreamOutcome.INCOMPLETE);
            completeResponse(closeState.isLastResponse());
            return;
        }
        // The end of the connection without the stream's end tells the client that the stream is incomplete.
        current.writeStreamFailure(writer.output(), message.errorEvent());
        endExchange();
        closeState.endNow();
    }

    @Override
    public void onRequestRejected(ClientMessage.RequestRejected message) {
        if (message.exchange() == current) {
            current.writeRejection(writer.output(), message.retryAfterMicros(), closeState.isLastResponse());
            completeWithoutStream();
        }
    }

    @Override
    public void onRequestFailed(ClientMessage.RequestFailed message) {
        if (message.exchange() == current) {
            current.writeFailure(writer.output(), message.reason(), closeState.isLastResponse());
            completeWithoutStream();
        }
    }

    /**
     * Completes a response other than a stream. If the request has become a stream nevertheless, the stream ends with
     * an internal error; one that has not become a stream has no outcome.
     */
    private void completeWithoutStream() {
        writer.endStream(StreamOutcome.INTERNAL_ERROR);
        completeResponse(closeState.isLastResponse());
    }

    // ---- Closing --------------------------------------------------------------------------------------

    /** Ends the connection at once: nothing written now would arrive. */
    @Override
    public void onDisconnected(ClientMessage.Disconnected message) {
        closeState.endNow();
    }

    /**
     * With a request in progress, makes its response the last, and sends keep-alives meanwhile to detect whether the
     * client still reads. Without one, ends the connection at once: the client can neither send a request nor expect a
     * response.
     */
    @Override
    public void onInputHalfClosed(ClientMessage.InputHalfClosed message) {
        halfClosed = current != null && !closeState.isLingering();
        if (!halfClosed) {
            closeState.endNow();
        }
        closeState.closeAfterResponse();
        sendKeepAlive(FIRST_KEEP_ALIVE_MICROS);
    }

    /**
     * Ends the connection if it has lingered for long enough; after a half-close, sends the next keep-alive; if no
     * complete request has arrived in time, answers with an error.
     */
    @Override
    public void onTimerExpired(ClientMessage.TimerExpired message) {
        if (services.clock().micros() < connection.timerMicros()) {
            return; // The timer was set to a later time after the message was posted.
        }
        connection.setTimerMicros(NO_TIMER);
        if (closeState.isLingering()) {
            closeState.endNow();
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

    /** Writes a keep-alive, which a client that has gone answers with a reset, and sets the timer for the next one. */
    private void sendKeepAlive(long nextMicros) {
        if (current != null) {
            current.writeKeepAlive(writer.output());
        }
        setTimer(nextMicros);
    }

    /**
     * Closes an idle connection because capacity is needed. A request that has begun to arrive meanwhile keeps the
     * connection open, unless the client has never sent a complete one: that connection ends at once.
     */
    @Override
    public void onEvictIfIdle(ClientMessage.EvictIfIdle message) {
        connection.clearCloseRequest();
        if (!isIdle()) {
            return;
        }
        if (!connection.hasReceivedRequest()) {
            services.eventLog().count("clients_silent_closed");
            closeState.endNow();
            return;
        }
        closeIdle();
        if (closeState.isLingering()) {
            services.eventLog().count("clients_idle_closed");
        }
    }

    /** Closes an idle connection because the listener is draining. */
    @Override
    public void onCloseIfIdle(ClientMessage.CloseIfIdle message) {
        if (isIdle()) {
            closeIdle();
        }
    }

    private boolean isIdle() {
        return current == null && requests.isEmpty() && !closeState.isLingering();
    }

    /**
     * Lingers, unless a request has begun to arrive: that one is answered, and its response is the last. Closing a
     * socket with unread input would reset the connection.
     */
    private void closeIdle() {
        boolean arriving = connection.isReceiving();
        try {
            arriving |= socket.getInputStream().available() > 0;
        } catch (IOException e) {
            closeState.endNow();
            return;
        }
        if (arriving) {
            closeState.closeAfterResponse();
        } else {
            closeState.linger();
        }
    }
}
