package magpiehub.discovery;

import java.util.Arrays;
import java.util.SplittableRandom;

/**
 * Which of a registry's endpoints is asked next, and when. It is a plain state machine: it owns the health
 * and the waits of the endpoints. It must never do I/O or read a clock. The waits are decorrelated jitter:
 * each is drawn between the base and three times the one before, up to a cap, so that routers which lost a
 * registry together do not come back together. The first wait after a link that worked is drawn from the
 * whole spread, for the same reason: at that time all of them have waited equally long.
 */
public final class Endpoints {
    /** Waits in microseconds: {@code base} and {@code cap} for endpoints that fail, {@code spread} for links
     *  that were lost. */
    public record Options(long base, long cap, long spread) {}

    /** How an endpoint came to be lost. */
    public enum Loss {
        /** A link in use broke, or none could be made: others have likely lost theirs just now. */
        LINK,
        /** The same, found late by a link that had been at rest: part of the spread has gone by. */
        REST,
        /** It stopped answering, which each router finds out at a time of its own. */
        SILENCE,
        /** It answered, with an error: the others are asked at once, and it alone is waited for. */
        ANSWER
    }

    private final Options options;
    private final long[] readyAt;
    private final long[] wait;
    private final int[] failures;
    private final boolean[] worked;
    private int current;
    private long spreadUntil = Long.MIN_VALUE;
    private final SplittableRandom random;

    /** So many endpoints, none asked yet. */
    public Endpoints(int count, Options options, long seed) {
        this.options = options;
        random = new SplittableRandom(seed);
        readyAt = new long[count];
        wait = new long[count];
        failures = new int[count];
        worked = new boolean[count];
        Arrays.fill(readyAt, Long.MIN_VALUE);
        // Routers that start together are spread over the endpoints.
        current = (int) Math.floorMod(random(Long.MAX_VALUE), (long) count);
    }

    /** The endpoint to ask now: the one in use while it is ready, else the ready one that failed least; -1 if
     *  none is ready. */
    public int pick(long now) {
        int best = -1;
        for (int k = 0; k < readyAt.length; k++) {
            int i = (current + k) % readyAt.length;
            if (readyAt[i] <= now && (best < 0 || failures[i] < failures[best])) {
                best = i;
            }
        }
        if (best >= 0) {
            current = best;
        }
        return best;
    }

    /** An endpoint for a second word: another one if any is ready, else the same; -1 if none is. */
    public int other(long now) {
        for (int k = 1; k <= readyAt.length; k++) {
            int i = (current + k) % readyAt.length;
            if (readyAt[i] <= now && failures[i] == 0) {
                return i;
            }
        }
        return pick(now);
    }

    /** When an endpoint will be ready (us). */
    public long readyAt() {
        return Arrays.stream(readyAt).min().orElseThrow();
    }

    /** An endpoint has answered as it should. */
    public void up(int endpoint) {
        failures[endpoint] = 0;
        wait[endpoint] = 0;
        worked[endpoint] = true;
    }

    /**
     * An endpoint could not be asked, did not answer, or ended what it was telling.
     *
     * @param least it says itself that it is not to be asked sooner (us); 0 otherwise
     */
    public void failed(int endpoint, long now, Loss loss, long least) {
        failures[endpoint]++;
        if (worked[endpoint] && (loss == Loss.LINK || loss == Loss.REST)) {
            // Likely for others too: every endpoint waits a part of the spread, or the next one is run over.
            // A second loss soon after waits less, or two would cost more than any single one may.
            worked[endpoint] = false;
            long spread = now < spreadUntil
                    ? options.spread / 5
                    : loss == Loss.REST ? options.spread * 2 / 3 : options.spread;
            long at = now + random(Math.max(1, spread));
            spreadUntil = now + 2 * options.spread;
            wait[endpoint] = Math.max(options.base, at - now);
            for (int i = 0; i < readyAt.length; i++) {
                readyAt[i] = Math.max(readyAt[i], at);
            }
            current = (endpoint + 1) % readyAt.length;
        } else {
            worked[endpoint] = false;
            long most = Math.max(options.base + 1, Math.min(options.cap, 3 * Math.max(wait[endpoint], options.base)));
            wait[endpoint] = options.base + random(most - options.base);
            readyAt[endpoint] = now + wait[endpoint];
        }
        readyAt[endpoint] = Math.max(readyAt[endpoint], now + least);
    }

    /** An endpoint told what can't be current: others are asked first, and this one after so long (us). */
    public void suspect(int endpoint, long now, long wait) {
        failures[endpoint]++;
        readyAt[endpoint] = Math.max(readyAt[endpoint], now + wait);
        current = (endpoint + 1) % readyAt.length;
    }

    private long random(long below) {
        return random.nextLong(below);
    }
}
