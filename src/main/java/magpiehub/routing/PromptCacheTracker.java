package magpiehub.routing;

/**
 * Follows how many prompt tokens replicas find in their caches, from what served answers report: over the whole fleet,
 * and for single prefixes, whose replica leaves the affinity entry once it no longer has the tokens.
 */
final class PromptCacheTracker {
    /** Part of the tokens below which they count as not cached. */
    private static final double LOW_HIT_RATIO = 0.5;

    /**
     * The least time between two replicas that leave their entries for a miss (us): when caches are lost all at once,
     * as after a release, the places of the keys are still right.
     */
    private static final long MISS_INTERVAL_MICROS = 1_000_000;

    /** Weight of the newest answer in the fleet's hit ratio: twenty answers tell of a release. */
    private static final double NEWEST_WEIGHT = 0.05;

    /** Part of the prompts' tokens found cached: a plain mean of the first answers, decayed from then on. */
    private double hitRatio = 1;

    private int answersSeen = 1;
    private long lastMissAt;

    PromptCacheTracker(long now) {
        lastMissAt = now;
    }

    /** Whether replicas find most tokens, so that a key is worth keeping in its place. */
    boolean isHitRatioHigh() {
        return hitRatio >= LOW_HIT_RATIO;
    }

    /** Records a served answer; {@code cachedTokens} is -1 if the replica did not say. */
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

    /** The first answer after a replica joined confirms the entry and is never a miss. */
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
