package magpiehub.downstream;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.function.Predicate;
import magpiehub.concurrent.MonotonicClock;

/**
 * Selects the idle connections to close, longest idle first: when capacity is short, and while draining. A selected
 * connection's actor decides whether the connection is still idle.
 *
 * <p>Called by the accepting thread ({@link #evictExcess}) and the monitor ({@link #drainIdle}).
 */
final class IdleEviction {
    /** A connection is not evicted before it has been idle for this long, however many connections there are. */
    private static final long MIN_IDLE_MICROS = 2_000_000;
    /** Above the soft limit, the time limit for a client's first byte. */
    private static final long FIRST_BYTE_TIMEOUT_MICROS = 1_000_000;
    /** When the listener is nearly full, the time limit for a client's complete first request. */
    private static final long FIRST_REQUEST_TIMEOUT_NEARLY_FULL_MICROS = 300_000;

    /** A connection with a snapshot of its idle time, which the connection's actor may change during the selection. */
    private record IdleConnection(EvictionCandidate connection, long idleSinceMicros) {}

    private final Collection<? extends EvictionCandidate> open;
    private final ConnectionCapacity capacity;
    private final MonotonicClock clock;

    /** Selects among {@code open}, which may change at any time. */
    IdleEviction(Collection<? extends EvictionCandidate> open, ConnectionCapacity capacity, MonotonicClock clock) {
        this.open = open;
        this.capacity = capacity;
        this.clock = clock;
    }

    /**
     * Above the soft limit, evicts as many connections as exceed it: first those that are idle after an earlier
     * request, then those that have not sent a byte, and if the listener is nearly full, all whose first request is not
     * complete. Guards against clients that send one request and stay connected, or connect and send nothing.
     */
    void evictExcess() {
        int excess = capacity.excessOverSoftLimit(open.size());
        if (excess <= 0) {
            return;
        }
        long nowMicros = clock.micros();
        excess -= evict(
                idle -> idle.connection().hasReceivedRequest() && nowMicros - idle.idleSinceMicros() >= MIN_IDLE_MICROS,
                excess);
        excess -= evict(
                idle -> hasSentNothing(idle.connection())
                        && nowMicros - idle.idleSinceMicros() >= FIRST_BYTE_TIMEOUT_MICROS,
                excess);
        if (excess > 0 && capacity.isNearlyFull(open.size())) {
            evict(
                    idle -> !idle.connection().hasReceivedRequest()
                            && nowMicros - idle.idleSinceMicros() >= FIRST_REQUEST_TIMEOUT_NEARLY_FULL_MICROS,
                    Math.min(excess, capacity.maxEarlyEvictions()));
        }
    }

    private static boolean hasSentNothing(EvictionCandidate connection) {
        return !connection.hasReceivedRequest() && !connection.isReceiving();
    }

    /** Evicts up to {@code max} of the matching connections, and returns how many were evicted. */
    private int evict(Predicate<IdleConnection> matches, int max) {
        List<IdleConnection> idle = longestIdleFirst(matches);
        int count = Math.min(max, idle.size());
        for (IdleConnection chosen : idle.subList(0, count)) {
            chosen.connection().evictIfIdle();
        }
        return count;
    }

    /**
     * While draining, closes the share of the idle connections that is due.
     *
     * @param periodMicros the time until the next call
     */
    void drainIdle(DrainState drain, long nowMicros, long periodMicros) {
        long deadlineMicros = drain.idleDeadlineMicros();
        if (deadlineMicros == 0) {
            return;
        }
        List<IdleConnection> idle =
                longestIdleFirst(candidate -> candidate.connection().hasReceivedRequest());
        int count = DrainState.idleConnectionsToClose(idle.size(), deadlineMicros, nowMicros, periodMicros);
        for (IdleConnection chosen : idle.subList(0, count)) {
            chosen.connection().closeIfIdle();
        }
    }

    private List<IdleConnection> longestIdleFirst(Predicate<IdleConnection> matches) {
        List<IdleConnection> idle = new ArrayList<>();
        for (EvictionCandidate connection : open) {
            IdleConnection candidate = new IdleConnection(connection, connection.idleSinceMicros());
            boolean isIdle = candidate.idleSinceMicros() != EvictionCandidate.BUSY;
            if (isIdle && !connection.isCloseRequested() && matches.test(candidate)) {
                idle.add(candidate);
            }
        }
        idle.sort(Comparator.comparingLong(IdleConnection::idleSinceMicros));
        return idle;
    }
}
