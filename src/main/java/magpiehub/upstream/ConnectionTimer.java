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
    /** Maximum interval between two checks; a timer that is set to less than this ahead may fire late by this much. */
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
        long nextCheckMicros = clock.micros() + CHECK_INTERVAL_MICROS;
        try {
            while (true) {
                clock.sleepUntil(nextCheckMicros);
                nextCheckMicros = notifyDue(clock.micros());
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Notifies the connections whose timer has expired; returns when to check again. */
    private long notifyDue(long nowMicros) {
        long nextCheckMicros = nowMicros + CHECK_INTERVAL_MICROS;
        for (UpstreamConnection connection : connections) {
            long dueMicros = connection.timerDueMicros();
            if (dueMicros <= nowMicros) {
                connection.post(new ConnectionMessage.TimerDue());
            } else {
                nextCheckMicros = Math.min(nextCheckMicros, dueMicros);
            }
        }
        return nextCheckMicros;
    }
}
