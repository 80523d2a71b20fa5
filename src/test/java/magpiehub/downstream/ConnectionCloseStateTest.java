package magpiehub.downstream;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Which answers are their connection's last. */
class ConnectionCloseStateTest {
    private final DrainState drain = new DrainState(() -> 0);
    private final ConnectionCloseState close = new ConnectionCloseState(false, drain);

    @Test
    void anOrdinaryConnectionStaysOpen() {
        assertFalse(close.isLastAnswer());
        assertFalse(close.isLingering());
        assertFalse(close.isEnded());
    }

    @Test
    void theAnswerIsTheLastOnceThatIsDecided() {
        close.closeAfterAnswer();
        assertTrue(close.isLastAnswer());
        assertFalse(close.isLingering());
    }

    @Test
    void nothingIsLeftToAnswerWhileLingering() {
        close.linger();
        assertTrue(close.isLastAnswer());
        assertFalse(close.isEnded());
    }

    @Test
    void theAnswerIsTheLastWhileClientsAreSentAway() {
        drain.close();
        assertTrue(close.isLastAnswer());
    }

    @Test
    void theAnswerIsTheLastOverCapacity() {
        assertTrue(new ConnectionCloseState(true, drain).isLastAnswer());
    }
}
