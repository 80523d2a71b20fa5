package magpiehub.sites;

/**
 * Restores the traffic of a recovering site in steps: one step up after each successful step, one step down as soon as
 * a step fails.
 */
final class RecoveryRamp {
    /** The fraction of its usual traffic that the site receives in each step. */
    private static final double[] STEP_SHARES = {0.1, 0.25, 0.5, 0.75};

    /** A step fails if more than this fraction of its attempts are slow or failed. */
    private static final double MAX_FAILED_FRACTION = 0.25;

    /** The fewest attempts by which a step may be judged to fail. */
    private static final int MIN_ATTEMPTS = 4;

    /** A step without any prompt answer lasts this many times as long before the next step begins. */
    private static final int STEP_FACTOR_WITHOUT_SUCCESS = 3;

    /** Most doublings of the step duration: prevents overflow. The longest step is reached with far fewer. */
    private static final int MAX_DOUBLINGS = 10;

    private final SiteFailoverSettings settings;
    private int step;
    private long stepStartedAt;
    private int successfulAttempts;
    private int failedAttempts;

    RecoveryRamp(SiteFailoverSettings settings) {
        this.settings = settings;
    }

    /** Starts again at the first step. */
    void restart(long now) {
        step = 0;
        startStep(now);
    }

    private void startStep(long now) {
        stepStartedAt = now;
        successfulAttempts = 0;
        failedAttempts = 0;
    }

    /**
     * Counts an attempt of the current step.
     *
     * @param isSuccessful whether it was answered promptly; false if it was slow or failed
     */
    void onAttempt(boolean isSuccessful) {
        if (isSuccessful) {
            successfulAttempts++;
        } else {
            failedAttempts++;
        }
    }

    /** The fraction of its usual traffic that the site receives in the current step. */
    double share() {
        return STEP_SHARES[step];
    }

    boolean isStepFailing() {
        int attempts = successfulAttempts + failedAttempts;
        return attempts >= MIN_ATTEMPTS && failedAttempts > MAX_FAILED_FRACTION * attempts;
    }

    void stepBack(long now) {
        step = Math.max(0, step - 1);
        startStep(now);
    }

    /**
     * Whether the current step has lasted long enough.
     *
     * @param losses recent losses of the site; each one after the first doubles the duration of a step
     */
    boolean isStepOver(long now, int losses) {
        int doublings = Math.min(MAX_DOUBLINGS, Math.max(0, losses - 1));
        long duration = Math.min(settings.maxTrialIntervalMicros(), settings.rampStepMicros() << doublings);
        return now - stepStartedAt >= (successfulAttempts > 0 ? duration : STEP_FACTOR_WITHOUT_SUCCESS * duration);
    }

    /** Starts the next step. Returns true if the step before was the last one: the site has then recovered. */
    boolean stepForward(long now) {
        startStep(now);
        if (step == STEP_SHARES.length - 1) {
            return true;
        }
        step++;
        return false;
    }
}
