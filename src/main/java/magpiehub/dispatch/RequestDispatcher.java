package magpiehub.dispatch;

import java.util.List;
import magpiehub.concurrent.Mailbox;
import magpiehub.concurrent.MonotonicClock;
import magpiehub.routing.AttemptOutcome;
import magpiehub.routing.ConnectFailureZoneHealth;
import magpiehub.routing.Endpoint;
import magpiehub.routing.EndpointListKind;
import magpiehub.routing.LoadReport;
import magpiehub.routing.RoutingPolicy;
import magpiehub.routing.RoutingRequest;
import magpiehub.routing.RoutingSettings;
import magpiehub.routing.ZoneHealth;
import magpiehub.telemetry.EventLog;

/**
 * The actor that owns the routing policy, the open requests, their attempts and all timers. It turns what clients,
 * upstreams and service discovery report into events of the policy, and the policy's actions into calls of the ports
 * ({@link ClientCallback}, {@link UpstreamFleet}, {@link EndpointListSource}). Where a request goes is decided by the
 * policy alone.
 *
 * <p><b>Threads.</b> One thread, the dispatcher's, is in {@link #run} and executes everything: the policy, the ports'
 * methods, and what is passed to {@link #execute}. None of it may block on a peer. All other public methods may be
 * called from any thread, the dispatcher's own included; they post a message and return at once. Messages are handled
 * one at a time in the order in which they were posted; after each, the timers that are due.
 */
public final class RequestDispatcher {
    /** The number of cached tokens where the upstream reports none. */
    public static final long CACHED_TOKENS_UNKNOWN = -1;

    /** Bytes of the bodies of submitted requests that may wait in the mailbox; beyond it, load is shed. */
    private static final long MAILBOX_BYTES = 8L << 20;

    private final Mailbox<DispatcherMessage> mailbox;
    private final TimerQueue<TimerEvent> timers = new TimerQueue<>();
    private final TurnClock clock;
    private final RequestTable requests;
    private final EndpointWatch watch;
    private final DispatcherEventHandler handler;
    private final EventLog eventLog;
    private volatile int openRequests;

    /** A dispatcher that learns of zones from failures to connect alone. Does nothing until {@link #run} is called. */
    public RequestDispatcher(
            RoutingSettings settings,
            long seed,
            MonotonicClock clock,
            UpstreamFleet fleet,
            EndpointListSource endpointSource,
            EventLog eventLog) {
        this(settings, seed, clock, fleet, endpointSource, eventLog, new ConnectFailureZoneHealth());
    }

    /** A dispatcher with the given knowledge of zones. Does nothing until {@link #run} is called. */
    public RequestDispatcher(
            RoutingSettings settings,
            long seed,
            MonotonicClock clock,
            UpstreamFleet fleet,
            EndpointListSource endpointSource,
            EventLog eventLog,
            ZoneHealth zoneHealth) {
        this.eventLog = eventLog;
        this.mailbox = new Mailbox<>(clock, MAILBOX_BYTES);
        this.clock = new TurnClock(clock);
        this.requests = new RequestTable(settings, mailbox, eventLog);
        this.watch = new EndpointWatch(settings, endpointSource, timers, this.clock);
        RoutingActionExecutor actions = new RoutingActionExecutor(
                requests, timers, this.clock, mailbox, fleet, endpointSource, watch, eventLog);
        RoutingPolicy policy = new RoutingPolicy(settings, seed, actions, this.clock.nowMicros(), zoneHealth);
        RequestLifecycle lifecycle = new RequestLifecycle(requests, timers, this.clock, policy, eventLog);
        DispatcherShutdown shutdown = new DispatcherShutdown(requests, lifecycle, actions);
        this.handler =
                new DispatcherEventHandler(lifecycle, shutdown, requests, watch, this.clock, policy, fleet, eventLog);
    }

    // ---- The dispatcher's thread ----------------------------------------------------------------------

