package magpiehub.sites;

import java.util.SplittableRandom;

/**
 * Schedules trials: single requests to a site that receives no other traffic. The interval grows exponentially with
 * each trial and each earlier loss up to a maximum, and has jitter so that routers don't send trials at the same time.
 */
final class TrialSchedule {
    /** Most doublings of the interval; prevents overflow. */
    private static final int MAX_DOUBLINGS = 20;

    /** Doublings of the interval for each loss after the first. */
    private static final int DOUBLINGS_PER_LOSS = 2;

    /** The interval is multiplied by a random factor from {@code MIN_JITTER} to {@code MIN_JITTER + JITTER_RANGE}. */
    private static final double MIN_JITTER = 0.75;

    private static final double JITTER_RANGE = 0.5;

    /** Divides the interval before the first trial after the endpoint list has replicas of the site again. */
    private static final int RELISTED_INTERVAL_DIVISOR = 4;

    private final SiteFailoverSettings settings;
    private final SplittableRandom random;
    private int trials;
    private long nextTrialAt;

    /** Creates a schedule that takes its jitter from a generator shared by all sites. */
    TrialSchedule(SiteFailoverSettings settings, SplittableRandom random) {
        this.settings = settings;
        this.random = random;
    }

    /** Starts again with the first interval when the site is suspended or lost. */
    void restart(long now, int losses) {
        trials = 0;
        nextTrialAt = now + drawInterval(losses);
    }

    /** Makes the next trial earlier, since replicas of the site are in the endpoint list again. */
    void bringForward(long now, int losses) {
        nextTrialAt = Math.min(nextTrialAt, now + drawInterval(losses) / RELISTED_INTERVAL_DIVISOR);
    }

    boolean isDue(long now) {
        return now >= nextTrialAt;
    }

    /** Schedules the next trial after one that is sent now. */
    void onTrialSent(long now, int losses) {
        trials++;
        nextTrialAt = now + drawInterval(losses);
    }

    private long drawInterval(int losses) {
        int doublings = Math.min(MAX_DOUBLINGS, trials + DOUBLINGS_PER_LOSS * Math.max(0, losses - 1));
        long interval = settings.trialIntervalMicros() << doublings;
        long bounded = Math.min(settings.maxTrialIntervalMicros(), interval);
        return (long) (bounded * (MIN_JITTER + JITTER_RANGE * random.nextDouble()));
    }
}
