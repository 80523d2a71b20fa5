package magpiehub.upstream;

import java.util.List;
import java.util.Set;
import magpiehub.concurrent.ActorThreadPool;
import magpiehub.concurrent.CachedThreadPool;
import magpiehub.concurrent.DaemonThreads;
import magpiehub.concurrent.MonotonicClock;
import magpiehub.config.SiteSettings;
import magpiehub.dispatch.Attempt;
import magpiehub.dispatch.AttemptHandle;
import magpiehub.dispatch.RequestDispatcher;
import magpiehub.dispatch.UpstreamFleet;
import magpiehub.routing.AttemptOutcome;
import magpiehub.routing.Endpoint;
import magpiehub.routing.EndpointListKind;
import magpiehub.streaming.FlowController;
import magpiehub.telemetry.EventLog;

/**
 * The connections to all upstreams: assigns attempts to idle or new connections, and bounds their number, which is the
 * upstream side's share of the process's file descriptors.
 *
 * <p><b>Threads.</b> The methods of {@link UpstreamFleet} and the callbacks of connections run on the dispatcher's
 * thread, which alone uses the idle connections. {@link #setDispatcher} and {@link #start} are called once each, before
 * the first attempt. All other public methods may be called from any thread.
 */
public final class UpstreamPool implements UpstreamFleet {
    private final UpstreamContext context;
    private final FlowController streams;
    private final int maxConnections;
    private final ActorThreadPool actorThreads;
    private final CachedThreadPool readers = new CachedThreadPool("engine-reader");
    private final ConnectionTimer timer;
    private final UpstreamConnection.Listener connectionListener = new ConnectionListener();

    // The dispatcher's thread alone uses these.
    private final IdleConnections idleConnections = new IdleConnections();
    /** Connections that have not been discharged, idle or not. */
    private int connectionCount;
    /** The dispatcher's thread, known once it has called; for assertions alone. */
    private Thread dispatcherThread;

    /**
     * A pool without connections.
     *
     * @param maxConnections how many connections there may be to all upstreams together
     * @param actorThreads the threads on which connections take their turns
     */
    public UpstreamPool(
            SiteSettings site,
            int maxConnections,
            MonotonicClock clock,
            EventLog eventLog,
            ActorThreadPool actorThreads,
            FlowController streams) {
        this.context = new UpstreamContext(site, clock, eventLog, streams);
        this.streams = streams;
        this.maxConnections = maxConnections;
        this.actorThreads = actorThreads;
        this.timer = new ConnectionTimer(clock);
    }

    /** Sets the dispatcher that hears of attempts and health checks. To be called before it runs. */
    public void setDispatcher(RequestDispatcher dispatcher) {
        context.setDispatcher(dispatcher);
    }

    /** Starts the timer that retires idle connections and ends stalled streams. */
    public void start() {
        timer.start();
    }

    // ---- Any thread -----------------------------------------------------------------------------------

    /** Replaces the site's settings. */
    public void updateSettings(SiteSettings site) {
        context.updateSettings(site);
    }

    /**
     * Sets where an endpoint listens and whether it accepts requests; to be called before the dispatcher hears of it.
     * Without an address the one known so far stays.
     */
    public void updateEndpoint(String id, String hostPort, boolean acceptsRequests) {
        context.endpoints().update(id, hostPort, acceptsRequests);
    }

    /** Forgets an endpoint that is gone. */
    public void removeEndpoint(String id) {
        context.endpoints().remove(id);
        streams.removeUpstream(id);
    }

    /** Forgets all endpoints but these, which a complete endpoint list names. */
    public void retainEndpoints(Set<String> ids) {
        context.endpoints().retain(ids);
        streams.retainUpstreams(ids);
    }

    /** Sets until when requests may be sent by the endpoint list, on the monotonic clock. */
    public void setEndpointsValidUntil(long validUntilMicros) {
        context.endpoints().setValidUntil(validUntilMicros);
    }

    // ---- The dispatcher's thread ----------------------------------------------------------------------

    @Override
    public AttemptHandle startAttempt(Attempt attempt) {
        UpstreamConnection connection =
                idleConnections.takeRested(attempt.endpointId(), context.clock().micros());
        UpstreamAttempt upstreamAttempt = new UpstreamAttempt(attempt);
        if (connection == null) {
            if (connectionCount >= maxConnections && !evictIdleConnection()) {
                context.eventLog().count("engine_connections_short");
                context.dispatcher()
                        .attemptEnded(attempt, AttemptOutcome.FULL, RequestDispatcher.CACHED_TOKENS_UNKNOWN, null);
                return upstreamAttempt;
            }
            connection = createConnection(attempt.endpointId());
        }
        connection.assign(upstreamAttempt);
        return upstreamAttempt;
    }

    private UpstreamConnection createConnection(String endpointId) {
        UpstreamConnection connection = new UpstreamConnection(endpointId, context, readers, timer, connectionListener);
        connection.attach(actorThreads);
        timer.add(connection);
        connectionCount++;
        return connection;
    }

    /** Ends the longest idle connection of the endpoint with most of them; false if no connection is idle. */
    private boolean evictIdleConnection() {
        UpstreamConnection connection = idleConnections.takeFromLargest();
        if (connection == null) {
            return false;
        }
        discharge(connection);
        return true;
    }

    private void discharge(UpstreamConnection connection) {
        connectionCount--;
        connection.post(new ConnectionMessage.Discharged());
    }

    @Override
    public void updateEndpoints(EndpointListKind kind, List<Endpoint> endpoints) {
        assert isDispatcherThread();
        for (String id : idleConnections.endpointIds()) {
            if (!context.endpoints().acceptsRequests(id)) {
                closeIdleConnections(id);
                idleConnections.removeEndpoint(id);
            }
        }
    }

    @Override
    public void closeIdleConnections(String endpointId) {
        assert isDispatcherThread();
        UpstreamConnection connection = idleConnections.takeOldest(endpointId);
        while (connection != null) {
            discharge(connection);
            connection = idleConnections.takeOldest(endpointId);
        }
    }

    @Override
    public void sendHealthCheck(String endpointId) {
        assert isDispatcherThread();
        HealthProbe probe = new HealthProbe(context, endpointId, context.clock().micros());
        DaemonThreads.newThread("probe", probe).start();
    }

    private boolean isDispatcherThread() {
        if (dispatcherThread == null) {
            dispatcherThread = Thread.currentThread();
        }
        return dispatcherThread == Thread.currentThread();
    }

    /** Takes back connections whose attempt is over. */
    private final class ConnectionListener implements UpstreamConnection.Listener {
        @Override
        public void onReleased(UpstreamConnection connection, boolean reusable) {
            connection.markReleased();
            if (reusable && context.endpoints().acceptsRequests(connection.endpointId())) {
                connection.markIdle(context.clock().micros());
                context.eventLog().count("engine_connections_kept");
                idleConnections.add(connection);
            } else {
                discharge(connection);
            }
        }

        /** A connection that was assigned an attempt meanwhile stays, and connects anew. */
        @Override
        public void onClosedWhileIdle(UpstreamConnection connection) {
            assert isDispatcherThread();
            if (!connection.isAssigned() && idleConnections.remove(connection)) {
                discharge(connection);
            }
        }
    }
}
