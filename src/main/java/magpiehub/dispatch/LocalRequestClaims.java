package magpiehub.dispatch;

import java.util.LinkedHashMap;
import java.util.Map;
import magpiehub.concurrent.MonotonicClock;

/**
 * The claims of one process, in memory. Claims that nobody releases end after a time; the oldest make room for others.
 */
final class LocalRequestClaims implements RequestClaims {
    /** Longer than a request and its repeats take. */
    static final long RETENTION_MICROS = 600_000_000;

    static final int MAX_CLAIMS = 8192;

    private final MonotonicClock clock;
    /** When each claim was made, the oldest first. */
    private final Map<String, Long> claimedAtById = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
            return size() > MAX_CLAIMS;
        }
    };

    LocalRequestClaims(MonotonicClock clock) {
        this.clock = clock;
    }

    @Override
    public boolean tryClaim(String requestId) {
        long nowMicros = clock.micros();
        Long claimedAt = claimedAtById.get(requestId);
        if (claimedAt != null && nowMicros - claimedAt < RETENTION_MICROS) {
            return false;
        }
        claimedAtById.remove(requestId);
        claimedAtById.put(requestId, nowMicros);
        return true;
    }

    @Override
    public void release(String requestId) {
        claimedAtById.remove(requestId);
    }
}