    /** Handles messages and timers until the thread is interrupted. */
    public void run() {
        try {
            watch.ensureOpen();
            while (true) {
                runTurn(timers.nextDueMicros());
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Handles one message, if one arrives before the given time, and then the timers that are due. */
    void runTurn(long untilMicros) throws InterruptedException {
        DispatcherMessage message = mailbox.take(untilMicros);
        clock.advance();
        if (message != null) {
            handle(message);
        }
        TimerEvent event = timers.pollDue(clock.nowMicros());
        while (event != null) {
            handle(event);
            event = timers.pollDue(clock.nowMicros());
        }
        openRequests = requests.size();
    }

    private void handle(DispatcherMessage message) {
        try {
            message.deliverTo(handler);
        } catch (RuntimeException | StackOverflowError | OutOfMemoryError e) {
            reportFailure(e);
        }
    }

    private void handle(TimerEvent event) {
        try {
            event.deliverTo(handler);
        } catch (RuntimeException | StackOverflowError | OutOfMemoryError e) {
            reportFailure(e);
        }
    }

    /**
     * Counts and logs what a handler has thrown; the dispatcher goes on with the next message, since ending the process
     * would end all requests instead of one.
     *
     * <p>Still sound after an OutOfMemoryError or StackOverflowError at any point: the mailbox and the timer queue,
     * from which the message was removed before it was handled, so that it is not handled again; and the table of open
     * requests, which is changed by one operation at a time. A request that was open stays open, and its timer answers
     * it after its deadline. Not certain: the policy may have applied the event in part, so that its statistics and
     * its count of requests in flight may be off by this one; and a request whose timer could not be scheduled stays
     * open until its client closes the connection.
     */
    private void reportFailure(Throwable failure) {
        eventLog.count("module_exceptions");
        StackTraceElement[] stackTrace = failure.getStackTrace();
        eventLog.log(
                "module-exception",
                "error",
                failure.toString(),
                "at",
                stackTrace.length > 0 ? stackTrace[0].toString() : "?");
    }

    // ---- Any thread -----------------------------------------------------------------------------------

    /** The number of requests without a final answer, as of the end of the last turn. */
    public int openRequests() {
        return openRequests;
    }

    /**
     * Submits a client's request. Its client gets one final call, unless a response stream is forwarded to its end.
     *
     * @param payload passed on to the upstream side as {@link Attempt#payload}
     * @param bytes the size of the payload, which counts against the mailbox's capacity
     * @return false if the mailbox is full; the caller has to answer the client itself then
     */
    public boolean submit(RoutingRequest request, ClientCallback client, Object payload, int bytes) {
        return mailbox.post(new DispatcherMessage.RequestSubmitted(request, client, payload), bytes);
    }

    /** Reports that the client of a request has closed its connection. */
    public void clientGone(String requestId) {
        mailbox.post(new DispatcherMessage.ClientGone(requestId));
    }

    /**
     * Reports the first event of an attempt's response stream. The stream may be forwarded to the client only after
     * {@link AttemptHandle#grant}.
     */
    public void streamStarted(Attempt attempt) {
        mailbox.post(new DispatcherMessage.StreamStarted(attempt));
    }

    /**
     * Reports that an attempt is over; its connection is closed, or free for other requests.
     *
     * @param cachedTokens prompt tokens that the upstream had in its cache, or {@link #CACHED_TOKENS_UNKNOWN}
     * @param load the upstream's load report, or null if it sent none
     */
    public void attemptEnded(Attempt attempt, AttemptOutcome outcome, long cachedTokens, LoadReport load) {
        mailbox.post(new DispatcherMessage.AttemptEnded(attempt, outcome, cachedTokens, load));
    }

    /**
     * Reports the result of a health check.
     *
     * @param sentAtMicros when it was sent, by the dispatcher's clock
     * @param load the upstream's load report, or null if it sent none
     */
    public void probeCompleted(String endpointId, AttemptOutcome outcome, long sentAtMicros, LoadReport load) {
        mailbox.post(new DispatcherMessage.ProbeCompleted(endpointId, outcome, sentAtMicros, load));
    }

    /** Reports endpoints from service discovery; {@code endpoints} is empty where discovery has failed. */
    public void updateEndpoints(EndpointListKind kind, List<Endpoint> endpoints) {
        mailbox.post(new DispatcherMessage.EndpointsUpdated(kind, endpoints));
    }

    /** Reports until when attempts and health checks may be sent by the endpoint list, on the dispatcher's clock. */
    public void updateEndpointListValidity(long validUntilMicros) {
        mailbox.post(new DispatcherMessage.EndpointListValidityChanged(validUntilMicros));
    }

    /** Replaces the settings. Request classes and tenants keep their indexes, new ones come behind. */
    public void updateSettings(RoutingSettings settings) {
        mailbox.post(new DispatcherMessage.SettingsUpdated(settings));
    }

    /** Runs a task on the dispatcher's thread, in its turn among the messages. It must not block. */
    public void execute(Runnable task) {
        mailbox.post(new DispatcherMessage.TaskSubmitted(task));
    }

    /**
     * Prepares for the end of the process: requests whose stream has not started, and those submitted later, are
     * answered at once; streams in progress are ended in an orderly way if {@code migrateStreams} says that clients
     * request the rest from another upstream.
     */
    public void shutDown(boolean migrateStreams) {
        mailbox.post(new DispatcherMessage.ShutdownRequested(migrateStreams));
    }
}
