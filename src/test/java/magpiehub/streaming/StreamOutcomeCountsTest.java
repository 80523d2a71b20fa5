package magpiehub.streaming;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests that each stream has exactly one outcome and that conflicting outcomes are counted. */
class StreamOutcomeCountsTest {
    @Test
    void eachStreamHasOneOutcome() {
        StreamOutcomeCounts outcomes = new StreamOutcomeCounts();
        outcomes.recordStart();
        assertEquals(1, outcomes.open());
        assertTrue(outcomes.recordEnd(null, StreamOutcome.COMPLETE));
        assertFalse(outcomes.recordEnd(StreamOutcome.COMPLETE, StreamOutcome.COMPLETE));
        assertEquals(0, outcomes.conflicts(), "the same outcome from both sides is not a conflict");
        assertFalse(outcomes.recordEnd(StreamOutcome.COMPLETE, StreamOutcome.CLIENT_DISCONNECTED));
        assertEquals(1, outcomes.conflicts());
        assertEquals(0, outcomes.open());
        assertEquals(1, outcomes.count(StreamOutcome.COMPLETE));
        assertEquals(0, outcomes.count(StreamOutcome.CLIENT_DISCONNECTED));
    }
}
