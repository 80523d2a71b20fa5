package magpiehub.dispatch;

import java.util.PriorityQueue;

/**
 * A priority queue of events by due time; events with the same due time keep the order in which they were scheduled.
 * Timers cannot be cancelled: the handler of an event checks whether it still applies. Not thread-safe.
 *
 * @param <E> the type of the events
 */
final class TimerQueue<E> {
    /** The result of {@link #nextDueMicros} if nothing is scheduled. */
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

    /** Schedules an event. If the time is in the past, the event is due immediately. */
    void schedule(long dueMicros, E event) {
        timers.add(new Timer<>(dueMicros, nextSequence++, event));
    }

    /** The due time of the next event, or {@link #NEVER}. */
    long nextDueMicros() {
        Timer<E> next = timers.peek();
        return next == null ? NEVER : next.dueMicros;
    }

    /** Removes and returns the next event if it is due; otherwise returns null. */
    E pollDue(long nowMicros) {
        Timer<E> next = timers.peek();
        if (next == null || next.dueMicros > nowMicros) {
            return null;
        }
        timers.poll();
        return next.event;
    }
}
