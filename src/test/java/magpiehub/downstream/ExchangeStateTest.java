package magpiehub.downstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;

/** The state transitions of an exchange. */
class ExchangeStateTest {
    @Test
    void aPendingExchangeIsStartedAndEnds() {
        assertEquals(ExchangeState.RESPONDING, ExchangeState.PENDING.started());
        assertEquals(ExchangeState.ENDED, ExchangeState.RESPONDING.ended());
    }

    @Test
    void aPendingExchangeEndsByAnErrorResponse() {
        assertEquals(ExchangeState.ENDED, ExchangeState.PENDING.ended());
    }

    @Test
    void anEndedExchangeIsNeverStarted() {
        assertThrows(IllegalStateException.class, ExchangeState.ENDED::started);
    }

    @Test
    void aResponseIsStartedOnce() {
        assertThrows(IllegalStateException.class, ExchangeState.RESPONDING::started);
    }
}
