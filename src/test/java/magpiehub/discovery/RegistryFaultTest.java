package magpiehub.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Runs the randomized fault test at a small scale. */
class RegistryFaultTest {
    private static final long SECOND_MICROS = 1_000_000;

    /** Checks that no change is missed, repeated or reverted. The measured times are not checked. */
    @Test
    void noFaultMakesAClientMissRepeatOrTakeBackAChange() throws Exception {
        RegistryFaultInjection.Scale scale = new RegistryFaultInjection.Scale(60, 400, 6, 2, 60 * SECOND_MICROS);
        RegistryFaultInjection.Outcome outcome = RegistryFaultInjection.run(1, scale);
        assertEquals(0, outcome.wrong(), outcome.line());
    }
}
