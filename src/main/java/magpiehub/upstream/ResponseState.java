package magpiehub.upstream;

import java.util.ArrayDeque;
import magpiehub.dispatch.RequestDispatcher;
import magpiehub.protocol.StreamListener;
import magpiehub.routing.AttemptOutcome;
import magpiehub.streaming.StreamOutcome;

/**
 * What is known of the response to a connection's attempt in progress. Events that arrive before the stream is granted
 * are held here. Belongs to the connection's actor, which {@linkplain #reset resets} it for each attempt.
 */
final class ResponseState {
    /** Where the events of a granted stream go; null between two attempts. */
    private StreamListener sink;

    private boolean started;
    private boolean granted;
    private boolean stalled;
    /** How the stream ended, kept until it is granted or aborted; null as long as it runs. */
    private AttemptOutcome outcome;
    /** The upstream's own error event, or null. */
    private byte[] errorEvent;

    private long cachedTokens;
    /** The text of the load report, or null. */
    private String loadReport;

    private byte[] lastEvent;
    /** When the last event or comment arrived. */
    private long lastHeardMicros;
    /** When the last event arrived. */
    private long lastEventMicros;

    private final ArrayDeque<byte[]> heldEvents = new ArrayDeque<>(2);

    /** Forgets the response to the attempt before. */
    void reset() {
        started = false;
        granted = false;
        stalled = false;
        outcome = null;
        errorEvent = null;
        cachedTokens = RequestDispatcher.CACHED_TOKENS_UNKNOWN;
        loadReport = null;
        lastEvent = null;
    }

    StreamListener sink() {
        return sink;
    }

    void setSink(StreamListener newSink) {
        sink = newSink;
    }

    /** Whether the first event has arrived. */
    boolean isStarted() {
        return started;
    }

    void markStarted() {
        started = true;
    }

    boolean isGranted() {
        return granted;
    }

    void markGranted() {
        granted = true;
    }

    void markStalled() {
        stalled = true;
    }

    boolean hasEnded() {
        return outcome != null;
    }

    /** Whether the stream has started and not ended. */
    boolean isInProgress() {
        return started && outcome == null;
    }

    AttemptOutcome outcome() {
        return outcome;
    }

    /** Records how the stream ended. */
    void end(AttemptOutcome streamOutcome) {
        outcome = streamOutcome;
    }

    /** Records that the stream ended with an error event of the upstream. */
    void endWithError(byte[] event) {
        errorEvent = event;
        outcome = AttemptOutcome.ERROR;
    }

    byte[] errorEvent() {
        return errorEvent;
    }

    /** Why a stream ended that is not complete. */
    StreamOutcome ending() {
        if (outcome == AttemptOutcome.ERROR) {
            return StreamOutcome.UPSTREAM_ERROR;
        }
        return stalled ? StreamOutcome.UPSTREAM_STALLED : StreamOutcome.UPSTREAM_DISCONNECTED;
    }

    /** Records what an event says. The first one counts as an event even if it is a comment. */
    void recordEvent(byte[] event, boolean searchLoadReport, long nowMicros) {
        lastHeardMicros = nowMicros;
        if (!started || !StreamEvent.isComment(event)) {
            lastEventMicros = nowMicros;
        }
        long tokens = StreamEvent.cachedTokens(event);
        if (tokens >= 0) {
            cachedTokens = tokens;
        }
        if (searchLoadReport) {
            String report = LoadReportParser.findInComments(event);
            loadReport = report != null ? report : loadReport;
        }
        lastEvent = event;
    }

    /** The last event, or null if none has arrived. */
    byte[] lastEvent() {
        return lastEvent;
    }

    long lastHeardMicros() {
        return lastHeardMicros;
    }

    long lastEventMicros() {
        return lastEventMicros;
    }

    long cachedTokens() {
        return cachedTokens;
    }

    String loadReport() {
        return loadReport;
    }

    void setLoadReport(String report) {
        loadReport = report;
    }

    /** Forwards an event to the client, or holds it until the stream is granted. */
    void forwardOrHold(byte[] event) {
        if (granted) {
            sink.onEvent(event);
        } else {
            heldEvents.add(event);
        }
    }

    /** Forwards the events that were held. */
    void forwardHeldEvents() {
        heldEvents.forEach(sink::onEvent);
        heldEvents.clear();
    }

    /** The events that are held. */
    ArrayDeque<byte[]> heldEvents() {
        return heldEvents;
    }
}
