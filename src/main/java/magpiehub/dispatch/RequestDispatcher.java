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
 * The actor that owns the routing policy, the open requests, their attempts and all timers. It translates reports from
 * clients, upstreams and service discovery into events for the policy, and the policy's actions into calls of the ports
 * {@link ClientCallback}, {@link UpstreamFleet} and {@link EndpointListSource}. All routing decisions are made by the
 * policy.
 *
 * <p><b>Threads.</b> One thread, the dispatcher's, executes {@link #run} and with it the policy, the methods of the
 * ports, and the tasks passed to {@link #execute}. None of these may block on a peer. All other public methods may be
 * called from any thread, including the dispatcher's own; they post a message and return immediately. Messages are
 * handled one at a time in the order in which they were posted; after each message, all due timers are handled.
 */
public final class RequestDispatcher {
    /** The number of cached tokens if the upstream reports none. */
    public static final long CACHED_TOKENS_UNKNOWN = -1;

    /** The bytes of request bodies that may be queued in the mailbox; beyond this, requests are shed. */
    private static final long MAILBOX_CAPACITY_BYTES = 8L << 20;

    private final Mailbox<DispatcherMessage> mailbox;
    private final TimerQueue<TimerEvent> timers = new TimerQueue<>();
    private final TurnClock clock;
    private final RequestTable requests;
    private final EndpointWatch watch;
    private final DispatcherEventHandler handler;
    private final EventLog eventLog;
    private volatile int openRequests;

    /** Creates a dispatcher that infers zone health from connect failures only. {@link #run} starts it. */
    public RequestDispatcher(
            RoutingSettings settings,
            long seed,
            MonotonicClock clock,
            UpstreamFleet fleet,
            EndpointListSource endpointSource,
            EventLog eventLog) {
        this(settings, seed, clock, fleet, endpointSource, eventLog, new ConnectFailureZoneHealth());
    }

    /** Creates a dispatcher with a given source of zone health. {@link #run} starts it. */
    public RequestDispatcher(
            RoutingSettings settings,
            long seed,
            MonotonicClock clock,
            UpstreamFleet fleet,
            EndpointListSource endpointSource,
            EventLog eventLog,
            ZoneHealth zoneHealth) {
        this.eventLog = eventLog;
        this.mailbox = new Mailbox<>(clock, MAILBOX_CAPACITY_BYTES);
        this.clock = new TurnClock(clock);
        this.requests = new RequestTable(settings, mailbox, eventLog, new LocalRequestClaims(clock));
        this.watch = new EndpointWatch(settings, endpointSource, timers, this.clock);
        RoutingActionExecutor actions = new RoutingActionExecutor(
                requests, timers, this.clock, mailbox, fleet, endpointSource, watch, eventLog);
        RoutingPolicy policy = new RoutingPolicy(settings, seed, actions, this.clock.nowMicros(), zoneHealth);
        RequestLifecycle lifecycle = new RequestLifecycle(requests, timers, this.clock, policy, eventLog);
        DispatcherShutdown shutdown = new DispatcherShutdown(requests, lifecycle, actions);
        this.handler =
                new DispatcherEventHandler(lifecycle, shutdown, requests, watch, this.clock, policy, fleet, eventLog);
    }

    /** Uses claims that other processes know too, in place of this process's own. To be called before {@link #run}. */
    public void useClaims(RequestClaims claims) {
        requests.useClaims(claims);
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

    /** Handles one message, if one arrives by {@code untilMicros}, and then all due timers. */
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
     * Counts and logs a throwable from a handler. The dispatcher continues with the next message, since terminating the
     * process would end all requests instead of one.
     *
     * <p>The following remain consistent after an OutOfMemoryError or StackOverflowError at any point: the mailbox and
     * the timer queue, since the message was removed before it was handled and is not handled again; and the table of
     * open requests, which is modified by single operations. An open request stays open, and its timer answers it after
     * its deadline. Not guaranteed: the policy may have applied the event partially, so that its statistics and its
     * count of requests in flight may be off by one; and a request whose timer could not be scheduled stays open until
     * its client closes the connection.
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

    /** The number of requests without a final answer at the end of the last turn. */
    public int openRequests() {
        return openRequests;
    }

    /**
     * Submits a request. The client receives one final call, unless a response stream is forwarded to its end.
     *
     * @param payload passed to the upstream side as {@link Attempt#payload}
     * @param bytes the size of the payload, which counts against the mailbox's capacity
     * @return false if the mailbox is full; the caller then has to answer the client itself
     */
    public boolean submit(RoutingRequest request, ClientCallback client, Object payload, int bytes) {
        return mailbox.post(new DispatcherMessage.RequestSubmitted(request, client, payload), bytes);
    }

    /**
     * Reports that a client has closed its connection. Only the request that it submitted itself is closed: an open
     * request with the same id may be another client's.
     */
    public void clientDisconnected(String requestId, ClientCallback client) {
        mailbox.post(new DispatcherMessage.ClientDisconnected(requestId, client));
    }

    /**
     * Reports the first event of an attempt's response stream. The stream must not be forwarded to the client before
     * {@link AttemptHandle#startForwarding} is called.
     */
    public void streamStarted(Attempt attempt) {
        mailbox.post(new DispatcherMessage.StreamStarted(attempt));
    }

    /**
     * Reports that an attempt is over and that its connection is closed or available for other requests.
     *
     * @param cachedTokens the prompt tokens that the upstream served from its cache, or {@link #CACHED_TOKENS_UNKNOWN}
     * @param load the upstream's load report, or null if it sent none
     */
    public void attemptEnded(Attempt attempt, AttemptOutcome outcome, long cachedTokens, LoadReport load) {
        mailbox.post(new DispatcherMessage.AttemptEnded(attempt, outcome, cachedTokens, load));
    }

    /**
     * Reports the result of a health check.
     *
     * @param sentAtMicros when the health check was sent, on the dispatcher's clock
     * @param load the upstream's load report, or null if it sent none
     */
    public void healthCheckEnded(String endpointId, AttemptOutcome outcome, long sentAtMicros, LoadReport load) {
        mailbox.post(new DispatcherMessage.HealthCheckEnded(endpointId, outcome, sentAtMicros, load));
    }

    /** Reports endpoints from service discovery; {@code endpoints} is empty if discovery has failed. */
    public void updateEndpoints(EndpointListKind kind, List<Endpoint> endpoints) {
        mailbox.post(new DispatcherMessage.EndpointsUpdated(kind, endpoints));
    }

    /** Reports until when the endpoint list may be used for attempts and health checks, on the dispatcher's clock. */
    public void updateEndpointListValidity(long validUntilMicros) {
        mailbox.post(new DispatcherMessage.EndpointListValidityChanged(validUntilMicros));
    }

    /** Replaces the settings. Request classes and tenants keep their indexes; new ones are appended. */
    public void updateSettings(RoutingSettings settings) {
        mailbox.post(new DispatcherMessage.SettingsUpdated(settings));
    }

    /** Runs a task on the dispatcher's thread, in order with the messages. It must not block. */
    public void execute(Runnable task) {
        mailbox.post(new DispatcherMessage.TaskSubmitted(task));
    }

    /**
     * Announces {@link #shutDown}. Requests submitted later are rejected if their clients do not resume a stream that
     * ends early: their streams may still be in progress when the process is killed.
     */
    public void announceShutdown() {
        mailbox.post(new DispatcherMessage.ShutdownAnnounced());
    }

    /**
     * Prepares for a shutdown of the process. Requests whose response stream has not started, and those submitted
     * later, are answered immediately.
     *
     * @param migrateStreams whether streams in progress are ended so that clients resume them on another upstream
     */
    public void shutDown(boolean migrateStreams) {
        mailbox.post(new DispatcherMessage.ShutdownRequested(migrateStreams));
    }
}
