package magpiehub.streaming;

/**
 * How long an upstream may be silent on a stream before that counts as a stall.
 *
 * @param minMicros the limit is never shorter than this
 * @param maxMicros the limit is never longer than this
 * @param factor the limit as a multiple of the gap between events that 99 of 100 of the upstream's gaps stay below
 */
public record StallLimits(long minMicros, long maxMicros, double factor) {
    /** Whether limits are learned from the upstreams' gaps between events; if not, {@link #maxMicros} alone counts. */
    public boolean isAdaptive() {
        return minMicros < maxMicros;
    }
}
