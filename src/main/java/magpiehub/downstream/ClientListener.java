package magpiehub.downstream;

import java.io.IOException;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import magpiehub.concurrent.ActorThreadPool;
import magpiehub.concurrent.CachedThreadPool;
import magpiehub.concurrent.DaemonThreads;
import magpiehub.concurrent.MonotonicClock;
import magpiehub.dispatch.RequestDispatcher;
import magpiehub.protocol.ProtocolAdapter;
import magpiehub.streaming.FlowController;
import magpiehub.streaming.StreamOutcome;
import magpiehub.telemetry.EventLog;

/**
 * A listening socket with its protocol, and the connections accepted on it. Runs three threads: the {@link
 * ConnectionAcceptor}, the {@link FirstByteWatcher} and the {@link ConnectionMonitor}.
 *
 * <p><b>Threads.</b> All methods may be called from any thread, {@link #start} once. None of them blocks on a client.
 */
public final class ClientListener {
    /**
     * The capacity of a connection's mailbox, in addition to the part of a stream that the client may leave unread.
     */
    private static final int MAILBOX_BYTES = 512 * 1024;

    private final ListenerSocket listenerSocket;
    private final ProtocolAdapter protocol;
    private final MonotonicClock clock;
    private final OpenConnections connections;
    private final DrainState drain;
    private final ConnectionAcceptor acceptor;
    private final ConnectionMonitor monitor;
    private final FirstByteWatcher firstByteWatcher = new FirstByteWatcher();

    /**
     * Creates a listener on a bound socket, which accepts nothing until {@link #start}.
     *
     * @param ready the state that {@code /up} reports, unless in standby
     * @param counters the response to {@code /counters}
     * @param maxConnections how many connections are served; some more are accepted and answered with a rejection
     * @param actorThreads runs the connections' actors
     */
    public ClientListener(
            ListenerSocket listenerSocket,
            ProtocolAdapter protocol,
            RequestDispatcher dispatcher,
            MonotonicClock clock,
            EventLog eventLog,
            BooleanSupplier ready,
            Supplier<String> counters,
            int maxConnections,
            ActorThreadPool actorThreads,
            FlowController streams) {
        ConnectionCapacity capacity = new ConnectionCapacity(maxConnections);
        this.listenerSocket = listenerSocket;
        this.protocol = protocol;
        this.clock = clock;
        this.connections = new OpenConnections(capacity);
        this.drain = new DrainState(clock);
        ListenerServices services = new ListenerServices(
                protocol,
                dispatcher,
                clock,
                eventLog,
                streams,
                MAILBOX_BYTES + streams.maxBufferBytes(),
                actorThreads,
                new CachedThreadPool("client-reader", actorThreads.budget()),
                connections,
                new RequestBodyBudget(),
                drain,
                new StatusResources(drain, ready, counters));
        IdleEviction eviction = new IdleEviction(connections.all(), capacity, clock);
        this.acceptor = new ConnectionAcceptor(listenerSocket, services, eviction, firstByteWatcher);
        this.monitor = new ConnectionMonitor(listenerSocket, services, eviction);
    }

    /** The port that the socket is bound to. */
    public int port() {
        return listenerSocket.port();
    }

    /** Starts accepting connections. */
    public void start() {
        DaemonThreads.newThread("accept", acceptor::run).start();
        DaemonThreads.newThread("connection-monitor", monitor::run).start();
        DaemonThreads.newThread("first-byte-watcher", firstByteWatcher::run).start();
    }

    /**
     * Enters or leaves standby. In standby, {@code /up} reports that the router is not ready, idle connections are
     * closed gradually, and each response is the last on its connection. New connections are still accepted and their
     * requests answered.
     */
    public void setStandby(boolean standby) {
        drain.setStandby(standby);
    }

    /** Whether the listener's clients request the rest of a stream that ends before it is complete. */
    public boolean resumesStreams() {
        return protocol.resumesStreams();
    }

    /** Whether another process accepts the connections that this one leaves in the socket's accept queue. */
    public boolean hasSharedSocket() {
        return listenerSocket.isShared();
    }

    /**
     * Closes idle connections gradually, the longest idle first and the last by the given time. From now on, each
     * response is the last on its connection.
     */
    public void drainIdleConnections(long deadlineMicros) {
        drain.closeIdleBy(deadlineMicros);
    }

    /** Stops accepting; open connections continue to be served. */
    public void stopAccepting() throws IOException {
        listenerSocket.close();
    }

    /** Closes idle connections at once, and the others after their response; requests in progress continue. */
    public void closeIdleConnections() {
        drain.close();
        for (ClientConnection connection : connections.all()) {
            connection.postControl(new ClientMessage.CloseIfIdle());
        }
    }

    /**
     * Disconnects clients that have read nothing of their stream for the given time, or for that of the request's class
     * if it is shorter. Used when the process is about to exit.
     */
    public void disconnectStalledClients(long maxStallMicros) {
        long nowMicros = clock.micros();
        for (ClientConnection connection : connections.all()) {
            connection.disconnectIfStalled(nowMicros, maxStallMicros, StreamOutcome.SHUTDOWN);
        }
    }

    /** The number of connections that have not been closed. */
    public int openConnections() {
        return connections.size();
    }
}
