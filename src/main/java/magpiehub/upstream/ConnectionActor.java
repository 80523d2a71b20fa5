package magpiehub.upstream;

import java.io.IOException;
import java.net.Socket;
import magpiehub.concurrent.CachedThreadPool;
import magpiehub.dispatch.RequestDispatcher;
import magpiehub.protocol.ProtocolAdapter;
import magpiehub.routing.AttemptOutcome;
import magpiehub.routing.LoadReport;
import magpiehub.streaming.StreamOutcomes;
import magpiehub.streaming.Streams;

/**
 * The actor of an {@link UpstreamConnection}: opens the socket, writes the request of the attempt in progress, and
 * forwards what the socket's {@link ResponseReader} reads once the dispatcher has granted the stream.
 *
 * <p>An attempt ends in {@link #reportEnd}, which tells the dispatcher, or in {@link #onAttemptAborted}, where the
 * dispatcher knows already. Bytes behind a complete response never count as the response to the next request: they end
 * the socket.
 *
 * <p><b>Threads.</b> Everything runs in the actor's turns, one at a time, on the shared thread pool. Nothing here
 * waits but for the write of a request.
 */
final class ConnectionActor implements ConnectionMessage.Handler {
    private static final long NEVER = UpstreamConnection.NEVER;
    private static final int STATUS_SERVICE_UNAVAILABLE = 503;
    private static final int STATUS_GATEWAY_TIMEOUT = 504;

    private final UpstreamConnection connection;
    private final String endpointId;
    private final UpstreamContext context;
    private final Streams streams;
    private final ConnectionLog log;
    private final CachedThreadPool readers;
    private final ConnectionTimer timer;
    private final UpstreamConnection.Listener listener;

    private final ConnectionSocket socket = new ConnectionSocket();
    private final ResponseState response = new ResponseState();
    /** The attempt in progress, or null. */
    private UpstreamAttempt attempt;
    /** The time at which the handling of the current message began. */
    private long nowMicros;

    private boolean discharged;
    private boolean reusable;
    private long idleSinceMicros;

    ConnectionActor(
            UpstreamConnection connection,
            UpstreamContext context,
            CachedThreadPool readers,
            ConnectionTimer timer,
            UpstreamConnection.Listener listener) {
        this.connection = connection;
        this.endpointId = connection.endpointId();
        this.context = context;
        this.streams = context.streams();
        this.log = new ConnectionLog(context.eventLog(), endpointId);
        this.readers = readers;
        this.timer = timer;
        this.listener = listener;
    }

    // ---- Turns and the timer ----------------------------------------------------------------------------

    /** Handles the messages that are waiting. */
    void runTurn() {
        for (ConnectionMessage message = connection.poll(); message != null; message = connection.poll()) {
            if (!discharged) {
                handle(message);
            } else if (message instanceof ConnectionMessage.EventReceived event) {
                drop(event);
            }
        }
    }

    private void handle(ConnectionMessage message) {
        nowMicros = context.clock().micros();
        try {
            message.deliverTo(this);
        } catch (RuntimeException | StackOverflowError | OutOfMemoryError e) {
            // Ends this attempt alone; the dispatcher is told that its connection was lost.
            log.failure(e);
            connectionLost(e.toString(), false);
        }
        if (!discharged) {
            connection.wakeAt(nextTimerMicros());
        }
    }

    private long nextTimerMicros() {
        if (attempt != null) {
            return response.isInProgress() ? silentUntilMicros() : NEVER;
        }
        return socket.isOpen() ? idleSinceMicros + context.settings().retireIdleAfterMicros() : NEVER;
    }

    private long silentUntilMicros() {
        return streams.silentUntil(
                connection.flow(),
                endpointId,
                context.settings().resumesStreams(),
                response.lastHeardMicros(),
                response.lastEventMicros(),
                nowMicros);
    }

    @Override
    public void onDischarged(ConnectionMessage.Discharged message) {
        discharged = true;
        socket.close();
        connection.closeMailbox();
        timer.remove(connection);
    }

    @Override
    public void onTimerDue(ConnectionMessage.TimerDue message) {
        if (nowMicros < connection.timerDueMicros()) {
            return;
        }
        if (attempt == null) {
            closeWhileIdle();
        } else if (response.isInProgress() && nowMicros >= silentUntilMicros()) {
            log.streamStalled();
            response.markStalled();
            connectionLost("silent", false);
        }
    }

    // ---- Sending a request ----------------------------------------------------------------------------

    @Override
    public void onAttemptStarted(ConnectionMessage.AttemptStarted message) {
        attempt = message.attempt();
        response.reset();
        if (!(attempt.attempt().payload() instanceof ProtocolAdapter.Call call)) {
            endAttempt(AttemptOutcome.CANCELLED);
            return;
        }
        response.setSink(call.sink());
        if (socket.isOpen() && hasEndpointMoved()) {
            socket.close();
        }
        if (!socket.isOpen()) {
            openSocket();
        } else if (attempt.attachSocket(socket.get())) {
            writeRequest();
        } else {
            socket.close();
            release(false);
        }
    }

