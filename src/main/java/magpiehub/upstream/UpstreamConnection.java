package magpiehub.upstream;

import java.io.IOException;
import java.net.Socket;
import magpiehub.concurrent.ActorThreadPool;
import magpiehub.concurrent.CachedThreadPool;
import magpiehub.concurrent.Mailbox;
import magpiehub.dispatch.RequestDispatcher;
import magpiehub.http.Sockets;
import magpiehub.protocol.ProtocolAdapter;
import magpiehub.routing.AttemptOutcome;
import magpiehub.routing.LoadReport;
import magpiehub.streaming.StreamOutcomes;
import magpiehub.streaming.Streams;
import magpiehub.telemetry.EventLog;

/**
 * The actor of one connection to an upstream, which carries out one attempt at a time: it opens the socket, writes the
 * request, and forwards what the socket's {@link ResponseReader} reads once the dispatcher has granted the stream.
 *
 * <p>After an attempt that leaves the socket open the connection is idle and can be assigned another one. A connection
 * outlives its socket: if the upstream has closed it meanwhile, a new one is opened for the next attempt. It ends when
 * the pool posts {@link ConnectionMessage.Discharged}.
 *
 * <p><b>Threads.</b> The handlers and all private methods run in the actor's turns, one at a time, on the shared
 * thread pool. The methods under "The dispatcher's thread" are for that thread; those under "Any thread" for any.
 */
final class UpstreamConnection implements ConnectionMessage.Handler {
    /** Bytes of events that may wait in the mailbox; a complete response is far smaller. */
    private static final int MAILBOX_BYTES = 512 * 1024;

    private static final long NEVER = Long.MAX_VALUE;
    private static final int STATUS_SERVICE_UNAVAILABLE = 503;
    private static final int STATUS_GATEWAY_TIMEOUT = 504;

    /** What the pool is told about its connections, on the dispatcher's thread. */
    interface Listener {
        /** The connection's attempt is over; {@code reusable} says whether its socket is still open. */
        void onReleased(UpstreamConnection connection, boolean reusable);

        /** The connection's socket was closed while it had no attempt. */
        void onClosedWhileIdle(UpstreamConnection connection);
    }

    private final String endpointId;
    private final UpstreamContext context;
    private final Streams streams;
    private final EventLog eventLog;
    private final CachedThreadPool readers;
    private final ConnectionTimer timer;
    private final Listener listener;
    private final Mailbox<ConnectionMessage> mailbox;

    // The dispatcher's thread alone uses these two.
    private boolean assigned;
    private long releasedAtMicros;

    // Written by the actor alone.
    private volatile long timerDueMicros = NEVER;
    /** Requests written on the current socket: a response without a request is none. */
    private volatile int requestsWritten;
    /** The flow of the current request, to which the reader counts what it reads. */
    private volatile Streams.Flow flow;

    // The actor alone uses these.
    private final ResponseState response = new ResponseState();
    /** The attempt in progress, or null. */
    private UpstreamAttempt attempt;
    /** The current socket, or null. */
    private Socket socket;
    /** The address that the current socket was opened to. */
    private String connectedTo;

    /** The time at which the handling of the current message began. */
    private long nowMicros;

    private boolean connecting;
    private boolean discharged;
    private boolean reusable;
    private long idleSinceMicros;

    UpstreamConnection(
            String endpointId,
            UpstreamContext context,
            CachedThreadPool readers,
            ConnectionTimer timer,
            Listener listener) {
        this.endpointId = endpointId;
        this.context = context;
        this.streams = context.streams();
        this.eventLog = context.eventLog();
        this.readers = readers;
        this.timer = timer;
        this.listener = listener;
        this.mailbox = new Mailbox<>(context.clock(), MAILBOX_BYTES);
    }

    // ---- The dispatcher's thread ----------------------------------------------------------------------

