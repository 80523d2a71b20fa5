package magpiehub.streaming;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Learns from the gaps between events how long a silence of each upstream is normal, and says from when on it is a
 * stall. The limit is a multiple of the upstream's own slowest gaps. Where the fleet as a whole has become slower, all
 * limits grow with it: a slowdown that all upstreams share is no stall.
 *
 * <p>A state machine without I/O or a clock of its own. Not thread-safe: an instance belongs to one lock or one thread.
 */
public final class StallDetector {
    /** An upstream's histogram is halved at so many gaps. */
    private static final int UPSTREAM_HALVING_THRESHOLD = 2048;
    /** The histogram of the fleet's pace of now is halved at so many gaps. */
    private static final int RECENT_HALVING_THRESHOLD = 512;
    /** The histogram of the fleet's usual pace is halved at so many gaps: much later than the recent one. */
    private static final int USUAL_HALVING_THRESHOLD = 65_536;
    /** The most by which a slowdown of the whole fleet lengthens the limits. */
    private static final double MAX_FLEET_SLOWDOWN = 4;
    /** The part of an upstream's gaps that stay below its slowest normal one. */
    private static final double SLOWEST_GAP_QUANTILE = 0.99;

    private static final double MEDIAN = 0.5;

    private static final class Upstream {
        private final GapHistogram gaps = new GapHistogram(UPSTREAM_HALVING_THRESHOLD);
        /** When an event last came on any of its streams (us). */
        private long lastEventMicros;

        private int openStreams;
    }

    private final StallLimits limits;
    private final Map<String, Upstream> upstreams = new HashMap<>();
    private final GapHistogram usualGaps = new GapHistogram(USUAL_HALVING_THRESHOLD);
    private final GapHistogram recentGaps = new GapHistogram(RECENT_HALVING_THRESHOLD);

    /** A detector that has learned nothing yet. */
    public StallDetector(StallLimits limits) {
        this.limits = limits;
    }

    /** Records that a stream has begun on an upstream. */
    public void startStream(String upstreamId, long nowMicros) {
        if (!limits.isAdaptive()) {
            return;
        }
        Upstream upstream = upstreams.computeIfAbsent(upstreamId, id -> new Upstream());
        upstream.openStreams++;
        upstream.lastEventMicros = nowMicros;
    }

    /** Records that a stream is over on an upstream. */
    public void endStream(String upstreamId) {
        Upstream upstream = upstreams.get(upstreamId);
        if (upstream != null && upstream.openStreams > 0) {
            upstream.openStreams--;
        }
    }

    /**
     * Records an event.
     *
     * @param gapMicros the time since the event before it on the same stream
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

    /** Forgets an upstream that is no longer in the endpoint list. */
    public void removeUpstream(String upstreamId) {
        upstreams.remove(upstreamId);
    }

    /** Forgets all upstreams but these. */
    public void retainUpstreams(Set<String> upstreamIds) {
        upstreams.keySet().retainAll(upstreamIds);
    }

    /** How many times slower than usual the whole fleet is now; 1 if it is not. */
    public double fleetSlowdown() {
        long usual = usualGaps.quantile(MEDIAN);
        long recent = recentGaps.quantile(MEDIAN);
        return usual == 0 || recent <= usual ? 1 : Math.min(MAX_FLEET_SLOWDOWN, (double) recent / usual);
    }

    /**
     * How long a stream on this upstream may be silent before that is a stall (us). An upstream whose other streams go
     * on is given twice as long: one stream may wait behind the prompt of another.
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
