package magpiehub.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** How long a registry may ask to be left alone. */
class RegistryConnectionTest {
    private static final long S = 1_000_000;

    /** A registry that wants no calls for a minute is called again in time all the same. */
    @Test
    void retryAfterIsBounded() {
        assertEquals(0, RegistryConnection.parseRetryAfterMicros(null));
        assertEquals(S / 5, RegistryConnection.parseRetryAfterMicros("0.2"));
        assertEquals(2 * S, RegistryConnection.parseRetryAfterMicros("60"));
        assertEquals(0, RegistryConnection.parseRetryAfterMicros("-1"));
        assertEquals(0, RegistryConnection.parseRetryAfterMicros("Wed, 21 Oct 2026 07:28:00 GMT"));
    }
}
