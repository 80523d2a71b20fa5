package magpiehub.upstream;

import magpiehub.routing.AttemptOutcome;
import magpiehub.streaming.FlowController;

/**
 * Handles what is read from a connection's current socket: forwards the events of a stream to the client, or
 * buffers them until forwarding starts, and ends the attempt with the response's outcome. Data that arrives without
 * an attempt in progress closes the socket. Confined to the connection's actor.
 */
final class ResponseHandler {
    private static final int STATUS_SERVICE_UNAVAILABLE = 503;
    private static final int STATUS_GATEWAY_TIMEOUT = 504;
    private static final long STALL_CHECK_INTERVAL_MICROS = 500_000;

    private final UpstreamConnection connection;
    private final String endpointId;
    private final UpstreamContext context;
    private final FlowController streams;
    private final ConnectionSocket socket;
    private final AttemptExecution execution;
    private final ResponseState response;
    private final ConnectionLog log;

    ResponseHandler(
            UpstreamConnection connection,
            UpstreamContext context,
            ConnectionSocket socket,
            AttemptExecution execution,
            ConnectionLog log) {
        this.connection = connection;
        this.endpointId = connection.endpointId();
        this.context = context;
        this.streams = context.streams();
        this.socket = socket;
        this.execution = execution;
        this.response = execution.response();
        this.log = log;
    }

    /** Handles a complete response that is not a stream. */
    void errorResponse(ConnectionMessage.ErrorResponse message) {
        if (!execution.isActive()) {
            execution.closeWhileIdle();
            return;
        }
        execution.responseCompleted(message.reusable());
        response.setLoadReport(message.loadReport());
        int status = message.status();
        boolean mayReject = status == STATUS_SERVICE_UNAVAILABLE || status == STATUS_GATEWAY_TIMEOUT;
        boolean notExecuted = mayReject && message.rejected();
        if (!notExecuted) {
            log.errorResponse(execution.requestId(), status);
        }
        execution.endBeforeStream(notExecuted ? AttemptOutcome.FULL : AttemptOutcome.ERROR);
    }

    /** Handles an event; returns whether it was forwarded, or buffered until forwarding starts. */
    boolean acceptEvent(byte[] event, long nowMicros) {
        if (!execution.isActive()) {
            execution.closeWhileIdle();
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
            streams.recordEvent(connection.flow(), endpointId, nowMicros - response.lastEventMicros(), nowMicros);
        }
        response.recordEvent(event, context.settings().loadReports().isInResponses(), nowMicros);
        startStream();
        response.forwardOrBuffer(event);
        return true;
    }

    private void errorEventReceived(byte[] event) {
        boolean started = response.isStarted();
        log.errorEvent(execution.requestId(), started);
        socket.close();
        if (started) {
            response.endWithError(event);
            execution.finishStream();
        } else {
            execution.endBeforeStream(AttemptOutcome.ERROR);
        }
    }

    private void startStream() {
        if (!response.isStarted()) {
            response.markStarted();
            context.dispatcher().streamStarted(execution.attempt().attempt());
        }
    }

    /** Forwards the buffered events to the client, and later ones as they arrive. */
    void startForwarding() {
        response.markForwarding();
        streams.startStream(connection.flow(), endpointId);
        response.forwardBufferedEvents();
        execution.finishStream();
    }

    /**
     * Handles the end of a stream that is complete according to its HTTP framing. It is served only if its events have
     * come to their end too; otherwise it has broken.
     */
    void streamCompleted(ConnectionMessage.StreamCompleted message) {
        if (!execution.isActive()) {
            execution.closeWhileIdle();
            return;
        }
        if (response.hasEnded()) {
            return;
        }
        reportUnknownLastEvent();
        if (!isStreamEndComplete(message.bytesFollow())) {
            connectionLost("stream without end", true);
            return;
        }
        execution.responseCompleted(message.reusable());
        if (response.loadReport() == null) {
            response.setLoadReport(message.loadReport());
        }
        response.end(AttemptOutcome.OK);
        execution.finishStream();
    }

    /** Whether the events of a stream have come to their end; records how the stream ended. */
    private boolean isStreamEndComplete(boolean bytesFollow) {
        StreamEnd end = response.streamEnd();
        boolean complete = end.isComplete(context.doneMarkers().isExpected(endpointId));
        log.streamEnd(end);
        if (!complete) {
            log.streamWithoutEnd(execution.requestId(), end, bytesFollow, response.lastEvent());
        }
        context.doneMarkers().record(endpointId, end);
        return complete;
    }

    /** Logs a last event of unknown type. */
    private void reportUnknownLastEvent() {
        byte[] lastEvent = response.lastEvent();
        if (lastEvent != null && !StreamEvent.isKnown(lastEvent)) {
            log.unknownLastEvent(lastEvent);
        }
    }

    /**
     * Handles the loss of the connection while connecting, during a response, or while idle.
     *
     * @param malformed whether the connection was closed because the response was malformed
     */
    void connectionLost(String reason, boolean malformed) {
        if (!execution.isActive()) {
            if (malformed) {
                log.unexpectedBytes();
            }
            execution.closeWhileIdle();
            return;
        }
        socket.close();
        if (response.hasEnded()) {
            return;
        }
        if (execution.attempt().isAborted()) {
            return; // The abort closed the socket; the AttemptAborted message is already in the mailbox.
        }
        if (socket.isConnecting()) {
            execution.connectFailed(reason);
            return;
        }
        boolean started = response.isStarted();
        log.connectionLost(execution.requestId(), started, reason);
        AttemptOutcome outcome = malformed ? AttemptOutcome.SPOILT : AttemptOutcome.RESET;
        if (started) {
            response.end(outcome);
            execution.finishStream();
        } else {
            execution.endBeforeStream(outcome);
        }
    }

    /** Ends a stream whose stall deadline has passed. */
    void streamStalled() {
        log.streamStalled();
        response.markStalled();
        connectionLost("silent", false);
    }

    /** When to check whether the stream in progress has stalled; its deadline may become earlier in the meantime. */
    long nextStallCheckMicros(long nowMicros) {
        return Math.min(stallDeadlineMicros(nowMicros), nowMicros + STALL_CHECK_INTERVAL_MICROS);
    }

    /** The time at which the stream in progress counts as stalled if nothing arrives on it. */
    long stallDeadlineMicros(long nowMicros) {
        return streams.silenceDeadline(
                connection.flow(),
                endpointId,
                response.streamListener().mayEndEarly(),
                Math.max(response.lastReceivedMicros(), connection.progress().eventProgressMicros()),
                response.lastEventMicros(),
                nowMicros);
    }
}
