package magpiehub.dispatch;

import java.util.PriorityQueue;

/**
 * Events ordered by the time at which they are due; events of the same time keep the order in which they were
 * scheduled. Timers can't be cancelled: whoever handles an event checks whether it still applies. Not thread-safe.
 *
 * @param <E> what is to happen
 */
final class TimerQueue<E> {
    /** The result of {@link #nextDueMicros} where nothing is scheduled. */
    static final long NEVER = Long.MAX_VALUE;

    private record Timer<E>(long dueMicros, long sequence, E event) implements Comparable<Timer<E>> {
        @Override
        public int compareTo(Timer<E> other) {
            int byTime = Long.compare(dueMicros, other.dueMicros);
            return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
        }
    }

    private final PriorityQueue<Timer<E>> timers = new PriorityQueue<>();
    private long nextSequence;

    /** Schedules an event. A time in the past is due at once. */
    void schedule(long dueMicros, E event) {
        timers.add(new Timer<>(dueMicros, nextSequence++, event));
    }

    /** When the next event is due, or {@link #NEVER}. */
    long nextDueMicros() {
        Timer<E> next = timers.peek();
        return next == null ? NEVER : next.dueMicros;
    }

    /** Removes and returns the next event if it is due, else returns null. */
    E pollDue(long nowMicros) {
        Timer<E> next = timers.peek();
        if (next == null || next.dueMicros > nowMicros) {
            return null;
        }
        timers.poll();
        return next.event;
    }
}
