package magpiehub.sites;

/**
 * The steps by which a recovering site gets its traffic back: one step forward after each that went well, and one back
 * as soon as a step goes badly.
 */
final class RecoveryRamp {
    /** The part of its usual traffic that the site gets in each step. */
    private static final double[] STEP_SHARES = {0.1, 0.25, 0.5, 0.75};

    /** A step goes badly if more than this part of its answers are slow or failed. */
    private static final double MAX_BAD_PART = 0.25;

    /** Fewer answers than this don't show whether a step goes badly. */
    private static final int MIN_ANSWERS = 4;

    /** A step without any good answer shows nothing; it is taken as good once it lasted so many times as long. */
    private static final int UNPROVEN_STEP_FACTOR = 3;

    /** Bounds the doubling of the step's length with each loss; far above what the longest step allows. */
    private static final int MAX_DOUBLINGS = 10;

    private final SiteFailoverSettings settings;
    private int step;
    private long stepStartedAt;
    private int goodAnswers;
    private int badAnswers;

    RecoveryRamp(SiteFailoverSettings settings) {
        this.settings = settings;
    }

    /** Begins with the first step. */
    void restart(long now) {
        step = 0;
        startStep(now);
    }

    private void startStep(long now) {
        stepStartedAt = now;
        goodAnswers = 0;
        badAnswers = 0;
    }

    /** An answer came that was prompt, or an attempt was slow or failed. */
    void onAnswer(boolean isGood) {
        if (isGood) {
            goodAnswers++;
        } else {
            badAnswers++;
        }
    }

    /** The part of its usual traffic that the site gets now. */
    double share() {
        return STEP_SHARES[step];
    }

    boolean isGoingBadly() {
        int answers = goodAnswers + badAnswers;
        return answers >= MIN_ANSWERS && badAnswers > MAX_BAD_PART * answers;
    }

    void stepBack(long now) {
        step = Math.max(0, step - 1);
        startStep(now);
    }

    /** Whether the step has lasted long enough. A site that was lost several times takes longer steps. */
    boolean isStepOver(long now, int losses) {
        int doublings = Math.min(MAX_DOUBLINGS, Math.max(0, losses - 1));
        long duration = Math.min(settings.maxTrialIntervalMicros(), settings.rampStepMicros() << doublings);
        return now - stepStartedAt >= (goodAnswers > 0 ? duration : UNPROVEN_STEP_FACTOR * duration);
    }

    /** Begins the next step. Returns whether the last one is over, and the site recovered. */
    boolean stepForward(long now) {
        startStep(now);
        if (step == STEP_SHARES.length - 1) {
            return true;
        }
        step++;
        return false;
    }
}
