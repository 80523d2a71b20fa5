package magpiehub.downstream;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Which responses are the last on their connection. */
class ConnectionCloseStateTest {
    private final DrainState drain = new DrainState(() -> 0);
    private final ConnectionCloseState close = new ConnectionCloseState(false, drain);

    @Test
    void anOrdinaryConnectionStaysOpen() {
        assertFalse(close.isLastResponse());
        assertFalse(close.isLingering());
        assertFalse(close.isEnded());
    }

    @Test
    void theResponseIsTheLastOnceThatIsDecided() {
        close.closeAfterResponse();
        assertTrue(close.isLastResponse());
        assertFalse(close.isLingering());
    }

    @Test
    void theResponseIsTheLastWhileLingering() {
        close.linger();
        assertTrue(close.isLastResponse());
        assertFalse(close.isEnded());
    }

    @Test
    void theResponseIsTheLastWhileDraining() {
        drain.close();
        assertTrue(close.isLastResponse());
    }

    @Test
    void theResponseIsTheLastOverCapacity() {
        assertTrue(new ConnectionCloseState(true, drain).isLastResponse());
    }
}
