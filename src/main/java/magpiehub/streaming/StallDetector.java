package magpiehub.streaming;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Derives, from the gaps between events, for how long each upstream may be silent before it counts as stalled. The
 * limit is a multiple of a high quantile of the upstream's own gaps. If the fleet as a whole becomes slower, all limits
 * are extended accordingly: a slowdown that all upstreams share is not a stall.
 *
 * <p>Does no I/O and takes the time as a parameter. Not thread-safe: callers serialize access to an instance.
 */
public final class StallDetector {
    /** The number of gaps at which the histogram of an upstream is halved. */
    private static final int UPSTREAM_HALVING_THRESHOLD = 2048;
    /** The number of gaps at which the histogram of the fleet's recent pace is halved. */
    private static final int RECENT_HALVING_THRESHOLD = 512;
    /** The same for the histogram of the fleet's usual pace, which covers a much longer period than the recent one. */
    private static final int USUAL_HALVING_THRESHOLD = 65_536;
    /** The largest factor by which a slowdown of the whole fleet extends the limits. */
    private static final double MAX_FLEET_SLOWDOWN = 4;
    /** The quantile of an upstream's gaps that counts as its slowest normal gap. */
    private static final double SLOWEST_GAP_QUANTILE = 0.99;

    private static final double MEDIAN = 0.5;

    private static final class Upstream {
        private final GapHistogram gaps = new GapHistogram(UPSTREAM_HALVING_THRESHOLD);
        /** When an event was last received on any of the upstream's streams. */
        private long lastEventMicros;

        private int openStreams;
    }

    private final StallLimits limits;
    private final Map<String, Upstream> upstreams = new HashMap<>();
    private final GapHistogram usualGaps = new GapHistogram(USUAL_HALVING_THRESHOLD);
    private final GapHistogram recentGaps = new GapHistogram(RECENT_HALVING_THRESHOLD);

    /** Creates a detector without statistics. */
    public StallDetector(StallLimits limits) {
        this.limits = limits;
    }

    /** Records the start of a stream on an upstream. */
    public void startStream(String upstreamId, long nowMicros) {
        if (!limits.isAdaptive()) {
            return;
        }
        Upstream upstream = upstreams.computeIfAbsent(upstreamId, id -> new Upstream());
        upstream.openStreams++;
        upstream.lastEventMicros = nowMicros;
    }

    /** Records the end of a stream on an upstream. */
    public void endStream(String upstreamId) {
        Upstream upstream = upstreams.get(upstreamId);
        if (upstream != null && upstream.openStreams > 0) {
            upstream.openStreams--;
        }
    }

    /**
     * Records an event.
     *
     * @param gapMicros the time since the previous event on the same stream
     */
    public void recordEvent(String upstreamId, long gapMicros, long nowMicros) {
        Upstream upstream = upstreams.computeIfAbsent(upstreamId, id -> new Upstream());
        upstream.lastEventMicros = nowMicros;
        if (gapMicros >= GapHistogram.MIN_GAP_MICROS) {
            upstream.gaps.add(gapMicros);
            usualGaps.add(gapMicros);
            recentGaps.add(gapMicros);
        }
    }

    /** Drops the statistics of an upstream that is no longer in the endpoint list. */
    public void removeUpstream(String upstreamId) {
        upstreams.remove(upstreamId);
    }

    /** Drops the statistics of all upstreams except these. */
    public void retainUpstreams(Set<String> upstreamIds) {
        upstreams.keySet().retainAll(upstreamIds);
    }

    /** The ratio of the fleet's recent median gap to its usual one, from 1 to {@link #MAX_FLEET_SLOWDOWN}. */
    public double fleetSlowdown() {
        long usual = usualGaps.quantile(MEDIAN);
        long recent = recentGaps.quantile(MEDIAN);
        return usual == 0 || recent <= usual ? 1 : Math.min(MAX_FLEET_SLOWDOWN, (double) recent / usual);
    }

    /**
     * How long a stream on this upstream may be silent before it counts as stalled. The limit is doubled for an
     * upstream whose other streams make progress: one stream may be waiting for the prompt of another to be processed.
     */
    public long limitMicros(String upstreamId, long nowMicros) {
        Upstream upstream = upstreams.get(upstreamId);
        long slowestGap = upstream == null ? 0 : upstream.gaps.quantile(SLOWEST_GAP_QUANTILE);
        if (!limits.isAdaptive() || slowestGap == 0) {
            return limits.maxMicros();
        }
        double limit = Math.max((double) limits.minMicros(), limits.factor() * slowestGap) * fleetSlowdown();
        if (upstream.openStreams > 1 && nowMicros - upstream.lastEventMicros < limit / 2) {
            limit *= 2;
        }
        return (long) Math.min((double) limits.maxMicros(), limit);
    }
}
