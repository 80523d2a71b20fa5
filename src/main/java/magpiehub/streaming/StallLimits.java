package magpiehub.streaming;

/**
 * How long an upstream may be silent on a stream before it counts as stalled.
 *
 * @param minMicros the lower bound of the limit
 * @param maxMicros the upper bound of the limit
 * @param factor the limit as a multiple of the 99th percentile of the upstream's gaps between events
 */
public record StallLimits(long minMicros, long maxMicros, double factor) {
    /** Whether the limit adapts to the upstream's gaps between events; otherwise it is {@link #maxMicros}. */
    public boolean isAdaptive() {
        return minMicros < maxMicros;
    }
}
