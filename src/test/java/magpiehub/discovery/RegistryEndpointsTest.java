package magpiehub.discovery;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.util.TreeSet;
import org.junit.Test;

/** The selection of endpoints and their backoff. */
public class RegistryEndpointsTest {
    private static final long S = 1_000_000;

    @Test
    public void routersThatLoseARegistryReconnectSpread() {
        TreeSet<Long> first = new TreeSet<>();
        for (int i = 0; i < 300; i++) {
            RegistryEndpoints endpoints =
                    new RegistryEndpoints(3, new BackoffSettings(100_000, 1_500_000, 1_500_000), i);
            int at = endpoints.select(0);
            endpoints.recordSuccess(at);
            endpoints.recordFailure(at, S, EndpointFailure.CONNECTION_LOST, 0);
            assertEquals("none of them at once", -1, endpoints.select(S - 1));
            first.add(endpoints.nextReadyAtMicros());
        }
        long[] times = first.stream().mapToLong(t -> t).toArray();
        assertTrue(
                "the middle nine tenths take over a second",
                times[times.length * 95 / 100] - times[times.length * 5 / 100] > S);
    }

    @Test
    public void backoffGrowsToTheCapAndOtherEndpointsAreUsedMeanwhile() {
        RegistryEndpoints one = new RegistryEndpoints(1, new BackoffSettings(100_000, 1_500_000, 0), 3);
        long now = 0;
        long longest = 0;
        for (int i = 0; i < 50; i++) {
            one.recordFailure(0, now, EndpointFailure.CONNECTION_LOST, 0);
            long wait = one.nextReadyAtMicros() - now;
            assertTrue("" + wait, wait >= 100_000 && wait <= 1_500_000);
            assertTrue("at most three times the one before", wait <= Math.max(300_000, 3 * longest));
            longest = Math.max(longest, wait);
            now += wait;
        }
        assertTrue(longest > S);
        one.recordFailure(0, now, EndpointFailure.ERROR_RESPONSE, 5 * S);
        assertEquals("it said itself when to return", -1, one.select(now + 5 * S - 1));
        RegistryEndpoints two = new RegistryEndpoints(2, new BackoffSettings(100_000, 1_500_000, S), 3);
        int first = two.select(0);
        two.recordSuccess(first);
        two.recordFailure(first, 0, EndpointFailure.TIMEOUT, 0);
        assertEquals("a silent one is left at once", 1 - first, two.select(0));
        two.recordSuccess(first);
        two.recordFailure(first, 0, EndpointFailure.ERROR_RESPONSE, 0);
        assertEquals(
                "one that answers with an error is no restart: another is asked at once", 1 - first, two.select(0));
        two.recordSuccess(1 - first);
        assertEquals("the one in use stays in use", 1 - first, two.select(10 * S));
        two.recordSuccess(first);
        two.recordStaleAnswer(1 - first, 10 * S, S);
        two.recordFailure(first, 10 * S - 1, EndpointFailure.TIMEOUT, 0);
        assertEquals("not even after another failed once", first, two.select(11 * S));
    }
}
