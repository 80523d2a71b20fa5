package magpiehub.upstream;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
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
 * The pool of connections to all upstreams. Assigns attempts to idle or new connections, and limits their number to the
 * upstream side's share of the process's file descriptors.
 *
 * <p><b>Threads.</b> The methods of {@link UpstreamFleet} and the callbacks of connections run on the dispatcher's
 * thread, to which the idle connections are confined. {@link #setDispatcher} and {@link #start} are called once each,
 * before the first attempt. All other public methods may be called from any thread.
 */
public final class UpstreamPool implements UpstreamFleet {
    private final UpstreamContext context;
    private final FlowController streams;
    private final int maxConnections;
    private final ActorThreadPool actorThreads;
    private final CachedThreadPool readers;
    private final ConnectionTimer timer;
    private final UpstreamConnection.Listener connectionListener = new ConnectionListener();

    // Confined to the dispatcher's thread.
    private final IdleConnections idleConnections = new IdleConnections();
    /** When each endpoint was started, according to the endpoint list. */
    private final Map<String, Long> startTimesById = new HashMap<>();
    /** The number of connections in the pool, idle or in use. */
    private int connectionCount;
    /** The dispatcher's thread, recorded at its first call; used by assertions only. */
    private Thread dispatcherThread;

    /**
     * Creates a pool without connections.
     *
     * @param maxConnections the maximum number of connections to all upstreams together
     * @param actorThreads the threads that run the connections' actors
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
        this.readers = new CachedThreadPool("upstream-reader", actorThreads.budget());
        this.timer = new ConnectionTimer(clock);
    }

    /** Sets the dispatcher that is notified of attempts and health checks. Must be called before it runs. */
    public void setDispatcher(RequestDispatcher dispatcher) {
        context.setDispatcher(dispatcher);
    }

    /** Starts the timer that closes idle connections and ends stalled streams. */
    public void start() {
        timer.start();
    }

    // ---- Any thread -----------------------------------------------------------------------------------

    /** Replaces the site's settings. */
    public void updateSettings(SiteSettings site) {
        context.updateSettings(site);
    }

    /**
     * Sets the address of an endpoint and whether it accepts requests. Must be called before the dispatcher is notified
     * of the change. If the address is null, the known one is kept.
     */
    public void updateEndpoint(String id, String hostPort, boolean acceptsRequests) {
        context.endpoints().update(id, hostPort, acceptsRequests);
    }

    /** Removes an endpoint that no longer exists. */
    public void removeEndpoint(String id) {
        context.endpoints().remove(id);
        context.doneMarkers().remove(id);
        streams.removeUpstream(id);
    }

    /** Removes all endpoints that are not in this set, the ids of a complete endpoint list. */
    public void retainEndpoints(Set<String> ids) {
        context.endpoints().retain(ids);
        context.doneMarkers().retain(ids);
        streams.retainUpstreams(ids);
    }

    /** Sets the time, on the monotonic clock, until which the endpoint list is valid for sending requests. */
    public void setEndpointsValidUntil(long validUntilMicros) {
        context.endpoints().setValidUntil(validUntilMicros);
    }

    // ---- The dispatcher's thread ----------------------------------------------------------------------

    @Override
    public AttemptHandle startAttempt(Attempt attempt) {
        UpstreamConnection connection = idleConnections.takeReusable(attempt.endpointId());
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

    /** Evicts the longest idle connection of the endpoint with the most idle ones; false if no connection is idle. */
    private boolean evictIdleConnection() {
        UpstreamConnection connection = idleConnections.takeEvictionCandidate();
        if (connection == null) {
            return false;
        }
        removeFromPool(connection);
        return true;
    }

    private void removeFromPool(UpstreamConnection connection) {
        connectionCount--;
        connection.post(new ConnectionMessage.RemovedFromPool());
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
        endpoints.forEach(this::recordStart);
        startTimesById.keySet().removeIf(id -> context.endpoints().find(id) == null);
    }

    /** Forgets what is known of an endpoint's process if another one has been started in its place. */
    private void recordStart(Endpoint endpoint) {
        Long previous = startTimesById.put(endpoint.id(), endpoint.startedAt());
        if (previous != null && previous != endpoint.startedAt()) {
            context.eventLog().log("engine-restarted", "engine", endpoint.id());
            closeIdleConnections(endpoint.id());
            context.doneMarkers().remove(endpoint.id());
        }
    }

    @Override
    public void closeIdleConnections(String endpointId) {
        assert isDispatcherThread();
        UpstreamConnection connection = idleConnections.takeOldest(endpointId);
        while (connection != null) {
            removeFromPool(connection);
            connection = idleConnections.takeOldest(endpointId);
        }
    }

    @Override
    public void sendHealthCheck(String endpointId) {
        assert isDispatcherThread();
        HealthCheck healthCheck =
                new HealthCheck(context, endpointId, context.clock().micros());
        DaemonThreads.newThread("probe", healthCheck).start();
    }

    private boolean isDispatcherThread() {
        if (dispatcherThread == null) {
            dispatcherThread = Thread.currentThread();
        }
        return dispatcherThread == Thread.currentThread();
    }

    /** Returns connections whose attempt is over to the idle ones, or removes them. */
    private final class ConnectionListener implements UpstreamConnection.Listener {
        @Override
        public void onReleased(UpstreamConnection connection, boolean reusable) {
            connection.markReleased();
            if (reusable && context.endpoints().acceptsRequests(connection.endpointId())) {
                context.eventLog().count("engine_connections_kept");
                idleConnections.add(connection);
            } else {
                removeFromPool(connection);
            }
        }

        /** Keeps a connection that was assigned an attempt in the meantime; it opens a new socket. */
        @Override
        public void onClosedWhileIdle(UpstreamConnection connection) {
            assert isDispatcherThread();
            if (!connection.isAssigned() && idleConnections.remove(connection)) {
                removeFromPool(connection);
            }
        }
    }
}
