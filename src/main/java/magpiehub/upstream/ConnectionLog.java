package magpiehub.upstream;

import magpiehub.telemetry.EventLog;

/** Counts and logs the events of one connection. Thread-safe. */
final class ConnectionLog {
    private final EventLog eventLog;
    private final String endpointId;

    ConnectionLog(EventLog eventLog, String endpointId) {
        this.eventLog = eventLog;
        this.endpointId = endpointId;
    }

    /** A new socket is about to be connected. */
    void connecting() {
        eventLog.count("engine_connects");
    }

    void connectFailed(String requestId, String reason) {
        eventLog.count("connect_failures");
        eventLog.log("connect-failed", "engine", endpointId, "id", requestId, "error", reason);
    }

    /** The endpoint stopped accepting requests before the request was written. */
    void drainedBeforeWrite() {
        eventLog.count("drained_before_write");
    }

    /** The upstream closed the socket while it was idle. */
    void staleConnection() {
        eventLog.count("stale_connections");
    }

    /** Bytes have arrived behind a complete response; the socket is closed. */
    void unexpectedBytes() {
        eventLog.count("engine_unexpected_bytes");
    }

    /** A non-stream response that does not state that the request was rejected. */
    void errorResponse(String requestId, int status) {
        eventLog.log("engine-error", "engine", endpointId, "id", requestId, "status", Integer.toString(status));
    }

    void errorEvent(String requestId, boolean started) {
        eventLog.log("engine-error-event", "engine", endpointId, "id", requestId, "begun", Boolean.toString(started));
    }

    /** A complete stream whose last event is of an unknown type. */
    void unknownLastEvent(byte[] event) {
        eventLog.count("unknown_last_events");
        eventLog.log("unknown-last-event", "engine", endpointId, "event", StreamEvent.excerpt(event));
    }

    /** A stream has reached the end of its framing. */
    void streamEnd(StreamEnd end) {
        eventLog.count("stream_ends_" + end.label());
    }

    /**
     * A stream has reached the end of its framing, and its events have no end.
     *
     * @param bytesFollow whether more bytes have been received behind the response
     * @param lastEvent the last event, or null
     */
    void streamWithoutEnd(String requestId, StreamEnd end, boolean bytesFollow, byte[] lastEvent) {
        eventLog.log(
                "stream-without-end",
                "engine",
                endpointId,
                "id",
                requestId,
                "end",
                end.label(),
                "bytes_follow",
                Boolean.toString(bytesFollow),
                "event",
                lastEvent == null ? "" : StreamEvent.excerpt(lastEvent));
    }

    /** Nothing arrived on the stream before its stall deadline. */
    void streamStalled() {
        eventLog.count("silent_streams");
    }

    void connectionLost(String requestId, boolean started, String reason) {
        eventLog.log(
                "engine-broke",
                "engine",
                endpointId,
                "id",
                requestId,
                "begun",
                Boolean.toString(started),
                "why",
                reason);
    }

    /** An exception in the router while it handled a message. */
    void failure(Throwable failure) {
        eventLog.count("engine_exceptions");
        eventLog.log("engine-exception", "engine", endpointId, "error", failure.toString());
    }
}
