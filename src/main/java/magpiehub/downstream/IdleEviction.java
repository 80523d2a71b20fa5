package magpiehub.downstream;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.function.Predicate;
import magpiehub.concurrent.MonotonicClock;

/**
 * Decides which idle connections are closed, longest idle first: when capacity runs short, and when clients are sent
 * away. A connection that is chosen decides in its own turn whether it still is idle.
 *
 * <p>Called from the accepting thread ({@link #makeRoom}) and the monitor's ({@link #closeDrained}).
 */
final class IdleEviction {
    /** A client may keep a connection without a request for so long, whatever the number of connections. */
    private static final long IDLE_MICROS = 2_000_000;
    /** When the listener is crowded, how long a client may take to send its first byte. */
    private static final long SILENT_MICROS = 1_000_000;
    /** When it is nearly full, how long a client may take to send its first request completely. */
    private static final long SILENT_NEARLY_FULL_MICROS = 300_000;

    /** A connection, and since when it was idle as it was looked at: its actor may change that meanwhile. */
    private record IdleConnection(EvictionCandidate connection, long idleSinceMicros) {}

    private final Collection<? extends EvictionCandidate> open;
    private final ConnectionCapacity capacity;
    private final MonotonicClock clock;

    /** Chooses among {@code open}, which may change at any time. */
    IdleEviction(Collection<? extends EvictionCandidate> open, ConnectionCapacity capacity, MonotonicClock clock) {
        this.open = open;
        this.capacity = capacity;
        this.clock = clock;
    }

    /**
     * If the listener is crowded, evicts as many connections as it has too many: first those that are idle after an
     * earlier request, then those that have not sent a byte, and if it is nearly full, all whose first request is
     * outstanding. Guards against clients that send one request and stay, or connect and say nothing.
     */
    void makeRoom() {
        int excess = capacity.excess(open.size());
        if (excess <= 0) {
            return;
        }
        long nowMicros = clock.micros();
        excess -= evict(
                idle -> idle.connection().hasReceivedRequest() && nowMicros - idle.idleSinceMicros() >= IDLE_MICROS,
                excess);
        excess -= evict(
                idle -> isSilent(idle.connection()) && nowMicros - idle.idleSinceMicros() >= SILENT_MICROS, excess);
        if (excess > 0 && capacity.isNearlyFull(open.size())) {
            evict(
                    idle -> !idle.connection().hasReceivedRequest()
                            && nowMicros - idle.idleSinceMicros() >= SILENT_NEARLY_FULL_MICROS,
                    Math.min(excess, capacity.earlyEvictions()));
        }
    }

    private static boolean isSilent(EvictionCandidate connection) {
        return !connection.hasReceivedRequest() && !connection.isReceiving();
    }

    /** Evicts at most so many of the connections that match, and returns how many it were. */
    private int evict(Predicate<IdleConnection> matches, int max) {
        List<IdleConnection> idle = idleLongestFirst(matches);
        int count = Math.min(max, idle.size());
        for (IdleConnection chosen : idle.subList(0, count)) {
            chosen.connection().evictIfIdle();
        }
        return count;
    }

    /**
     * While clients are sent away, closes the part of the idle connections that is due.
     *
     * @param periodMicros the time until the next call
     */
    void closeDrained(DrainState drain, long nowMicros, long periodMicros) {
        long deadlineMicros = drain.idleDeadlineMicros();
        if (deadlineMicros == 0) {
            return;
        }
        List<IdleConnection> idle =
                idleLongestFirst(candidate -> candidate.connection().hasReceivedRequest());
        int count = DrainState.idleConnectionsToClose(idle.size(), deadlineMicros, nowMicros, periodMicros);
        for (IdleConnection chosen : idle.subList(0, count)) {
            chosen.connection().closeIfIdle();
        }
    }

    private List<IdleConnection> idleLongestFirst(Predicate<IdleConnection> matches) {
        List<IdleConnection> idle = new ArrayList<>();
        for (EvictionCandidate connection : open) {
            IdleConnection candidate = new IdleConnection(connection, connection.idleSinceMicros());
            boolean isIdle = candidate.idleSinceMicros() != EvictionCandidate.BUSY;
            if (isIdle && !connection.isToldToClose() && matches.test(candidate)) {
                idle.add(candidate);
            }
        }
        idle.sort(Comparator.comparingLong(IdleConnection::idleSinceMicros));
        return idle;
    }
}
