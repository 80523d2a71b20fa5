package magpiehub.routing;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests from which fraction of bad answers the fleet counts as overloaded. */
class OverloadDetectorTest {
    private static OverloadDetector after(int good, int bad) {
        OverloadDetector detector = new OverloadDetector();
        for (int i = 0; i < good; i++) {
            detector.recordFirstToken(1);
        }
        for (int i = 0; i < bad; i++) {
            detector.recordFailure();
        }
        return detector;
    }

    @Test
    void overloadIsDetectedBeforeLoadIsShed() {
        assertFalse(after(17, 3).isOverloaded());
        OverloadDetector overloaded = after(16, 4);
        assertTrue(overloaded.isOverloaded());
        assertFalse(overloaded.needsLoadShedding());
        assertFalse(after(14, 6).needsLoadShedding());
        assertTrue(after(13, 7).needsLoadShedding());
    }

    @Test
    void fewAnswersAreNotSignificant() {
        assertFalse(after(0, 2).isOverloaded());
        assertTrue(after(0, 3).isOverloaded());
        assertFalse(after(0, 3).needsLoadShedding());
        assertTrue(after(0, 4).needsLoadShedding());
    }

    @Test
    void lateAnswerCountsAsBadByItsLostValue() {
        OverloadDetector detector = new OverloadDetector();
        for (int i = 0; i < 20; i++) {
            detector.recordFirstToken(0.5);
        }
        assertTrue(detector.needsLoadShedding());
        detector.decay();
        detector.decay();
        detector.decay();
        assertFalse(detector.needsLoadShedding(), "too few answers remain after the decay");
    }
}
