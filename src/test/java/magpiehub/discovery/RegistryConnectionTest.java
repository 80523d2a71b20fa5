package magpiehub.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Tests the bounds of {@code Retry-After}. */
class RegistryConnectionTest {
    private static final long SECOND_MICROS = 1_000_000;

    /** A registry that requests a wait of a minute is still called again early enough for changes to arrive in time. */
    @Test
    void retryAfterIsBounded() {
        assertEquals(0, RegistryConnection.parseRetryAfterMicros(null));
        assertEquals(SECOND_MICROS / 5, RegistryConnection.parseRetryAfterMicros("0.2"));
        assertEquals(2 * SECOND_MICROS, RegistryConnection.parseRetryAfterMicros("60"));
        assertEquals(0, RegistryConnection.parseRetryAfterMicros("-1"));
        assertEquals(0, RegistryConnection.parseRetryAfterMicros("Wed, 21 Oct 2026 07:28:00 GMT"));
    }
}
