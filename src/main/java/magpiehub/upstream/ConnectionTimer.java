package magpiehub.upstream;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import magpiehub.concurrent.DaemonThreads;
import magpiehub.concurrent.MonotonicClock;

/**
 * Notifies connections whose timer has expired, on a single thread for all connections. Connections may be added and
 * removed from any thread.
 */
final class ConnectionTimer {
    /** Interval between two checks of the timers; a timer may fire late by this much. */
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
        DaemonThreads.newThread("upstream-timer", this::run).start();
    }

    private void run() {
        long nowMicros = clock.micros();
        try {
            while (true) {
                clock.sleepUntil(nowMicros + CHECK_INTERVAL_MICROS);
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
