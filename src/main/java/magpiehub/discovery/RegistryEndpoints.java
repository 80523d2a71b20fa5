package magpiehub.discovery;

import java.util.Arrays;
import java.util.SplittableRandom;

/**
 * Selects which of a registry's endpoints is called next, and when, by their health and backoff. A state
 * machine without I/O and without a clock; an instance belongs to one thread.
 *
 * <p>The backoff is decorrelated jitter: each wait is drawn between the base and three times the one before,
 * up to a cap, so that routers which lost a registry together do not return together. The first wait after a
 * connection that worked is drawn from the whole spread, for the same reason: at that time all of them have
 * waited equally long.
 */
public final class RegistryEndpoints {
    /** A further connection lost while the last spread may still run waits this part of the spread. */
    private static final int REPEATED_LOSS_SPREAD_DIVISOR = 5;
    /** For how many spreads after a loss another one counts as repeated. */
    private static final int REPEATED_LOSS_SPREADS = 2;

    private static final int BACKOFF_GROWTH = 3;

    private final BackoffSettings backoff;
    private final long[] readyAtMicros;
    private final long[] waitMicros;
    /** Failures in a row. */
    private final int[] failures;
    /** Whether the endpoint's last call succeeded. */
    private final boolean[] worked;

    private final SplittableRandom random;
    private int current;
    private long repeatedLossUntilMicros = Long.MIN_VALUE;

    /** The state of {@code count} endpoints, none of which was called yet. */
    public RegistryEndpoints(int count, BackoffSettings backoff, long seed) {
        this.backoff = backoff;
        random = new SplittableRandom(seed);
        readyAtMicros = new long[count];
        waitMicros = new long[count];
        failures = new int[count];
        worked = new boolean[count];
        Arrays.fill(readyAtMicros, Long.MIN_VALUE);
        // Routers that start together are spread over the endpoints.
        current = (int) Math.floorMod(randomBelow(Long.MAX_VALUE), (long) count);
    }

    /**
     * Selects the endpoint to call now: the one in use while it is ready, else the ready one with the fewest
     * failures.
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
     * Selects an endpoint for a second read: another healthy one if any is ready, else as {@link #select}.
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

    /** When the first endpoint will be ready. */
    public long nextReadyAtMicros() {
        return Arrays.stream(readyAtMicros).min().orElseThrow();
    }

    /** Records that an endpoint has answered as it should. */
    public void recordSuccess(int endpoint) {
        failures[endpoint] = 0;
        waitMicros[endpoint] = 0;
        worked[endpoint] = true;
    }

    /**
     * Records that an endpoint could not be called, did not answer, or ended its answer early.
     *
     * @param retryAfterMicros the least wait that the endpoint itself asked for; 0 for none
     */
    public void recordFailure(int endpoint, long nowMicros, EndpointFailure failure, long retryAfterMicros) {
        failures[endpoint]++;
        boolean connectionLost =
                failure == EndpointFailure.CONNECTION_LOST || failure == EndpointFailure.IDLE_CONNECTION_LOST;
        if (worked[endpoint] && connectionLost) {
            spreadReconnects(endpoint, nowMicros, failure);
        } else {
            backOff(endpoint, nowMicros);
        }
        worked[endpoint] = false;
        readyAtMicros[endpoint] = Math.max(readyAtMicros[endpoint], nowMicros + retryAfterMicros);
    }

    /**
     * Records that an endpoint delivered what can't be current: the others are preferred, and this one is left alone
     * for a while.
     */
    public void recordStaleAnswer(int endpoint, long nowMicros, long pauseMicros) {
        failures[endpoint]++;
        readyAtMicros[endpoint] = Math.max(readyAtMicros[endpoint], nowMicros + pauseMicros);
        current = (endpoint + 1) % readyAtMicros.length;
    }

    /**
     * Other routers have likely lost their connections, too: every endpoint waits a part of the spread, or the
     * next one would be overrun.
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
            // A second loss soon after waits less, or two would cost more than any single one may.
            return backoff.spreadMicros() / REPEATED_LOSS_SPREAD_DIVISOR;
        }
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
