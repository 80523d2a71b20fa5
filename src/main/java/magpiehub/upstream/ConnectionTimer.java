package magpiehub.upstream;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import magpiehub.concurrent.DaemonThreads;
import magpiehub.concurrent.Mailbox;
import magpiehub.concurrent.MonotonicClock;

/**
 * Wakes the connections whose timer is due: one thread for all of them, however many there are. Connections may be
 * added and removed by any thread.
 */
final class ConnectionTimer {
    /** How often the connections' timers are checked; a timer may be late by as much. */
    private static final long CHECK_INTERVAL_MICROS = 50_000;

    private final MonotonicClock clock;
    private final Set<UpstreamConnection> connections = ConcurrentHashMap.newKeySet();

    ConnectionTimer(MonotonicClock clock) {
        this.clock = clock;
    }

    void add(UpstreamConnection connection) {
        connections.add(connection);
    }

    void remove(UpstreamConnection connection) {
        connections.remove(connection);
    }

    /** Starts the timer's thread. */
    void start() {
        DaemonThreads.newThread("engine-times", this::run).start();
    }

    private void run() {
        // An empty mailbox waits by the router's clock, which a sleep would not.
        Mailbox<Void> neverPosted = new Mailbox<>(clock, 0);
        long nowMicros = clock.micros();
        try {
            while (true) {
                neverPosted.take(nowMicros + CHECK_INTERVAL_MICROS);
                nowMicros = clock.micros();
                for (UpstreamConnection connection : connections) {
                    if (connection.timerDueMicros() <= nowMicros) {
                        connection.post(new ConnectionMessage.TimerDue());
                    }
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
