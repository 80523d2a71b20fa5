package magpiehub.streaming;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * What is normal for an engine's streams, and from it when a silence is a stall. It owns the gaps between
 * events: of each engine, of the whole fleet over a long time, and of the fleet now. It is a plain state
 * machine: it must never do I/O or read a clock. An instance belongs to one lock or one thread.
 *
 * <p>Gaps are kept in classes a quarter of an octave wide, and halved now and then so that what was normal is
 * forgotten; all that is asked of them is quantiles, which bursts (many events in one read) can't move far.
 * A limit is a multiple of the engine's own slowest gaps. Where the fleet as a whole has become slower,
 * limits grow with it: a shared slowness is no stall.
 */
public final class StallDetector {
    /** Limits (us): never sooner than {@code floor}, never later than {@code ceiling}; {@code factor} times
     *  the gap that 99 of 100 stay below. */
    public record Options(long floor, long ceiling, double factor) {
        /** Whether silences are judged by what was learnt; if not, the ceiling alone counts. */
        public boolean learns() {
            return floor < ceiling;
        }
    }

    /** Gaps shorter than this came in one burst and say nothing of the engine (us). */
    private static final long BURST = 500;

    private static final int CLASSES = 80;
    private static final int LEAST = 40;
    private static final int HALVED_AT = 2048;
    /** The fleet's gaps of now are forgotten after so many, its usual ones much later. */
    private static final int NOW_AT = 512;

    private static final int USUAL_AT = 65_536;
    private static final double SLOWEST_SHARED = 4;

    /** Counts of gaps by size. */
    static final class Gaps {
        private final int[] counts = new int[CLASSES];
        private final int halvedAt;
        private int total;

        Gaps(int halvedAt) {
            this.halvedAt = halvedAt;
        }

        static int at(long gap) {
            return (int) Math.max(0, Math.min(CLASSES - 1, 4 * Math.log((double) gap / BURST) / Math.log(2)));
        }

        void add(long gap) {
            counts[at(gap)]++;
            if (++total >= halvedAt) {
                total = 0;
                for (int i = 0; i < CLASSES; i++) {
                    counts[i] /= 2;
                    total += counts[i];
                }
            }
        }

        /** The gap that a part of all stay below (us), to a quarter of an octave; 0 if too few are known. */
        long quantile(double part) {
            if (total < LEAST) {
                return 0;
            }
            long below = 0;
            for (int i = 0; i < CLASSES; i++) {
                below += counts[i];
                if (below >= part * total) {
                    return (long) (BURST * Math.pow(2, (i + 1) / 4.0));
                }
            }
            throw new AssertionError("more than all");
        }
    }

    private static final class Engine {
        final Gaps gaps = new Gaps(HALVED_AT);
        /** When this engine last said anything on any stream, and how many streams it has under way. */
        long heardAt;

        int streams;
    }

    private final Options options;
    private final Map<String, Engine> engines = new HashMap<>();
    private final Gaps usual = new Gaps(USUAL_AT);
    private final Gaps lately = new Gaps(NOW_AT);

    public StallDetector(Options options) {
        this.options = options;
    }

    /** A stream has begun on an engine. */
    public void begun(String engine, long now) {
        if (!options.learns()) {
            return;
        }
        Engine e = engines.computeIfAbsent(engine, k -> new Engine());
        e.streams++;
        e.heardAt = now;
    }

    /** A stream is over on an engine. */
    public void ended(String engine) {
        Engine e = engines.get(engine);
        if (e != null && e.streams > 0) {
            e.streams--;
        }
    }

    /** An event has come, so long after the one before it on its stream (us). */
    public void heard(String engine, long gap, long now) {
        Engine e = engines.computeIfAbsent(engine, k -> new Engine());
        e.heardAt = now;
        if (gap >= BURST) {
            e.gaps.add(gap);
            usual.add(gap);
            lately.add(gap);
        }
    }

    /** The engine is no longer listed. */
    public void gone(String engine) {
        engines.remove(engine);
    }

    /** Engines that are not among these are no longer listed. */
    public void only(Set<String> listed) {
        engines.keySet().retainAll(listed);
    }

    /** How much slower than usual the fleet is now; 1 if it is not. */
    public double shared() {
        long was = usual.quantile(0.5);
        long is = lately.quantile(0.5);
        return was == 0 || is <= was ? 1 : Math.min(SLOWEST_SHARED, (double) is / was);
    }

    /**
     * How long a stream on this engine may be silent (us) before that is a stall. An engine whose other
     * streams go on is given twice as long: one stream may wait behind another's prompt.
     */
    public long limit(String engine, long now) {
        Engine e = engines.get(engine);
        long slowest = e == null ? 0 : e.gaps.quantile(0.99);
        if (!options.learns() || slowest == 0) {
            return options.ceiling;
        }
        double limit = Math.max((double) options.floor, options.factor * slowest) * shared();
        if (e.streams > 1 && now - e.heardAt < limit / 2) {
            limit *= 2;
        }
        return (long) Math.min((double) options.ceiling, limit);
    }
}
