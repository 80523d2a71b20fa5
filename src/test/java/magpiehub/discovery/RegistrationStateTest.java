package magpiehub.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Tests the steps of a registration, including failed calls, a lost entry and an expired one. */
class RegistrationStateTest {
    private static final long S = 1_000_000;

    @Test
    void registrationIsRenewedRepeatedAndRemoved() {
        RegistrationState a = new RegistrationState(9 * S, 0);
        assertEquals(RegistrationState.Step.REGISTER, a.nextStep(0));
        a.onFailed(0, 100);
        assertEquals(RegistrationState.Step.NONE, a.nextStep(99));
        a.onRegistered(100, 6 * S);
        assertEquals(100 + 2 * S, a.nextStepAtMicros(), "a third of the granted TTL");
        assertEquals(RegistrationState.Step.KEEP, a.nextStep(a.nextStepAtMicros()));
        a.onLost(3 * S);
        assertEquals(RegistrationState.Step.REGISTER, a.nextStep(3 * S));
        a.onRegistered(3 * S, 9 * S);
        a.onFailed(6 * S, 10 * S);
        assertEquals(RegistrationState.Step.REGISTER, a.nextStep(16 * S), "the entry has expired");
        a.onStop();
        assertEquals(RegistrationState.Step.DEREGISTER, a.nextStep(16 * S), "the entry may still exist");
        a.onDeregistered();
        assertEquals(RegistrationState.Step.DONE, a.nextStep(17 * S));
        RegistrationState none = new RegistrationState(S, 0);
        none.onStop();
        assertEquals(RegistrationState.Step.DONE, none.nextStep(0), "never registered");
    }
}
