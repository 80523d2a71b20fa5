package magpiehub.downstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** The thresholds of a listener's connections. */
class ConnectionCapacityTest {
    private final ConnectionCapacity capacity = new ConnectionCapacity(90);

    @Test
    void softLimitIsAThirdOfTheMaximum() {
        assertFalse(capacity.exceedsSoftLimit(30));
        assertTrue(capacity.exceedsSoftLimit(31));
        assertEquals(-30, capacity.excessOverSoftLimit(0));
        assertEquals(60, capacity.excessOverSoftLimit(90));
    }

    @Test
    void isNearlyFullFromNineTenthsOn() {
        assertFalse(capacity.isNearlyFull(80));
        assertTrue(capacity.isNearlyFull(81));
        assertEquals(10, capacity.maxEarlyEvictions());
    }

    @Test
    void servesUpToTheMaximumAndRejectsSomeMore() {
        assertTrue(capacity.hasFreeCapacity(89));
        assertFalse(capacity.hasFreeCapacity(90));
        assertFalse(capacity.isExhausted(98));
        assertTrue(capacity.isExhausted(99), "90 served, and 90 / 16 + 4 rejected");
    }
}
