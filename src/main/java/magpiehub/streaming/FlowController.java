package magpiehub.streaming;

import java.util.List;
import java.util.Set;
import magpiehub.concurrent.MonotonicClock;
import magpiehub.config.SiteSettings;
import magpiehub.routing.RequestClass;
import magpiehub.routing.Tenant;
import magpiehub.telemetry.EventLog;

/**
 * Flow control between upstream and client connections: bounds the bytes that streams buffer, applies back-pressure to
 * the upstream of a slow client, disconnects the client that lags most when the budget is exhausted, and records one
 * outcome for each stream.
 *
 * <p>Thread-safe. One lock guards the {@link BufferBudget}, the {@link StallDetector}, the {@link StreamOutcomeCounts}
 * and the non-volatile fields of each {@link StreamFlow}. The only wait under the lock is in {@link #reserveCapacity},
 * which releases it; sockets are used only outside of it. Back-pressure affects only the reader thread of the upstream
 * whose bytes exceed the capacity.
 */
public final class FlowController {
    /** How often a reader that waits for capacity checks again without having been notified. */
    private static final long RECHECK_INTERVAL_MICROS = 1_000_000;

    private static final long MICROS_PER_MILLI = 1000;

    /** Guards the state named in the class comment. Reader threads wait on it for capacity. */
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

    /** Creates flow control for the request classes and tenants of a site. */
    public FlowController(StreamLimits limits, SiteSettings site, MonotonicClock clock, EventLog log) {
        updateSettings(limits, site);
        this.clock = clock;
        this.log = log;
        this.budget = new BufferBudget<>(limits.budgetBytes());
        this.stallDetector = new StallDetector(limits.stall());
    }

    /**
     * Replaces the settings. Classes and tenants must keep their indexes. The budget and the stall detector keep their
     * initial limits.
     */
    public void updateSettings(StreamLimits newLimits, SiteSettings site) {
        limits = newLimits;
        classes = site.routing().classes();
        tenants = site.routing().tenants();
    }

    /** The current limits. */
    public StreamLimits limits() {
        return limits;
    }

    /** The largest buffer limit of a stream over all classes, in bytes. */
    public long maxBufferBytes() {
        return limits.maxBufferBytes();
    }

    private StreamLimits.ClassLimits limitsOf(StreamFlow flow) {
        return limits.classes().get(flow.classIndex);
    }

    // ---- Client side ----

    /**
     * Admits a request that may become a stream.
     *
     * @return the stream, which has to be ended by {@link #endStream}; null if there is no capacity for another stream
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

    /** Records that the client's socket has accepted further bytes of the stream. */
    public void recordDelivered(StreamFlow flow, long bytes) {
        synchronized (lock) {
            budget.deliver(flow.buffer, bytes, clock.micros());
            notifyWaitingReaders();
        }
    }

    /**
     * Checks whether the client's socket has accepted no bytes for too long. If so, {@code cause} is recorded for the
     * stream's outcome, and the caller has to close the connection.
     *
     * @param maxStallMicros the longest stall allowed, if it is shorter than the limit of the stream's class
     */
    public boolean detectClientStall(StreamFlow flow, long nowMicros, long maxStallMicros, StreamOutcome cause) {
        synchronized (lock) {
            boolean stalled = flow.outcome == null
                    && flow.buffer.stalledMicros(nowMicros)
                            > Math.min(maxStallMicros, limitsOf(flow).clientStallMicros());
            if (stalled) {
                flow.recordDisconnectCause(cause);
            }
            return stalled;
        }
    }

    /**
     * Ends a stream and releases its buffer. If the router disconnected the client, the cause recorded at that time
     * replaces a reported {@link StreamOutcome#CLIENT_DISCONNECTED}. A request that never became a stream has no
     * outcome.
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
        log.count(outcome.counterName());
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

    // ---- Upstream side ----

    /** Records that the response stream of this upstream is forwarded to the client. */
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
     * Waits until there is capacity for bytes read from an upstream's socket, and then counts them. If this exhausts
     * the budget, the client that lags most is disconnected. To be called on the upstream's reader thread.
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
                victim.recordDisconnectCause(StreamOutcome.CLIENT_LAGGING);
                // Its bytes are released now, so that no second client is disconnected for them.
                budget.close(victimBuffer);
                notifyWaitingReaders();
            }
        }
        if (victim != null) {
            victim.client.disconnect();
        }
    }

    /**
     * Waits for capacity; the caller holds the lock. The flow stays marked as waiting from the first check to the last:
     * otherwise {@link #silenceDeadline}, when called in between, would treat an upstream that is not being read from
     * as silent.
     */
    private void awaitCapacity(StreamFlow flow) throws InterruptedException {
        waitingReaders++;
        flow.waitingForCapacity = true;
        try {
            while (!budget.hasCapacity(flow.buffer)) {
                clock.await(lock, clock.micros() + RECHECK_INTERVAL_MICROS);
            }
        } finally {
            waitingReaders--;
            flow.waitedUntilMicros = clock.micros();
            flow.waitingForCapacity = false;
        }
    }

    /** Releases received bytes of an attempt whose stream is not forwarded to the client. */
    public void discard(StreamFlow flow, long bytes) {
        if (bytes > 0) {
            synchronized (lock) {
                budget.discard(flow.buffer, bytes);
                notifyWaitingReaders();
            }
        }
    }

    /** The caller holds the lock. */
    private void notifyWaitingReaders() {
        if (waitingReaders > 0) {
            lock.notifyAll();
        }
    }

    /**
     * Records an event of a stream that is forwarded to the client.
     *
     * @param gapMicros the time since the previous event
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
     * The time until which a stream may be silent.
     *
     * @param mayEndEarly whether the client loses nothing if the stream ends now
     * @param lastByteMicros when the upstream last sent an event or a comment
     * @param lastEventMicros when the upstream last sent an event
     */
    public long silenceDeadline(
            StreamFlow flow,
            String upstreamId,
            boolean mayEndEarly,
            long lastByteMicros,
            long lastEventMicros,
            long nowMicros) {
        if (flow.waitingForCapacity) {
            return Math.max(nowMicros, lastByteMicros) + RECHECK_INTERVAL_MICROS;
        }
        long stallLimit = limits.stall().maxMicros();
        if (limits.stall().isAdaptive()) {
            synchronized (lock) {
                stallLimit = stallDetector.limitMicros(upstreamId, nowMicros);
            }
        }
        StreamLimits.ClassLimits classLimits = limitsOf(flow);
        long maxSilence = mayEndEarly ? stallLimit : Math.max(stallLimit, classLimits.nonResumableSilenceMicros());
        return Math.min(
                Math.max(lastByteMicros, flow.waitedUntilMicros) + maxSilence,
                Math.max(lastEventMicros, flow.waitedUntilMicros) + classLimits.commentsOnlyMicros());
    }

    /** Drops the statistics of an upstream that is no longer in the endpoint list. */
    public void removeUpstream(String upstreamId) {
        synchronized (lock) {
            stallDetector.removeUpstream(upstreamId);
        }
    }

    /** Drops the statistics of all upstreams except those of a complete endpoint list. */
    public void retainUpstreams(Set<String> upstreamIds) {
        synchronized (lock) {
            stallDetector.retainUpstreams(upstreamIds);
        }
    }

    /** The gauges in the text format of {@code /counters}, one {@code name value} pair per line. */
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
