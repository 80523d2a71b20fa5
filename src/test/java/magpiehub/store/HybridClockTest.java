package magpiehub.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

class HybridClockTest {
    private final AtomicLong wallClockMicros = new AtomicLong(1_000);
    private final HybridClock clock = new HybridClock(wallClockMicros::get);

    @Test
    void countersFollowTheWallClockAndNeverRepeat() {
        assertEquals(1_000, clock.next());
        assertEquals(1_001, clock.next());
        wallClockMicros.set(5_000);
        assertEquals(5_000, clock.next());
    }

    @Test
    void aCounterIsGreaterThanTheObservedOnesAlthoughTheWallClockIsBehind() {
        clock.observe(9_000);
        assertEquals(9_001, clock.next());
        clock.observe(2_000);
        assertEquals(9_002, clock.next());
    }

    @Test
    void aClockThatStartsLaterContinuesAboveTheCountersOfAnEarlierOne() {
        long earlier = clock.next();
        wallClockMicros.addAndGet(1);
        assertTrue(new HybridClock(wallClockMicros::get).next() > earlier);
    }
}
