package magpiehub.routing;

/**
 * Tracks the cache hits of prompt tokens that complete answers report: the hit ratio of the fleet, and misses of single
 * prefixes, after which the replica is removed from the affinity entry.
 */
final class PromptCacheTracker {
    /** Hit ratio below which tokens count as not cached. */
    private static final double LOW_HIT_RATIO = 0.5;

    /**
     * Minimum time between two removals of a replica after a miss. If all caches are lost at once, as after a release,
     * the assignment of keys to replicas is still right.
     */
    private static final long MISS_INTERVAL_MICROS = 1_000_000;

    /** Weight of the newest answer in the fleet's hit ratio; a release shows after about twenty answers. */
    private static final double NEWEST_WEIGHT = 0.05;

    /** Fraction of prompt tokens found cached: the mean of the first answers, then a moving average. */
    private double hitRatio = 1;

    private int answersSeen = 1;
    private long lastMissAt;

    PromptCacheTracker(long now) {
        lastMissAt = now;
    }

    /** Returns whether most tokens are found cached, so that keeping a key at its replica is worthwhile. */
    boolean isHitRatioHigh() {
        return hitRatio >= LOW_HIT_RATIO;
    }

    /** Records a complete answer; {@code cachedTokens} is -1 if the replica did not report it. */
    void recordServed(RequestInFlight request, Attempt attempt, long cachedTokens, long now) {
        if (cachedTokens < 0) {
            return;
        }
        double promptTokens = request.request().promptTokens();
        if (promptTokens > 0) {
            double ratio = Math.min(1, cachedTokens / promptTokens);
            hitRatio += (ratio - hitRatio) * Math.max(NEWEST_WEIGHT, 1.0 / ++answersSeen);
        }
        if (request.hasAffinityTo(attempt.replica())) {
            updateEntry(request, attempt, cachedTokens, now);
        }
    }

    /** Updates the entry. The first answer after a replica was added confirms it and never counts as a miss. */
    private void updateEntry(RequestInFlight request, Attempt attempt, long cachedTokens, long now) {
        AffinityEntry entry = request.affinityEntry();
        if (!entry.isConfirmed()) {
            entry.confirm(now);
        } else if (!entry.isSession()
                && entry.wasConfirmedAt(attempt.sentAt())
                && cachedTokens < LOW_HIT_RATIO * request.request().prefixTokens()
                && now - lastMissAt >= MISS_INTERVAL_MICROS) {
            lastMissAt = now;
            entry.remove(attempt.replica());
        }
    }
}
