package magpiehub.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import org.junit.jupiter.api.Test;

class TimerQueueTest {
    private final TimerQueue<String> timers = new TimerQueue<>();

    @Test
    void nothingIsDueInAnEmptyQueue() {
        assertEquals(TimerQueue.NEVER, timers.nextDueMicros());
        assertNull(timers.pollDue(Long.MAX_VALUE));
    }

    @Test
    void eventsAreReturnedInOrderOfDueTimeOnceDue() {
        timers.schedule(300, "third");
        timers.schedule(100, "first");
        timers.schedule(200, "second");
        assertEquals(100, timers.nextDueMicros());
        assertNull(timers.pollDue(99));
        assertEquals("first", timers.pollDue(100));
        assertEquals("second", timers.pollDue(1_000));
        assertEquals(300, timers.nextDueMicros());
        assertEquals("third", timers.pollDue(1_000));
        assertNull(timers.pollDue(1_000));
    }

    @Test
    void eventsWithTheSameDueTimeKeepTheirSchedulingOrder() {
        for (int i = 0; i < 100; i++) {
            timers.schedule(500, "event " + i);
        }
        for (int i = 0; i < 100; i++) {
            assertEquals("event " + i, timers.pollDue(500));
        }
    }

    @Test
    void anEventScheduledInThePastIsDueImmediately() {
        timers.schedule(-5, "overdue");
        assertEquals("overdue", timers.pollDue(0));
    }
}
