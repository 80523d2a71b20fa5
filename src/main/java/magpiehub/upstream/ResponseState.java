package magpiehub.upstream;

import java.util.ArrayDeque;
import magpiehub.dispatch.RequestDispatcher;
import magpiehub.protocol.StreamListener;
import magpiehub.routing.AttemptOutcome;
import magpiehub.streaming.StreamOutcome;

/**
 * The state of the response to a connection's attempt in progress. Buffers the events that arrive before
 * forwarding starts. Confined to the connection's actor, which {@linkplain #reset resets} it for each attempt.
 */
final class ResponseState {
    /** Receives the events of a forwarded stream; null between attempts. */
    private StreamListener streamListener;

    private boolean started;
    private boolean forwarding;
    private boolean stalled;
    /** How the stream ended, kept until forwarding starts or the attempt is aborted; null until it ends. */
    private AttemptOutcome outcome;
    /** The error event that the upstream sent, or null. */
    private byte[] errorEvent;

    private long cachedTokens;
    /** The text of the load report, or null. */
    private String loadReport;

    private byte[] lastEvent;
    private final StreamEndDetector endDetector = new StreamEndDetector();
    /** The arrival time of the last event or comment. */
    private long lastReceivedMicros;
    /** The arrival time of the last event. */
    private long lastEventMicros;

    private final ArrayDeque<byte[]> bufferedEvents = new ArrayDeque<>(2);

    /** Clears the state of the previous attempt's response. */
    void reset() {
        started = false;
        forwarding = false;
        stalled = false;
        outcome = null;
        errorEvent = null;
        cachedTokens = RequestDispatcher.CACHED_TOKENS_UNKNOWN;
        loadReport = null;
        lastEvent = null;
        endDetector.reset();
    }

    StreamListener streamListener() {
        return streamListener;
    }

    void setStreamListener(StreamListener listener) {
        streamListener = listener;
    }

    /** Whether the first event has arrived. */
    boolean isStarted() {
        return started;
    }

    void markStarted() {
        started = true;
    }

    boolean isForwarding() {
        return forwarding;
    }

    void markForwarding() {
        forwarding = true;
    }

    void markStalled() {
        stalled = true;
    }

    boolean hasEnded() {
        return outcome != null;
    }

    /** Whether the stream has started and has not ended. */
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

    /** The reason why an incomplete stream ended. */
    StreamOutcome failureReason() {
        if (outcome == AttemptOutcome.ERROR) {
            return StreamOutcome.UPSTREAM_ERROR;
        }
        return stalled ? StreamOutcome.UPSTREAM_STALLED : StreamOutcome.UPSTREAM_DISCONNECTED;
    }

    /** Records an event and its metadata. The first one counts as an event even if it is a comment. */
    void recordEvent(byte[] event, boolean searchLoadReport, long nowMicros) {
        lastReceivedMicros = nowMicros;
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
        endDetector.record(event);
    }

    /** What the events say about the stream's end. */
    StreamEnd streamEnd() {
        return endDetector.end();
    }

    /** The last event, or null if none has arrived. */
    byte[] lastEvent() {
        return lastEvent;
    }

    long lastReceivedMicros() {
        return lastReceivedMicros;
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

    /** Forwards an event to the client, or buffers it until forwarding starts. */
    void forwardOrBuffer(byte[] event) {
        if (forwarding) {
            streamListener.onEvent(event);
        } else {
            bufferedEvents.add(event);
        }
    }

    /** Forwards the buffered events and empties the buffer. */
    void forwardBufferedEvents() {
        bufferedEvents.forEach(streamListener::onEvent);
        bufferedEvents.clear();
    }

    /** The buffered events. */
    ArrayDeque<byte[]> bufferedEvents() {
        return bufferedEvents;
    }
}
