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
 * A listening socket with its protocol, and the connections that it accepts. It has three threads of its own: the
 * {@link ConnectionAcceptor}'s, the {@link FirstByteWatcher}'s and the {@link ConnectionMonitor}'s.
 *
 * <p><b>Threads.</b> All methods may be called from any thread, {@link #start} once. None blocks on a client.
 */
public final class ClientListener {
    /** What may wait for one client, beside the part of its stream that it may leave unread. */
    private static final int MAILBOX_BYTES = 512 * 1024;

    private final ListenerSocket listenerSocket;
    private final MonotonicClock clock;
    private final OpenConnections connections;
    private final DrainState drain;
    private final ConnectionAcceptor acceptor;
    private final ConnectionMonitor monitor;
    private final FirstByteWatcher firstByteWatcher = new FirstByteWatcher();

    /**
     * A listener whose socket is bound, but that accepts nothing until {@link #start}.
     *
     * @param ready the answer to {@code /up}, unless in standby
     * @param counters the answer to {@code /counters}
     * @param maxConnections how many connections are served; some more are accepted and rejected with an answer
     * @param actorThreads runs the turns of the connections' actors
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
                new CachedThreadPool("client-reader"),
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

    /** Begins to accept connections. */
    public void start() {
        DaemonThreads.newThread("accept", acceptor::run).start();
        DaemonThreads.newThread("client-times", monitor::run).start();
        DaemonThreads.newThread("greeter", firstByteWatcher::run).start();
    }

    /**
     * Sends clients away, or takes them again: {@code /up} answers that the router is not ready, idle connections are
     * closed gradually, and each answer is its connection's last. Connections are accepted and answered all the same.
     */
    public void setStandby(boolean standby) {
        drain.setStandby(standby);
    }

    /** Whether another process accepts the connections that this one leaves on the socket. */
    public boolean hasSharedSocket() {
        return listenerSocket.isShared();
    }

    /**
     * Closes idle connections gradually, the longest idle first and the last by the given time; from now on each answer
     * is its connection's last.
     */
    public void drainIdleConnections(long byMicros) {
        drain.closeIdleBy(byMicros);
    }

    /** Accepts no more; the connections that are open are served on. */
    public void stopAccepting() throws IOException {
        listenerSocket.close();
    }

    /** Closes idle connections at once, and the others after their answer; requests in progress go on. */
    public void closeIdleConnections() {
        drain.close();
        for (ClientConnection connection : connections.all()) {
            connection.postAlways(new ClientMessage.CloseIfIdle());
        }
    }

    /**
     * Cuts connections whose clients have read nothing of their stream for the given time, or for their class's where
     * that is shorter: the process is about to end.
     */
    public void disconnectStalledClients(long leastMicros) {
        long nowMicros = clock.micros();
        for (ClientConnection connection : connections.all()) {
            connection.cutIfStalled(nowMicros, leastMicros, StreamOutcome.SHUTDOWN);
        }
    }

    /** The number of connections that are not closed yet. */
    public int openConnections() {
        return connections.size();
    }
}
