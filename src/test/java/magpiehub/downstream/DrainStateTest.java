package magpiehub.downstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import magpiehub.concurrent.MonotonicClock;
import org.junit.jupiter.api.Test;

/** When a listener closes connections in standby and at shutdown. */
class DrainStateTest {
    private static final long START = 1_000_000;

    private long nowMicros = START;
    private final MonotonicClock clock = () -> nowMicros;
    private final DrainState drain = new DrainState(clock);

    @Test
    void closesNothingInitially() {
        assertFalse(drain.isStandby());
        assertFalse(drain.closesAfterResponse());
        assertEquals(0, drain.idleDeadlineMicros());
    }

    @Test
    void standbyClosesConnectionsOnlyAfterAWhile() {
        drain.setStandby(true);
        assertTrue(drain.isStandby());
        nowMicros = START + 249_999;
        assertFalse(drain.closesAfterResponse());
        assertEquals(0, drain.idleDeadlineMicros());
        nowMicros = START + 250_000;
        assertTrue(drain.closesAfterResponse());
        assertEquals(START + 1_600_000, drain.idleDeadlineMicros());
    }

    @Test
    void repeatedStandbyKeepsItsStartTime() {
        drain.setStandby(true);
        nowMicros = START + 250_000;
        drain.setStandby(true);
        assertTrue(drain.closesAfterResponse());
    }

    @Test
    void standbyCanBeRevoked() {
        drain.setStandby(true);
        nowMicros = START + 1_000_000;
        drain.setStandby(false);
        assertFalse(drain.isStandby());
        assertFalse(drain.closesAfterResponse());
        assertEquals(0, drain.idleDeadlineMicros());
    }

    @Test
    void shutdownClosesConnectionsAtOnce() {
        drain.closeIdleBy(START + 500_000);
        assertTrue(drain.closesAfterResponse());
        assertFalse(drain.isStandby());
        assertEquals(START + 500_000, drain.idleDeadlineMicros());
    }

    @Test
    void closingWithoutDeadlineLeavesIdleConnectionsToTheCaller() {
        drain.close();
        assertTrue(drain.closesAfterResponse());
        assertEquals(0, drain.idleDeadlineMicros());
    }

    @Test
    void idleConnectionsAreClosedAtAnEvenPace() {
        int open = 100;
        int most = 0;
        for (long now = 0; now <= 1_000_000; now += 50_000) {
            int closed = DrainState.idleConnectionsToClose(open, 1_000_000, now, 50_000);
            most = Math.max(most, closed);
            open -= closed;
        }
        assertTrue(most <= 6, "closed at once: " + most);
        assertEquals(0, open);
        assertEquals(7, DrainState.idleConnectionsToClose(7, 1_000_000, 1_000_000, 50_000), "all at the deadline");
        assertEquals(0, DrainState.idleConnectionsToClose(0, 1_000_000, 0, 50_000));
    }
}