    /** Gives the actor its turns on a pool's threads. To be called once, before the first message. */
    void attach(ActorThreadPool threadPool) {
        mailbox.attach(threadPool, this::runTurn);
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
    Streams.Flow flow() {
        return flow;
    }

    // ---- The actor's turns ----------------------------------------------------------------------------

    private void runTurn() {
        for (ConnectionMessage message = mailbox.poll(); message != null; message = mailbox.poll()) {
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
            eventLog.count("engine_exceptions");
            eventLog.log("engine-exception", "engine", endpointId, "error", e.toString());
            connectionLost(e.toString(), false);
        }
        if (!discharged) {
            timerDueMicros = nextTimerMicros();
        }
    }

    private long nextTimerMicros() {
        if (attempt != null) {
            return response.isInProgress() ? silentUntilMicros() : NEVER;
        }
        return socket == null ? NEVER : idleSinceMicros + context.settings().retireIdleAfterMicros();
    }

    private long silentUntilMicros() {
        return streams.silentUntil(
                flow,
                endpointId,
                context.settings().resumesStreams(),
                response.lastHeardMicros(),
                response.lastEventMicros(),
                nowMicros);
    }

    @Override
    public void onDischarged(ConnectionMessage.Discharged message) {
        discharged = true;
        closeSocket();
        mailbox.close();
        timer.remove(this);
    }

    @Override
    public void onTimerDue(ConnectionMessage.TimerDue message) {
        if (nowMicros < timerDueMicros) {
            return;
        }
        if (attempt == null) {
            closeWhileIdle();
        } else if (response.isInProgress() && nowMicros >= silentUntilMicros()) {
            eventLog.count("silent_streams");
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
        if (socket != null && hasEndpointMoved()) {
            closeSocket();
        }
        if (socket == null) {
            openSocket();
        } else if (attempt.attachSocket(socket)) {
            writeRequest();
        } else {
            closeSocket();
            release(false);
        }
    }

    private boolean hasEndpointMoved() {
        UpstreamEndpoint endpoint = context.endpoints().find(endpointId);
        return endpoint != null && !connectedTo.equals(endpoint.hostPort());
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
        eventLog.count("drained_before_write");
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
        socket = newSocket;
        connectedTo = endpoint.hostPort();
        connecting = true;
        requestsWritten = 0;
        eventLog.count("engine_connects");
        readers.execute(new ResponseReader(context, this, newSocket, connectedTo));
    }

    @Override
    public void onConnected(ConnectionMessage.Connected message) {
        if (isCurrent(message.socket())) {
            connecting = false;
            writeRequest();
        }
    }

    /** Writes the request, unless the endpoint drains or the client has gone by now. */
    @SuppressWarnings("NonAtomicVolatileUpdate") // Only the connection's own turns write the count.
    private void writeRequest() {
        if (usableEndpoint() == null) {
            return;
        }
        if (!(attempt.attempt().payload() instanceof ProtocolAdapter.Call call)) {
            endAttempt(AttemptOutcome.CANCELLED);
            return;
        }
        boolean reused = requestsWritten > 0;
        try {
            // Connecting may have taken a while since this turn began: the upstream is told what is left now.
            long timeLeftMicros =
                    attempt.attempt().deadlineMicros() - context.clock().micros();
            byte[] request = UpstreamRequest.encode(call, connectedTo, timeLeftMicros);
            flow = response.sink().flow(); // Before a response can arrive, whose reader counts by it.
            requestsWritten++;
            socket.getOutputStream().write(request);
        } catch (IOException e) {
            writeFailed(reused, e);
        }
    }

    private void writeFailed(boolean reused, IOException failure) {
        closeSocket();
        if (!attempt.detachSocket()) {
            release(false);
        } else if (reused) {
            // The upstream had closed it while it was idle: the request was not executed.
            eventLog.count("stale_connections");
            openSocket();
        } else {
            connectFailed(failure.toString());
        }
    }

    private void connectFailed(String reason) {
        eventLog.count("connect_failures");
        eventLog.log("connect-failed", "engine", endpointId, "error", reason);
        endAttempt(AttemptOutcome.CONNECT_FAILED);
    }

    // ---- The response ---------------------------------------------------------------------------------

    @Override
    public void onErrorResponse(ConnectionMessage.ErrorResponse message) {
        if (!isCurrent(message.socket())) {
            return;
        }
        if (attempt == null) {
            closeWhileIdle();
            return;
        }
        reusable = message.reusable();
        response.setLoadReport(message.loadReport());
        if (!message.reusable()) {
            closeSocket();
        }
        int status = message.status();
        boolean mayReject = status == STATUS_SERVICE_UNAVAILABLE || status == STATUS_GATEWAY_TIMEOUT;
        boolean notExecuted = mayReject && message.rejected();
        if (!notExecuted) {
            eventLog.log("engine-error", "engine", endpointId, "status", Integer.toString(status));
        }
        endAttempt(notExecuted ? AttemptOutcome.FULL : AttemptOutcome.ERROR);
    }

    @Override
    public void onEventReceived(ConnectionMessage.EventReceived message) {
        if (!isCurrent(message.socket()) || !acceptEvent(message.bytes())) {
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
            streams.heard(flow, endpointId, nowMicros - response.lastEventMicros(), nowMicros);
        }
        response.recordEvent(event, context.settings().loadReports().isInResponses(), nowMicros);
        startStream();
        response.forwardOrHold(event);
        return true;
    }

    private void errorEventReceived(byte[] event) {
        boolean started = response.isStarted();
        eventLog.log("engine-error-event", "engine", endpointId, "begun", Boolean.toString(started));
        closeSocket();
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
        streams.begun(flow, endpointId);
        response.forwardHeldEvents();
        finishStream();
    }

    @Override
    public void onStreamCompleted(ConnectionMessage.StreamCompleted message) {
        if (!isCurrent(message.socket())) {
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
            closeSocket();
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
            eventLog.count("unknown_last_events");
            eventLog.log("unknown-last-event", "engine", endpointId, "event", StreamEvent.excerpt(lastEvent));
        }
    }

    @Override
    public void onConnectionLost(ConnectionMessage.ConnectionLost message) {
        if (isCurrent(message.socket())) {
            connectionLost(message.reason(), message.malformed());
        }
    }

    private void connectionLost(String reason, boolean malformed) {
        if (attempt == null) {
            closeWhileIdle();
            return;
        }
        closeSocket();
        if (response.hasEnded()) {
            return;
        }
        if (attempt.isAborted()) {
            return; // This side closed the socket: the message that ends the attempt is in the mailbox.
        }
        if (connecting) {
            connectFailed(reason);
            return;
        }
        boolean started = response.isStarted();
        eventLog.log("engine-broke", "engine", endpointId, "begun", Boolean.toString(started), "why", reason);
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
            closeSocket();
        }
        reportEnd(outcome);
    }

    private void reportEnd(AttemptOutcome outcome) {
        UpstreamAttempt ended = attempt;
        ended.detachSocket();
        dropHeldEvents();
        release(socket != null && reusable);
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
            closeSocket();
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
            closeSocket();
        }
        context.dispatcher().execute(() -> listener.onReleased(this, keepSocket));
    }

    private void closeWhileIdle() {
        closeSocket();
        context.dispatcher().execute(() -> listener.onClosedWhileIdle(this));
    }

    /** Drops events of a stream that was not granted: they are not the client's. */
    private void dropHeldEvents() {
        for (byte[] event : response.heldEvents()) {
            streams.dropped(flow, event.length);
        }
        response.heldEvents().clear();
    }

    private void drop(ConnectionMessage.EventReceived event) {
        streams.dropped(event.flow(), event.bytes().length);
    }

    private boolean isCurrent(Socket messageSocket) {
        return messageSocket == socket;
    }

    private void closeSocket() {
        if (socket != null) {
            Sockets.closeQuietly(socket);
            socket = null;
        }
    }
}
