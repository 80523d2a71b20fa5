package magpiehub.streaming;

import java.util.List;
import java.util.Set;
import magpiehub.concurrent.MonotonicClock;
import magpiehub.config.SiteSettings;
import magpiehub.routing.RequestClass;
import magpiehub.routing.Tenant;
import magpiehub.telemetry.EventLog;

/**
 * Flow control between the upstreams' connections and the clients': bounds what streams buffer, makes the upstream's
 * reader wait where a client is slow, ends the client that lags most when the budget is spent, and gives each stream
 * one outcome.
 *
 * <p>Thread-safe. One lock guards the {@link BufferBudget}, the {@link StallDetector}, the {@link StreamOutcomeCounts}
 * and the fields of each {@link StreamFlow} that are not volatile. Nothing blocks under the lock but the wait in
 * {@link #reserveCapacity}, which releases it; sockets are touched only outside of it. Only the reader of the very
 * upstream whose bytes have no room ever waits.
 */
public final class FlowController {
    /** How long an upstream's reader waits for capacity before it looks again unasked (us). */
    private static final long RECHECK_MICROS = 1_000_000;

    private static final long MICROS_PER_MILLI = 1000;

    /** Guards what the class comment names; upstreams' readers wait on it for capacity. */
    private final Object lock = new Object();

    private final MonotonicClock clock;
    private final EventLog log;
    private final BufferBudget<StreamFlow> budget;
    private final StallDetector stallDetector;
    private final StreamOutcomeCounts outcomes = new StreamOutcomeCounts();
    private volatile StreamLimits limits;
    private volatile List<RequestClass> classes;
    private volatile List<Tenant> tenants;
    private int waitingReaders;

    /** Flow control for a site's classes and tenants. */
    public FlowController(StreamLimits limits, SiteSettings site, MonotonicClock clock, EventLog log) {
        updateSettings(limits, site);
        this.clock = clock;
        this.log = log;
        this.budget = new BufferBudget<>(limits.budgetBytes());
        this.stallDetector = new StallDetector(limits.stall());
    }

    /**
     * Replaces the settings. Classes and tenants must keep their indexes. The budget and the stall detector stay as
     * they were at the start.
     */
    public void updateSettings(StreamLimits newLimits, SiteSettings site) {
        limits = newLimits;
        classes = site.routing().classes();
        tenants = site.routing().tenants();
    }

    /** The limits in force. */
    public StreamLimits limits() {
        return limits;
    }

    /** The most that one stream may buffer, over all classes (bytes). */
    public long maxBufferBytes() {
        return limits.maxBufferBytes();
    }

    private StreamLimits.ClassLimits limitsOf(StreamFlow flow) {
        return limits.classes().get(flow.classIndex);
    }

    // ---- The client's side ----

    /**
     * Admits a request that may become a stream.
     *
     * @return the stream, which {@link #endStream} must end; null if there is no capacity for one more
     */
    public StreamFlow openStream(int classIndex, int tenantIndex, String requestId, StreamClient client) {
        synchronized (lock) {
            if (!budget.hasCapacityForStream(clock.micros())) {
                log.count("streams_refused");
                return null;
            }
            StreamFlow flow = new StreamFlow(classIndex, tenantIndex, requestId, client);
            flow.buffer = budget.open(flow, limitsOf(flow).bufferBytes(), clock.micros());
            return flow;
        }
    }

    /** Records that the client's socket has taken so many of the stream's bytes. */
    public void recordDelivered(StreamFlow flow, long bytes) {
        synchronized (lock) {
            budget.deliver(flow.buffer, bytes, clock.micros());
            notifyWaitingReaders();
        }
    }

    /**
     * Checks whether the client's socket has taken nothing for too long. If so, {@code cause} is noted for the stream's
     * outcome, and the caller is to close the connection.
     *
     * @param maxStallMicros the longest stall allowed, where it is shorter than that of the stream's class
     */
    public boolean isClientStalled(StreamFlow flow, long nowMicros, long maxStallMicros, StreamOutcome cause) {
        synchronized (lock) {
            boolean stalled = flow.outcome == null
                    && flow.buffer.stalledMicros(nowMicros)
                            > Math.min(maxStallMicros, limitsOf(flow).clientStallMicros());
            if (stalled) {
                flow.noteDisconnect(cause);
            }
            return stalled;
        }
    }

    /**
     * Ends a stream and releases its buffer. Where its client was cut off, the cause noted then is the outcome. A
     * request that never became a stream has no outcome.
     */
    public void endStream(StreamFlow flow, StreamOutcome reported) {
        StreamOutcome outcome;
        long now = clock.micros();
        synchronized (lock) {
            outcome = flow.resolve(reported);
            if (flow.upstreamId == null) {
                flow.abandoned = true;
                budget.close(flow.buffer);
                notifyWaitingReaders();
                return;
            }
            if (!outcomes.recordEnd(flow.outcome, outcome)) {
                if (flow.outcome != outcome) {
                    log.count("streams_ended_twice");
                }
                return;
            }
            flow.outcome = outcome;
            stallDetector.endStream(flow.upstreamId);
            budget.close(flow.buffer);
            notifyWaitingReaders();
        }
        log.count(outcome.counter());
        if (outcome != StreamOutcome.COMPLETE || limits.logsComplete()) {
            logEnd(flow, outcome, now);
        }
    }

