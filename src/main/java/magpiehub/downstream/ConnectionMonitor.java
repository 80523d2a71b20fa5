package magpiehub.downstream;

import magpiehub.streaming.StreamOutcome;

/**
 * Checks all connections periodically: expires their timers, disconnects clients that do not read, and closes idle
 * connections while draining. {@link #run} occupies a thread of its own.
 */
final class ConnectionMonitor {
    private static final long PERIOD_MICROS = 50_000;
    /** No limit on a client's stall besides that of the request's class. */
    private static final long NO_STALL_LIMIT = Long.MAX_VALUE;

    private final ListenerSocket listenerSocket;
    private final ListenerServices services;
    private final IdleEviction eviction;

    ConnectionMonitor(ListenerSocket listenerSocket, ListenerServices services, IdleEviction eviction) {
        this.listenerSocket = listenerSocket;
        this.services = services;
        this.eviction = eviction;
    }

    /** Runs until the listening socket and the last connection are closed. */
    void run() {
        try {
            long nowMicros = services.clock().micros();
            while (!listenerSocket.isClosed() || services.connections().size() > 0) {
                services.clock().sleepUntil(nowMicros + PERIOD_MICROS);
                nowMicros = services.clock().micros();
                checkConnections(nowMicros);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void checkConnections(long nowMicros) {
        for (ClientConnection connection : services.connections().all()) {
            connection.checkTimer(nowMicros);
            connection.disconnectIfStalled(nowMicros, NO_STALL_LIMIT, StreamOutcome.CLIENT_STALLED);
        }
        eviction.drainIdle(services.drain(), nowMicros, PERIOD_MICROS);
        services.actorThreads().checkForStall();
    }
}
