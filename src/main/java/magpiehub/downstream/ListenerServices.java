package magpiehub.downstream;

import magpiehub.concurrent.ActorThreadPool;
import magpiehub.concurrent.CachedThreadPool;
import magpiehub.concurrent.MonotonicClock;
import magpiehub.dispatch.RequestDispatcher;
import magpiehub.protocol.ProtocolAdapter;
import magpiehub.streaming.FlowController;
import magpiehub.telemetry.EventLog;

/**
 * The dependencies that all connections of a listener share.
 *
 * @param mailboxBytes the capacity of each connection's mailbox
 * @param actorThreads runs the connections' actors
 * @param readerThreads runs the connections' readers, which block on their sockets
 * @param connections the open connections
 * @param bodyBudget the budget for the request bodies of all connections
 * @param drain whether the listener is draining
 * @param statusResources the resources that are served independently of the protocol
 */
record ListenerServices(
        ProtocolAdapter protocol,
        RequestDispatcher dispatcher,
        MonotonicClock clock,
        EventLog eventLog,
        FlowController streams,
        long mailboxBytes,
        ActorThreadPool actorThreads,
        CachedThreadPool readerThreads,
        OpenConnections connections,
        RequestBodyBudget bodyBudget,
        DrainState drain,
        StatusResources statusResources) {}
