package magpiehub.streaming;

/**
 * Counts of the gaps between events, in buckets a quarter of an octave wide. All counts are halved now and then, so
 * that old gaps are forgotten. Only quantiles are asked for, which bursts (many events in one read) can't move far.
 */
final class GapHistogram {
    /** Shorter gaps come of a burst and say nothing about the upstream's pace (us); the first bucket begins here. */
    static final long MIN_GAP_MICROS = 500;

    private static final int BUCKETS = 80;
    private static final int BUCKETS_PER_OCTAVE = 4;
    /** With fewer gaps than this no quantile is known. */
    private static final int MIN_SAMPLES = 40;

    private final int[] counts = new int[BUCKETS];
    private final int halvingThreshold;
    private int total;

    /**
     * An empty histogram.
     *
     * @param halvingThreshold the number of gaps at which all counts are halved
     */
    GapHistogram(int halvingThreshold) {
        this.halvingThreshold = halvingThreshold;
    }

    private static int bucketOf(long gapMicros) {
        return (int) Math.max(
                0,
                Math.min(
                        BUCKETS - 1, BUCKETS_PER_OCTAVE * Math.log((double) gapMicros / MIN_GAP_MICROS) / Math.log(2)));
    }

    void add(long gapMicros) {
        counts[bucketOf(gapMicros)]++;
        if (++total >= halvingThreshold) {
            halve();
        }
    }

    private void halve() {
        total = 0;
        for (int i = 0; i < BUCKETS; i++) {
            counts[i] /= 2;
            total += counts[i];
        }
    }

    /** The gap that a fraction of all stay below (us), to a quarter of an octave; 0 if too few are known. */
    long quantile(double fraction) {
        if (total < MIN_SAMPLES) {
            return 0;
        }
        long below = 0;
        for (int i = 0; i < BUCKETS; i++) {
            below += counts[i];
            if (below >= fraction * total) {
                return (long) (MIN_GAP_MICROS * Math.pow(2, (i + 1) / (double) BUCKETS_PER_OCTAVE));
            }
        }
        throw new AssertionError("a fraction above 1");
    }
}