    private boolean hasEndpointMoved() {
        UpstreamEndpoint endpoint = context.endpoints().find(endpointId);
        return endpoint != null && !socket.hostPort().equals(endpoint.hostPort());
    }

    /**
     * Returns the endpoint if it still accepts requests, since the list may have changed after the dispatcher's
     * decision. Returns null after having ended the attempt if it does not.
     */
    private UpstreamEndpoint usableEndpoint() {
        UpstreamEndpoint endpoint = context.endpoints().find(endpointId);
        if (endpoint != null && endpoint.isUsable()) {
            return endpoint;
        }
        log.drainedBeforeWrite();
        endAttempt(AttemptOutcome.CONNECT_FAILED);
        return null;
    }

    private void openSocket() {
        UpstreamEndpoint endpoint = usableEndpoint();
        if (endpoint == null) {
            return;
        }
        Socket newSocket = new Socket();
        if (!attempt.attachSocket(newSocket)) {
            release(false);
            return;
        }
        socket.replace(newSocket, endpoint.hostPort());
        connection.recordNewSocket();
        log.connecting();
        readers.execute(new ResponseReader(context, connection, newSocket, socket.hostPort()));
    }

    @Override
    public void onConnected(ConnectionMessage.Connected message) {
        if (socket.isCurrent(message.socket())) {
            socket.markConnected();
            writeRequest();
        }
    }

    /** Writes the request, unless the endpoint drains or the client has gone by now. */
    private void writeRequest() {
        if (usableEndpoint() == null) {
            return;
        }
        if (!(attempt.attempt().payload() instanceof ProtocolAdapter.Call call)) {
            endAttempt(AttemptOutcome.CANCELLED);
            return;
        }
        boolean reused = connection.requestsWritten() > 0;
        try {
            // Connecting may have taken a while since this turn began: the upstream is told what is left now.
            long timeLeftMicros =
                    attempt.attempt().deadlineMicros() - context.clock().micros();
            byte[] request = UpstreamRequest.encode(call, socket.hostPort(), timeLeftMicros);
            connection.recordRequest(response.sink().flow());
            socket.write(request);
        } catch (IOException e) {
            writeFailed(reused, e);
        }
    }

    private void writeFailed(boolean reused, IOException failure) {
        socket.close();
        if (!attempt.detachSocket()) {
            release(false);
        } else if (reused) {
            // The upstream had closed it while it was idle: the request was not executed.
            log.staleConnection();
            openSocket();
        } else {
            connectFailed(failure.toString());
        }
    }

    private void connectFailed(String reason) {
        log.connectFailed(reason);
        endAttempt(AttemptOutcome.CONNECT_FAILED);
    }

    // ---- The response ---------------------------------------------------------------------------------

    @Override
    public void onErrorResponse(ConnectionMessage.ErrorResponse message) {
        if (!socket.isCurrent(message.socket())) {
            return;
        }
        if (attempt == null) {
            closeWhileIdle();
            return;
        }
        reusable = message.reusable();
        response.setLoadReport(message.loadReport());
        if (!message.reusable()) {
            socket.close();
        }
        int status = message.status();
        boolean mayReject = status == STATUS_SERVICE_UNAVAILABLE || status == STATUS_GATEWAY_TIMEOUT;
        boolean notExecuted = mayReject && message.rejected();
        if (!notExecuted) {
            log.errorResponse(status);
        }
        endAttempt(notExecuted ? AttemptOutcome.FULL : AttemptOutcome.ERROR);
    }

    @Override
    public void onEventReceived(ConnectionMessage.EventReceived message) {
        if (!socket.isCurrent(message.socket()) || !acceptEvent(message.bytes())) {
            drop(message);
        }
    }

    /** Returns whether the event was forwarded, or held until the stream is granted. */
    private boolean acceptEvent(byte[] event) {
        if (attempt == null) {
            closeWhileIdle();
            return false;
        }
        if (response.hasEnded()) {
            return false;
        }
        if (StreamEvent.isError(event)) {
            errorEventReceived(event);
            return false;
        }
        if (response.isStarted() && !StreamEvent.isComment(event)) {
            streams.heard(connection.flow(), endpointId, nowMicros - response.lastEventMicros(), nowMicros);
        }
        response.recordEvent(event, context.settings().loadReports().isInResponses(), nowMicros);
        startStream();
        response.forwardOrHold(event);
        return true;
    }

    private void errorEventReceived(byte[] event) {
        boolean started = response.isStarted();
        log.errorEvent(started);
        socket.close();
        if (started) {
            response.endWithError(event);
            finishStream();
        } else {
            endAttempt(AttemptOutcome.ERROR);
        }
    }

