package magpiehub.discovery;

import java.util.Arrays;
import java.util.SplittableRandom;

/**
 * Selects which of a registry's endpoints is called next, and when, by their health and backoff. A state machine
 * without I/O and without a clock. Not thread-safe.
 *
 * <p>The backoff uses decorrelated jitter: each wait is random between the base and three times the previous wait, up
 * to a cap, so that routers that lost a registry together do not reconnect together. For the same reason, the first
 * wait after the loss of a working connection is random over the whole reconnect spread: at that time no router has
 * waited yet, so their backoffs do not differ.
 */
public final class RegistryEndpoints {
    /** A repeated connection loss, soon after the previous one, waits at most the spread divided by this. */
    private static final int REPEATED_LOSS_SPREAD_DIVISOR = 5;
    /** For how many reconnect spreads after a connection loss another loss counts as repeated. */
    private static final int REPEATED_LOSS_SPREADS = 2;

    private static final int BACKOFF_GROWTH = 3;

    private final BackoffSettings backoff;
    private final long[] readyAtMicros;
    private final long[] waitMicros;
    /** Consecutive failures. */
    private final int[] failures;
    /** Whether the endpoint's last call succeeded. */
    private final boolean[] lastCallSucceeded;

    private final SplittableRandom random;
    private int current;
    private long repeatedLossUntilMicros = Long.MIN_VALUE;

    /** Creates the state of {@code count} endpoints that have not been called yet. */
    public RegistryEndpoints(int count, BackoffSettings backoff, long seed) {
        this.backoff = backoff;
        random = new SplittableRandom(seed);
        readyAtMicros = new long[count];
        waitMicros = new long[count];
        failures = new int[count];
        lastCallSucceeded = new boolean[count];
        Arrays.fill(readyAtMicros, Long.MIN_VALUE);
        // Spreads routers that start together over the endpoints.
        current = (int) Math.floorMod(randomBelow(Long.MAX_VALUE), (long) count);
    }

    /**
     * Selects the endpoint to call now: the ready one with the fewest consecutive failures, and the one in use if
     * several have equally few.
     *
     * @return its index, or -1 if none is ready
     */
    public int select(long nowMicros) {
        int best = -1;
        for (int k = 0; k < readyAtMicros.length; k++) {
            int i = (current + k) % readyAtMicros.length;
            if (readyAtMicros[i] <= nowMicros && (best < 0 || failures[i] < failures[best])) {
                best = i;
            }
        }
        if (best >= 0) {
            current = best;
        }
        return best;
    }

    /**
     * Selects an endpoint for a confirming read: another healthy one if any is ready, otherwise as {@link #select}.
     *
     * @return its index, or -1 if none is ready
     */
    public int selectAlternative(long nowMicros) {
        for (int k = 1; k <= readyAtMicros.length; k++) {
            int i = (current + k) % readyAtMicros.length;
            if (readyAtMicros[i] <= nowMicros && failures[i] == 0) {
                return i;
            }
        }
        return select(nowMicros);
    }

    /** Returns when the first endpoint will be ready. */
    public long nextReadyAtMicros() {
        return Arrays.stream(readyAtMicros).min().orElseThrow();
    }

    /** Records that an endpoint responded successfully. */
    public void recordSuccess(int endpoint) {
        failures[endpoint] = 0;
        waitMicros[endpoint] = 0;
        lastCallSucceeded[endpoint] = true;
    }

    /**
     * Records that a call failed: the connection failed or was lost, or the endpoint timed out or reported an error.
     *
     * @param retryAfterMicros the minimum wait that the endpoint requested; 0 for none
     */
    public void recordFailure(int endpoint, long nowMicros, EndpointFailure failure, long retryAfterMicros) {
        failures[endpoint]++;
        boolean connectionLost =
                failure == EndpointFailure.CONNECTION_LOST || failure == EndpointFailure.IDLE_CONNECTION_LOST;
        if (lastCallSucceeded[endpoint] && connectionLost) {
            spreadReconnects(endpoint, nowMicros, failure);
        } else {
            backOff(endpoint, nowMicros);
        }
        lastCallSucceeded[endpoint] = false;
        readyAtMicros[endpoint] = Math.max(readyAtMicros[endpoint], nowMicros + retryAfterMicros);
    }

    /**
     * Records that an endpoint delivered stale data: it is not called during the pause, and the other endpoints are
     * preferred.
     */
    public void recordStaleResponse(int endpoint, long nowMicros, long pauseMicros) {
        failures[endpoint]++;
        readyAtMicros[endpoint] = Math.max(readyAtMicros[endpoint], nowMicros + pauseMicros);
        current = (endpoint + 1) % readyAtMicros.length;
    }

    /**
     * Delays all endpoints by a random part of the reconnect spread. Other routers have likely lost their connections
     * too, and would otherwise overload the next endpoint together.
     */
    private void spreadReconnects(int endpoint, long nowMicros, EndpointFailure failure) {
        long readyAt = nowMicros + randomBelow(Math.max(1, spreadMicros(nowMicros, failure)));
        repeatedLossUntilMicros = nowMicros + REPEATED_LOSS_SPREADS * backoff.spreadMicros();
        waitMicros[endpoint] = Math.max(backoff.baseMicros(), readyAt - nowMicros);
        for (int i = 0; i < readyAtMicros.length; i++) {
            readyAtMicros[i] = Math.max(readyAtMicros[i], readyAt);
        }
        current = (endpoint + 1) % readyAtMicros.length;
    }

    private long spreadMicros(long nowMicros, EndpointFailure failure) {
        if (nowMicros < repeatedLossUntilMicros) {
            // Waits less after a repeated loss, so that two losses do not exceed the delay allowed for a single one.
            return backoff.spreadMicros() / REPEATED_LOSS_SPREAD_DIVISOR;
        }
        // When an idle connection detects the loss, part of the spread has already passed.
        return failure == EndpointFailure.IDLE_CONNECTION_LOST
                ? backoff.spreadMicros() * 2 / 3
                : backoff.spreadMicros();
    }

    private void backOff(int endpoint, long nowMicros) {
        long base = backoff.baseMicros();
        long grown = BACKOFF_GROWTH * Math.max(waitMicros[endpoint], base);
        long limit = Math.max(base + 1, Math.min(backoff.capMicros(), grown));
        waitMicros[endpoint] = base + randomBelow(limit - base);
        readyAtMicros[endpoint] = nowMicros + waitMicros[endpoint];
    }

    private long randomBelow(long bound) {
        return random.nextLong(bound);
    }
}
