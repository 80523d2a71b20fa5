package magpiehub.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Tests the decay of counted events. */
class DecayedCounterTest {
    @Test
    void olderEventsWeighLess() {
        DecayedCounter counter = new DecayedCounter(1_000, 5_000);
        assertEquals(5_000, counter.updatedAt());
        counter.increment(5_000);
        assertEquals(1, counter.value());
        counter.add(2, 6_000);
        assertEquals(2 + Math.exp(-1), counter.value(), 1e-12);
        counter.scale(0.5);
        assertEquals(1 + Math.exp(-1) / 2, counter.value(), 1e-12);
        assertEquals(6_000, counter.updatedAt());
    }
}