    private void startStream() {
        if (!response.isStarted()) {
            response.markStarted();
            context.dispatcher().streamStarted(attempt.attempt());
        }
    }

    @Override
    public void onStreamGranted(ConnectionMessage.StreamGranted message) {
        if (message.attempt() != attempt) {
            return;
        }
        response.markGranted();
        streams.begun(connection.flow(), endpointId);
        response.forwardHeldEvents();
        finishStream();
    }

    @Override
    public void onStreamCompleted(ConnectionMessage.StreamCompleted message) {
        if (!socket.isCurrent(message.socket())) {
            return;
        }
        if (attempt == null) {
            closeWhileIdle();
            return;
        }
        if (response.hasEnded()) {
            return;
        }
        reusable = message.reusable();
        if (response.loadReport() == null) {
            response.setLoadReport(message.loadReport());
        }
        if (!message.reusable()) {
            socket.close();
        }
        reportUnknownLastEvent();
        startStream();
        response.end(AttemptOutcome.OK);
        finishStream();
    }

    /** The framing says that the stream is complete, whatever its last event is called. */
    private void reportUnknownLastEvent() {
        byte[] lastEvent = response.lastEvent();
        if (lastEvent != null && !StreamEvent.isKnown(lastEvent)) {
            log.unknownLastEvent(lastEvent);
        }
    }

    @Override
    public void onConnectionLost(ConnectionMessage.ConnectionLost message) {
        if (socket.isCurrent(message.socket())) {
            connectionLost(message.reason(), message.malformed());
        }
    }

    private void connectionLost(String reason, boolean malformed) {
        if (attempt == null) {
            closeWhileIdle();
            return;
        }
        socket.close();
        if (response.hasEnded()) {
            return;
        }
        if (attempt.isAborted()) {
            return; // This side closed the socket: the message that ends the attempt is in the mailbox.
        }
        if (socket.isConnecting()) {
            connectFailed(reason);
            return;
        }
        boolean started = response.isStarted();
        log.connectionLost(started, reason);
        AttemptOutcome outcome = malformed ? AttemptOutcome.SPOILT : AttemptOutcome.RESET;
        if (started) {
            response.end(outcome);
            finishStream();
        } else {
            endAttempt(outcome);
        }
    }

    // ---- The end of an attempt ------------------------------------------------------------------------

    /**
     * Ends a stream that has ended and is granted; otherwise does nothing. The dispatcher hears of it before the client
     * does: a client that has read the end may repeat its request at once, and has to find the first one over.
     */
    private void finishStream() {
        if (!response.isGranted() || !response.hasEnded() || attempt == null) {
            return;
        }
        ProtocolAdapter.Sink client = response.sink();
        AttemptOutcome outcome = response.outcome();
        StreamOutcomes.Ending ending = response.ending();
        reportEnd(outcome);
        if (outcome == AttemptOutcome.OK) {
            client.end();
        } else {
            client.broken(response.errorEvent(), ending);
        }
    }

    /** Ends an attempt whose stream has not started. A socket on which a response may still come is closed first. */
    private void endAttempt(AttemptOutcome outcome) {
        if (outcome != AttemptOutcome.FULL && outcome != AttemptOutcome.ERROR) {
            socket.close();
        }
        reportEnd(outcome);
    }

    private void reportEnd(AttemptOutcome outcome) {
        UpstreamAttempt ended = attempt;
        ended.detachSocket();
        dropHeldEvents();
        release(socket.isOpen() && reusable);
        String report = response.loadReport();
        LoadReport load = report == null
                ? null
                : context.parseLoadReport(context.settings().loadReports(), report);
        RequestDispatcher dispatcher = context.dispatcher();
        dispatcher.attemptEnded(ended.attempt(), outcome, response.cachedTokens(), load);
    }

    @Override
    public void onAttemptAborted(ConnectionMessage.AttemptAborted message) {
        if (message.attempt() == attempt) {
            socket.close();
            dropHeldEvents();
            release(false);
        }
    }

    /** Gives the connection back to the pool. */
    private void release(boolean keepSocket) {
        idleSinceMicros = context.clock().micros();
        attempt = null;
        response.setSink(null);
        if (!keepSocket) {
            socket.close();
        }
        context.dispatcher().execute(() -> listener.onReleased(connection, keepSocket));
    }

    private void closeWhileIdle() {
        socket.close();
        context.dispatcher().execute(() -> listener.onClosedWhileIdle(connection));
    }

    /** Drops events of a stream that was not granted: they are not the client's. */
    private void dropHeldEvents() {
        for (byte[] event : response.heldEvents()) {
            streams.dropped(connection.flow(), event.length);
        }
        response.heldEvents().clear();
    }

    private void drop(ConnectionMessage.EventReceived event) {
        streams.dropped(event.flow(), event.bytes().length);
    }
}
