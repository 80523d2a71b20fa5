package magpiehub.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Tests the steps of a registration, including failed calls, a lost entry and an expired one. */
class RegistrationStateTest {
    private static final long SECOND_MICROS = 1_000_000;

    @Test
    void registrationIsRenewedRepeatedAndRemoved() {
        RegistrationState state = new RegistrationState(9 * SECOND_MICROS, 0);
        assertEquals(RegistrationState.Step.REGISTER, state.nextStep(0));
        state.onFailed(0, 100);
        assertEquals(RegistrationState.Step.NONE, state.nextStep(99));
        state.onRegistered(100, 6 * SECOND_MICROS);
        assertEquals(100 + 2 * SECOND_MICROS, state.nextStepAtMicros(), "a third of the granted TTL");
        assertEquals(RegistrationState.Step.KEEP, state.nextStep(state.nextStepAtMicros()));
        state.onLost(3 * SECOND_MICROS);
        assertEquals(RegistrationState.Step.REGISTER, state.nextStep(3 * SECOND_MICROS));
        state.onRegistered(3 * SECOND_MICROS, 9 * SECOND_MICROS);
        state.onFailed(6 * SECOND_MICROS, 10 * SECOND_MICROS);
        assertEquals(RegistrationState.Step.REGISTER, state.nextStep(16 * SECOND_MICROS), "the entry has expired");
        state.onStop();
        assertEquals(
                RegistrationState.Step.DEREGISTER, state.nextStep(16 * SECOND_MICROS), "the entry may still exist");
        state.onDeregistered();
        assertEquals(RegistrationState.Step.DONE, state.nextStep(17 * SECOND_MICROS));
        RegistrationState unregistered = new RegistrationState(SECOND_MICROS, 0);
        unregistered.onStop();
        assertEquals(RegistrationState.Step.DONE, unregistered.nextStep(0), "never registered");
    }
}
