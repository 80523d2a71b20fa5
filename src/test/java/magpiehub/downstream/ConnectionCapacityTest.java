package magpiehub.downstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** The numbers of connections from which on a listener behaves differently. */
class ConnectionCapacityTest {
    private final ConnectionCapacity capacity = new ConnectionCapacity(90);

    @Test
    void isCrowdedBeyondAThirdOfTheMaximum() {
        assertFalse(capacity.isCrowded(30));
        assertTrue(capacity.isCrowded(31));
        assertEquals(-30, capacity.excess(0));
        assertEquals(60, capacity.excess(90));
    }

    @Test
    void isNearlyFullFromNineTenthsOn() {
        assertFalse(capacity.isNearlyFull(80));
        assertTrue(capacity.isNearlyFull(81));
        assertEquals(10, capacity.earlyEvictions());
    }

    @Test
    void servesUpToTheMaximumAndRejectsSomeMore() {
        assertTrue(capacity.hasRoom(89));
        assertFalse(capacity.hasRoom(90));
        assertFalse(capacity.isExhausted(98));
        assertTrue(capacity.isExhausted(99), "90 served, and 90 / 16 + 4 rejected");
    }
}
