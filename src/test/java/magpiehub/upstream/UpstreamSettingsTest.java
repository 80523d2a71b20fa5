package magpiehub.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class UpstreamSettingsTest {
    @Test
    void aConnectionIsRetiredAfterHalfOfTheUpstreamsIdleTimeout() {
        assertEquals(2_500_000, UpstreamSettings.retireIdleAfterMicros(5_000_000));
        assertEquals(1, UpstreamSettings.retireIdleAfterMicros(3));
    }

    @Test
    void theTimeBeforeRetirementIsNeverZero() {
        assertEquals(1, UpstreamSettings.retireIdleAfterMicros(1));
        assertEquals(1, UpstreamSettings.retireIdleAfterMicros(0));
    }
}
