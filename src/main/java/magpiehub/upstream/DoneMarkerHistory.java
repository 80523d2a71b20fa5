package magpiehub.upstream;

import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Which upstreams end their streams with {@code [DONE]}, learnt from the streams that they have sent. An upstream that
 * has done so without exception is expected to go on; one exception, as after an update of its software, makes it
 * unknown again. Thread-safe.
 */
final class DoneMarkerHistory {
    /** The number of consecutive streams with the marker from which on it is expected. */
    static final int MIN_CONSECUTIVE_STREAMS = 8;

    private final Map<String, Integer> consecutiveByUpstream = new ConcurrentHashMap<>();

    /** Whether the next stream of an upstream is expected to end with the marker. */
    boolean isExpected(String upstreamId) {
        return consecutiveByUpstream.getOrDefault(upstreamId, 0) >= MIN_CONSECUTIVE_STREAMS;
    }

    /** Records how a stream ended that has reached the end of its framing. */
    void record(String upstreamId, StreamEnd end) {
        if (end == StreamEnd.DONE) {
            consecutiveByUpstream.merge(upstreamId, 1, (count, one) -> Math.min(MIN_CONSECUTIVE_STREAMS, count + one));
        } else if (end != StreamEnd.MISSING) {
            consecutiveByUpstream.remove(upstreamId);
        }
    }

    /** Drops what is known of an upstream that is no longer in the endpoint list. */
    void remove(String upstreamId) {
        consecutiveByUpstream.remove(upstreamId);
    }

    /** Drops what is known of all upstreams except these. */
    void retain(Set<String> upstreamIds) {
        consecutiveByUpstream.keySet().retainAll(upstreamIds);
    }
}
