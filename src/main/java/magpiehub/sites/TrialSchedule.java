package magpiehub.sites;

import java.util.SplittableRandom;

/**
 * When the next trial, one request to a site that gets nothing else, is due. The interval grows with each trial and
 * each earlier loss up to a bound, and is random so that routers don't try at the same time.
 */
final class TrialSchedule {
    /** Bounds the doublings, so that the shift below can't overflow. */
    private static final int MAX_DOUBLINGS = 20;

    /** Each loss but the first lengthens the interval as much as so many trials. */
    private static final int DOUBLINGS_PER_LOSS = 2;

    /** The interval is drawn from {@code MIN_JITTER} to {@code MIN_JITTER + JITTER_RANGE} times its length. */
    private static final double MIN_JITTER = 0.75;

    private static final double JITTER_RANGE = 0.5;

    /** A trial is due after this part of the interval once the endpoint list names replicas again. */
    private static final int RELISTED_DIVISOR = 4;

    private final SiteFailoverSettings settings;
    private final SplittableRandom random;
    private int trials;
    private long nextTrialAt;

    /** Creates a schedule that draws from a generator that all sites share. */
    TrialSchedule(SiteFailoverSettings settings, SplittableRandom random) {
        this.settings = settings;
        this.random = random;
    }

    /** Begins anew after a loss, or with the suspicion of one. */
    void restart(long now, int losses) {
        trials = 0;
        nextTrialAt = now + drawInterval(losses);
    }

    /** Brings the next trial forward: replicas that are new in the endpoint list are worth an early one. */
    void bringForward(long now, int losses) {
        nextTrialAt = Math.min(nextTrialAt, now + drawInterval(losses) / RELISTED_DIVISOR);
    }

    boolean isDue(long now) {
        return now >= nextTrialAt;
    }

    /** Records that a trial is sent now. */
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
