package magpiehub.downstream;

import magpiehub.concurrent.ActorThreadPool;
import magpiehub.concurrent.CachedThreadPool;
import magpiehub.concurrent.MonotonicClock;
import magpiehub.dispatch.RequestDispatcher;
import magpiehub.protocol.ProtocolAdapter;
import magpiehub.streaming.FlowController;
import magpiehub.telemetry.EventLog;

/**
 * What all connections of a listener share.
 *
 * @param mailboxBytes the capacity of each connection's mailbox
 * @param actorThreads runs the turns of the connections' actors
 * @param readerThreads runs the connections' readers, which block on their sockets
 * @param connections those that are open
 * @param bodyBudget for the request bodies of all connections
 * @param drain whether clients are sent away
 * @param statusResources the resources that are answered without the protocol
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
