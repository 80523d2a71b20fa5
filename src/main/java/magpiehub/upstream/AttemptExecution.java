package magpiehub.upstream;

import magpiehub.dispatch.RequestDispatcher;
import magpiehub.protocol.StreamListener;
import magpiehub.routing.AttemptOutcome;
import magpiehub.routing.LoadReport;
import magpiehub.streaming.FlowController;
import magpiehub.streaming.StreamOutcome;

/**
 * The attempt in progress on a connection, if there is one, and the ways in which it ends. Each end gives the
 * connection back to the pool; all but those of aborted attempts are reported to the dispatcher. Belongs to the
 * connection's actor.
 */
final class AttemptExecution {
    private final UpstreamConnection connection;
    private final UpstreamContext context;
    private final ConnectionSocket socket;
    private final ConnectionLog log;
    private final FlowController streams;
    private final UpstreamConnection.Listener listener;
    private final ResponseState response = new ResponseState();
    /** The attempt in progress, or null. */
    private UpstreamAttempt attempt;
    /** Whether the connection may serve another request after the last complete response. */
    private boolean reusable;

    private long idleSinceMicros;

    AttemptExecution(
            UpstreamConnection connection,
            UpstreamContext context,
            ConnectionSocket socket,
            ConnectionLog log,
            UpstreamConnection.Listener listener) {
        this.connection = connection;
        this.context = context;
        this.socket = socket;
        this.log = log;
        this.streams = context.streams();
        this.listener = listener;
    }

    /** Begins an attempt; the connection must not have another one. */
    void begin(UpstreamAttempt newAttempt) {
        attempt = newAttempt;
        response.reset();
    }

    boolean isActive() {
        return attempt != null;
    }

    /** Whether it is this attempt that is in progress. */
    boolean isCurrent(UpstreamAttempt other) {
        return attempt == other;
    }

    /** The attempt in progress, or null. */
    UpstreamAttempt attempt() {
        return attempt;
    }

    /** The response to the attempt in progress, or to the last one. */
    ResponseState response() {
        return response;
    }

    /** When the last attempt ended. */
    long idleSinceMicros() {
        return idleSinceMicros;
    }

    /** Records the end of a complete response, and closes a socket that can't serve another request. */
    void responseCompleted(boolean mayReuse) {
        reusable = mayReuse;
        if (!mayReuse) {
            socket.close();
        }
    }

    /** Whether the attempt's stream has started and not ended. */
    boolean isStreamInProgress() {
        return attempt != null && response.isInProgress();
    }

    /** Ends an attempt whose connection was not established. */
    void connectFailed(String reason) {
        log.connectFailed(reason);
        endBeforeStream(AttemptOutcome.CONNECT_FAILED);
    }

    /**
     * Ends a stream that has ended and is granted; otherwise does nothing. The dispatcher hears of it before the client
     * does: a client that has read the end may repeat its request at once, and has to find the first one over.
     */
    void finishStream() {
        if (!response.isGranted() || !response.hasEnded() || attempt == null) {
            return;
        }
        StreamListener client = response.sink();
        AttemptOutcome outcome = response.outcome();
        StreamOutcome ending = response.ending();
        reportEnd(outcome);
        if (outcome == AttemptOutcome.OK) {
            client.onEnd();
        } else {
            client.onFailure(response.errorEvent(), ending);
        }
    }

    /** Ends an attempt whose stream has not started. A socket on which a response may still come is closed first. */
    void endBeforeStream(AttemptOutcome outcome) {
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

    /** Ends an attempt that the dispatcher has aborted, and therefore knows to be over. */
    void endAborted() {
        socket.close();
        dropHeldEvents();
        release(false);
    }

    /**
     * Gives the connection back to the pool. By itself it ends an attempt that was aborted, of which the dispatcher
     * needs no report.
     */
    void release(boolean keepSocket) {
        idleSinceMicros = context.clock().micros();
        attempt = null;
        response.setSink(null);
        if (!keepSocket) {
            socket.close();
        }
        context.dispatcher().execute(() -> listener.onReleased(connection, keepSocket));
    }

    /** Closes the socket of a connection without an attempt: it was idle for too long, or bytes came unasked. */
    void closeWhileIdle() {
        socket.close();
        context.dispatcher().execute(() -> listener.onClosedWhileIdle(connection));
    }

    /** Drops events of a stream that was not granted: they are not the client's. */
    private void dropHeldEvents() {
        for (byte[] event : response.heldEvents()) {
            streams.discard(connection.flow(), event.length);
        }
        response.heldEvents().clear();
    }
}
