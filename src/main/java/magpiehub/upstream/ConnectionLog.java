package magpiehub.upstream;

import magpiehub.telemetry.EventLog;

/** The counters and log events of one connection. Any thread. */
final class ConnectionLog {
    private final EventLog eventLog;
    private final String endpointId;

    ConnectionLog(EventLog eventLog, String endpointId) {
        this.eventLog = eventLog;
        this.endpointId = endpointId;
    }

    /** A socket is opened. */
    void connecting() {
        eventLog.count("engine_connects");
    }

    void connectFailed(String reason) {
        eventLog.count("connect_failures");
        eventLog.log("connect-failed", "engine", endpointId, "error", reason);
    }

    /** The endpoint no longer accepts requests, and none was written. */
    void drainedBeforeWrite() {
        eventLog.count("drained_before_write");
    }

    /** The upstream had closed the socket while it was idle. */
    void staleConnection() {
        eventLog.count("stale_connections");
    }

    /** A response other than a stream, which does not say that the request was rejected. */
    void errorResponse(int status) {
        eventLog.log("engine-error", "engine", endpointId, "status", Integer.toString(status));
    }

    void errorEvent(boolean started) {
        eventLog.log("engine-error-event", "engine", endpointId, "begun", Boolean.toString(started));
    }

    /** A complete stream whose last event is of an unknown kind. */
    void unknownLastEvent(byte[] event) {
        eventLog.count("unknown_last_events");
        eventLog.log("unknown-last-event", "engine", endpointId, "event", StreamEvent.excerpt(event));
    }

    /** The upstream has sent nothing for longer than is allowed. */
    void streamStalled() {
        eventLog.count("silent_streams");
    }

    void connectionLost(boolean started, String reason) {
        eventLog.log("engine-broke", "engine", endpointId, "begun", Boolean.toString(started), "why", reason);
    }

    /** The router itself has failed on a message. */
    void failure(Throwable failure) {
        eventLog.count("engine_exceptions");
        eventLog.log("engine-exception", "engine", endpointId, "error", failure.toString());
    }
}
