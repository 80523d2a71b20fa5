package magpiehub.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.TreeSet;
import org.junit.jupiter.api.Test;

/** The selection of endpoints and their backoff. */
class RegistryEndpointsTest {
    private static final long SECOND_MICROS = 1_000_000;

    @Test
    void routersThatLoseARegistryReconnectSpread() {
        TreeSet<Long> first = new TreeSet<>();
        for (int i = 0; i < 300; i++) {
            RegistryEndpoints endpoints =
                    new RegistryEndpoints(3, new BackoffSettings(100_000, 1_500_000, 1_500_000), i);
            int at = endpoints.select(0);
            endpoints.recordSuccess(at);
            endpoints.recordFailure(at, SECOND_MICROS, EndpointFailure.CONNECTION_LOST, 0);
            assertEquals(-1, endpoints.select(SECOND_MICROS - 1), "no endpoint is ready at once");
            first.add(endpoints.nextReadyAtMicros());
        }
        long[] times = first.stream().mapToLong(t -> t).toArray();
        assertTrue(
                times[times.length * 95 / 100] - times[times.length * 5 / 100] > SECOND_MICROS,
                "the 5th and 95th percentile are more than a second apart");
    }

    @Test
    void backoffGrowsToTheCapAndOtherEndpointsAreUsedMeanwhile() {
        RegistryEndpoints one = new RegistryEndpoints(1, new BackoffSettings(100_000, 1_500_000, 0), 3);
        long now = 0;
        long longest = 0;
        for (int i = 0; i < 50; i++) {
            one.recordFailure(0, now, EndpointFailure.CONNECTION_LOST, 0);
            long wait = one.nextReadyAtMicros() - now;
            assertTrue(wait >= 100_000 && wait <= 1_500_000, "" + wait);
            assertTrue(wait <= Math.max(300_000, 3 * longest), "at most three times the longest wait before");
            longest = Math.max(longest, wait);
            now += wait;
        }
        assertTrue(longest > SECOND_MICROS);
        one.recordFailure(0, now, EndpointFailure.ERROR_RESPONSE, 5 * SECOND_MICROS);
        assertEquals(-1, one.select(now + 5 * SECOND_MICROS - 1), "Retry-After is respected");
        RegistryEndpoints two = new RegistryEndpoints(2, new BackoffSettings(100_000, 1_500_000, SECOND_MICROS), 3);
        int first = two.select(0);
        two.recordSuccess(first);
        two.recordFailure(first, 0, EndpointFailure.TIMEOUT, 0);
        assertEquals(1 - first, two.select(0), "another endpoint is used at once after a timeout");
        two.recordSuccess(first);
        two.recordFailure(first, 0, EndpointFailure.ERROR_RESPONSE, 0);
        assertEquals(1 - first, two.select(0), "another endpoint is used at once after an error response");
        two.recordSuccess(1 - first);
        assertEquals(1 - first, two.select(10 * SECOND_MICROS), "the endpoint in use is kept");
        two.recordSuccess(first);
        two.recordStaleResponse(1 - first, 10 * SECOND_MICROS, SECOND_MICROS);
        two.recordFailure(first, 10 * SECOND_MICROS - 1, EndpointFailure.TIMEOUT, 0);
        assertEquals(first, two.select(11 * SECOND_MICROS), "the other endpoint is preferred, although it failed once");
    }
}