    private void logEnd(StreamFlow flow, StreamOutcome outcome, long nowMicros) {
        long lastEvent = flow.lastEventMicros;
        log.log(
                "stream-ended",
                "why",
                outcome.label(),
                "id",
                flow.requestId,
                "engine",
                flow.upstreamId,
                "class",
                classes.get(flow.classIndex).name(),
                "tenant",
                flow.tenantIndex < 0 ? "" : tenants.get(flow.tenantIndex).name(),
                "bytes_passed",
                Long.toString(flow.buffer.deliveredBytes()),
                "bytes_left",
                Long.toString(flow.buffer.bufferedBytes()),
                "last_event_ms_ago",
                Long.toString(lastEvent == 0 ? -1 : (nowMicros - lastEvent) / MICROS_PER_MILLI));
    }

    // ---- The upstream's side ----

    /** Records that the stream of an upstream is the one that the client gets. */
    public void startStream(StreamFlow flow, String upstreamId) {
        synchronized (lock) {
            if (flow.upstreamId == null && !flow.abandoned) {
                flow.upstreamId = upstreamId;
                flow.lastEventMicros = clock.micros();
                outcomes.recordStart();
                stallDetector.startStream(upstreamId, flow.lastEventMicros);
            }
        }
    }

    /**
     * Counts bytes that have come from an upstream's socket, and waits first until there is capacity for them. If the
     * budget is spent then, the client that lags most is disconnected. For the upstream's own reader thread.
     */
    public void reserveCapacity(StreamFlow flow, int bytes) throws InterruptedException {
        StreamFlow victim = null;
        synchronized (lock) {
            if (!budget.hasCapacity(flow.buffer)) {
                awaitCapacity(flow);
            }
            long now = clock.micros();
            budget.receive(flow.buffer, bytes, now);
            StreamBuffer<StreamFlow> victimBuffer = budget.selectVictim(now);
            if (victimBuffer != null) {
                victim = victimBuffer.owner();
                victim.noteDisconnect(StreamOutcome.CLIENT_LAGGING);
                // Its bytes are released here: no second client is cut off for them.
                budget.close(victimBuffer);
                notifyWaitingReaders();
            }
        }
        if (victim != null) {
            victim.client.disconnect();
        }
    }

    /**
     * Called under the lock. The flow is marked as waiting without a gap from the first look to the last: whoever asks
     * in between would take an upstream that is not read from for a silent one.
     */
    private void awaitCapacity(StreamFlow flow) throws InterruptedException {
        waitingReaders++;
        flow.waitingForCapacity = true;
        try {
            while (!budget.hasCapacity(flow.buffer)) {
                clock.await(lock, clock.micros() + RECHECK_MICROS);
            }
        } finally {
            waitingReaders--;
            flow.waitedUntilMicros = clock.micros();
            flow.waitingForCapacity = false;
        }
    }

    /** Releases bytes that had come: the client does not get their attempt's stream. */
    public void discard(StreamFlow flow, long bytes) {
        if (bytes > 0) {
            synchronized (lock) {
                budget.discard(flow.buffer, bytes);
                notifyWaitingReaders();
            }
        }
    }

    /** Called under the lock. */
    private void notifyWaitingReaders() {
        if (waitingReaders > 0) {
            lock.notifyAll();
        }
    }

    /**
     * Records an event on a stream that the client gets.
     *
     * @param gapMicros the time since the event before it
     */
    public void recordEvent(StreamFlow flow, String upstreamId, long gapMicros, long nowMicros) {
        flow.lastEventMicros = nowMicros;
        if (limits.stall().isAdaptive()) {
            synchronized (lock) {
                stallDetector.recordEvent(upstreamId, gapMicros, nowMicros);
            }
        }
    }

    /**
     * Until when a stream may be silent (us on the clock).
     *
     * @param clientResumes whether its client asks for the rest of a stream that broke
     * @param lastByteMicros when its upstream last sent an event or a comment on it
     * @param lastEventMicros when it last sent an event
     */
    public long silenceDeadline(
            StreamFlow flow,
            String upstreamId,
            boolean clientResumes,
            long lastByteMicros,
            long lastEventMicros,
            long nowMicros) {
        if (flow.waitingForCapacity) {
            return Math.max(nowMicros, lastByteMicros) + RECHECK_MICROS;
        }
        long stallLimit = limits.stall().maxMicros();
        if (limits.stall().isAdaptive()) {
            synchronized (lock) {
                stallLimit = stallDetector.limitMicros(upstreamId, nowMicros);
            }
        }
        StreamLimits.ClassLimits classLimits = limitsOf(flow);
        long maxSilence = clientResumes ? stallLimit : Math.max(stallLimit, classLimits.holdMicros());
        return Math.min(
                Math.max(lastByteMicros, flow.waitedUntilMicros) + maxSilence,
                Math.max(lastEventMicros, flow.waitedUntilMicros) + classLimits.commentsMicros());
    }

    /** Forgets an upstream that is no longer in the endpoint list. */
    public void removeUpstream(String upstreamId) {
        synchronized (lock) {
            stallDetector.removeUpstream(upstreamId);
        }
    }

    /** Forgets all upstreams but those of a complete endpoint list. */
    public void retainUpstreams(Set<String> upstreamIds) {
        synchronized (lock) {
            stallDetector.retainUpstreams(upstreamIds);
        }
    }

    /** The gauges in the text form of {@code /counters}: a name and a value per line. */
    public String metrics() {
        synchronized (lock) {
            return "streams_open " + outcomes.open() + "\nstreams_bytes_held " + budget.bufferedBytes()
                    + "\nstreams_bytes_held_most " + budget.maxBufferedBytes() + "\nstreams_bytes_budget "
                    + budget.totalBytes()
                    + "\nstreams_engines_waiting " + waitingReaders + "\nstreams_shared_slowness_percent "
                    + Math.round(100 * stallDetector.fleetSlowdown()) + "\n";
        }
    }
}
