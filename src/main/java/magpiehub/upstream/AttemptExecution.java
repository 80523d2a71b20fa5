package magpiehub.upstream;

import magpiehub.dispatch.RequestDispatcher;
import magpiehub.protocol.StreamListener;
import magpiehub.routing.AttemptOutcome;
import magpiehub.routing.LoadReport;
import magpiehub.streaming.FlowController;
import magpiehub.streaming.StreamOutcome;

/**
 * Tracks the attempt in progress on a connection, if any, and ends it. Ending an attempt returns the connection to the
 * pool and reports the outcome to the dispatcher, except for attempts that the dispatcher aborted itself. Confined to
 * the connection's actor.
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

    /** Begins an attempt. The connection must not have another attempt in progress. */
    void begin(UpstreamAttempt newAttempt) {
        attempt = newAttempt;
        response.reset();
    }

    boolean isActive() {
        return attempt != null;
    }

    /** Whether the given attempt is the one in progress. */
    boolean isCurrent(UpstreamAttempt other) {
        return attempt == other;
    }

    /** The attempt in progress, or null. */
    UpstreamAttempt attempt() {
        return attempt;
    }

    /** The id of the request of the attempt in progress. */
    String requestId() {
        return attempt.attempt().requestId();
    }

    /** The response to the attempt in progress, or to the previous one if there is none. */
    ResponseState response() {
        return response;
    }

    /** The time at which the last attempt ended. */
    long idleSinceMicros() {
        return idleSinceMicros;
    }

    /** Records that the response is complete, and closes the socket unless it can be reused for another request. */
    void responseCompleted(boolean mayReuse) {
        reusable = mayReuse;
        if (!mayReuse) {
            socket.close();
        }
    }

    /** Whether the attempt's stream has started and has not ended. */
    boolean isStreamInProgress() {
        return attempt != null && response.isInProgress();
    }

    /** Ends the attempt because no connection could be established. */
    void connectFailed(String reason) {
        log.connectFailed(requestId(), reason);
        endBeforeStream(AttemptOutcome.CONNECT_FAILED);
    }

    /**
     * Completes the attempt if its stream is forwarded and has ended; otherwise does nothing. The dispatcher is
     * notified before the client: a client may send the same request again as soon as it has read the end of the
     * stream, and the first request must be finished by then.
     */
    void finishStream() {
        if (!response.isForwarding() || !response.hasEnded() || attempt == null) {
            return;
        }
        StreamListener client = response.streamListener();
        AttemptOutcome outcome = response.outcome();
        StreamOutcome reason = response.failureReason();
        reportEnd(outcome);
        if (outcome == AttemptOutcome.OK) {
            client.onEnd();
        } else {
            client.onFailure(response.errorEvent(), reason);
        }
    }

    /** Ends an attempt whose stream has not started. Closes the socket first if a response may still arrive on it. */
    void endBeforeStream(AttemptOutcome outcome) {
        if (outcome != AttemptOutcome.FULL && outcome != AttemptOutcome.ERROR) {
            socket.close();
        }
        reportEnd(outcome);
    }

    private void reportEnd(AttemptOutcome outcome) {
        UpstreamAttempt ended = attempt;
        ended.detachSocket();
        discardBufferedEvents();
        release(socket.isOpen() && reusable);
        String report = response.loadReport();
        LoadReport load = report == null
                ? null
                : context.parseLoadReport(context.settings().loadReports(), report);
        RequestDispatcher dispatcher = context.dispatcher();
        dispatcher.attemptEnded(ended.attempt(), outcome, response.cachedTokens(), load);
    }

    /** Ends an attempt that the dispatcher has aborted; the dispatcher needs no report of it. */
    void endAborted() {
        socket.close();
        discardBufferedEvents();
        release(false);
    }

    /**
     * Returns the connection to the pool without a report to the dispatcher. Called directly only for attempts that
     * the dispatcher has aborted.
     */
    void release(boolean keepSocket) {
        idleSinceMicros = context.clock().micros();
        attempt = null;
        response.setStreamListener(null);
        if (!keepSocket) {
            socket.close();
        }
        context.dispatcher().execute(() -> listener.onReleased(connection, keepSocket));
    }

    /** Closes the socket of an idle connection: the idle timeout has expired, or unexpected bytes have arrived. */
    void closeWhileIdle() {
        socket.close();
        context.dispatcher().execute(() -> listener.onClosedWhileIdle(connection));
    }

    /** Discards the events of a stream that was not forwarded, which must not reach the client. */
    private void discardBufferedEvents() {
        for (byte[] event : response.bufferedEvents()) {
            streams.discard(connection.flow(), event.length);
        }
        response.bufferedEvents().clear();
    }
}
