package magpiehub.streaming;

/**
 * A histogram of the gaps between events, with four buckets per octave. All counts are halved repeatedly, so that old
 * gaps lose weight. Only quantiles are queried, since bursts (many events in one read) have little influence on them.
 */
final class GapHistogram {
    /** Shorter gaps occur in bursts and do not reflect the upstream's pace. The first bucket starts here. */
    static final long MIN_GAP_MICROS = 500;

    private static final int BUCKETS = 80;
    private static final int BUCKETS_PER_OCTAVE = 4;
    /** Quantiles are unknown with fewer gaps than this. */
    private static final int MIN_SAMPLES = 40;

    private final int[] counts = new int[BUCKETS];
    private final int halvingThreshold;
    private int total;

    /**
     * Creates an empty histogram.
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

    /** A quantile of the gaps in microseconds, with the resolution of a bucket; 0 if there are too few gaps. */
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
        throw new AssertionError("quantile fraction above 1: " + fraction);
    }
}
