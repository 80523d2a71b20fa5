package magpiehub.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class UpstreamSettingsTest {
    @Test
    void theMaximumIdleTimeIsHalfOfTheUpstreamsIdleTimeout() {
        assertEquals(2_500_000, UpstreamSettings.maxIdleMicros(5_000_000));
        assertEquals(1, UpstreamSettings.maxIdleMicros(3));
    }

    @Test
    void theMaximumIdleTimeIsNeverZero() {
        assertEquals(1, UpstreamSettings.maxIdleMicros(1));
        assertEquals(1, UpstreamSettings.maxIdleMicros(0));
    }
}
