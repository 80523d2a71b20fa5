package magpiehub.sites;

import java.util.List;
import java.util.SplittableRandom;

/**
 * The state of one site, and every transition that it can make. When a transition is due is decided by
 * {@link SiteHealthTracker}.
 */
final class Site {
    /** The part of its usual traffic that a suspect site gets until the evidence for a loss is complete. */
    private static final double SUSPECT_SHARE = 0.5;

    private final int index;
    private final SiteFailoverSettings settings;
    /** Where transitions are reported to; shared by all sites. */
    private final List<SiteTransition> transitions;

    private final SiteEvidence evidence = new SiteEvidence();
    private final RecoveryRamp ramp;
    private final TrialSchedule trials;

    private SiteState state = SiteState.HEALTHY;
    private TransitionCause cause = TransitionCause.EVIDENCE_EXPIRED;
    /** Enough replicas have failed: the site gets nothing but trials. */
    private boolean isSuspended;
    /** When the site was last suspended, lost, or healthy again. */
    private long since = SiteEvidence.NEVER;
    /** Losses that are not yet forgotten. */
    private int losses;
    /** When the withdrawal began; earlier than ordered if the site had less than its usual traffic by then. */
    private long withdrawnAt;
    /** Health checks requested since the site began to fail. */
    private int requestedHealthChecks;
    /** The other site's answer for which the failure was checked once more. */
    private long recheckedForAnswerAt = SiteEvidence.NEVER;
    /** When the attempt was sent that failed after another site had answered; see {@link CrossSiteEvidence}. */
    private long repeatedFailureSentAt = SiteEvidence.NEVER;

    Site(int index, SiteFailoverSettings settings, SplittableRandom random, List<SiteTransition> transitions) {
        this.index = index;
        this.settings = settings;
        this.transitions = transitions;
        this.ramp = new RecoveryRamp(settings);
        this.trials = new TrialSchedule(settings, random);
    }

    // ---- Transitions ----------------------------------------------------------------------------------

    /** Some evidence points to a loss. */
    void suspect(long now, TransitionCause why) {
        changeState(now, SiteState.SUSPECT, why);
    }

    /** The site's own evidence is complete. It gets only trials while other sites' evidence is awaited. */
    void suspend(long now) {
        isSuspended = true;
        since = now;
        trials.restart(now, losses);
    }

    /** The site has failed. */
    void lose(long now, TransitionCause why) {
        losses++;
        isSuspended = true;
        trials.restart(now, losses);
        changeState(now, SiteState.LOST, why);
    }

    /** The site gets its traffic back in steps. */
    void startRecovery(long now, TransitionCause why) {
        ramp.restart(now);
        changeState(now, SiteState.RECOVERING, why);
    }

    /** The site gets all of its usual traffic. */
    void becomeHealthy(long now, TransitionCause why) {
        changeState(now, SiteState.HEALTHY, why);
    }

    /** An operator takes the site out of service, beginning with the traffic that it has now. */
    void withdraw(long now) {
        withdrawnAt = now - (long) ((1 - share(now)) * settings.withdrawalMicros());
        changeState(now, SiteState.WITHDRAWN, TransitionCause.OPERATOR);
    }

    /** An operator puts the site back into service. */
    void reinstate(long now) {
        clearFailures();
        startRecovery(now, TransitionCause.OPERATOR);
    }

    private void changeState(long now, SiteState next, TransitionCause why) {
        transitions.add(new SiteTransition(index, state, next, why, now));
        state = next;
        cause = why;
        if (next == SiteState.HEALTHY || next == SiteState.LOST) {
            since = now;
        }
    }

    /** A more precise cause of the state that the site is in. */
    void updateCause(TransitionCause why) {
        cause = why;
    }

    /** The site answered, or its failures are too old: they no longer count. */
    void clearFailures() {
        evidence.clearFailures();
        requestedHealthChecks = 0;
        repeatedFailureSentAt = SiteEvidence.NEVER;
        isSuspended = false;
    }

    void forgetOldLosses(long now) {
        if (losses > 0 && now - since > settings.lossMemoryMicros()) {
            losses = 0;
        }
    }

    // ---- Questions ------------------------------------------------------------------------------------

    int index() {
        return index;
    }

    SiteState state() {
        return state;
    }

    TransitionCause cause() {
        return cause;
    }

    SiteEvidence evidence() {
        return evidence;
    }

    RecoveryRamp ramp() {
        return ramp;
    }

    TrialSchedule trials() {
        return trials;
    }

    boolean isSuspended() {
        return isSuspended;
    }

    long since() {
        return since;
    }

    int losses() {
        return losses;
    }

    /** The part of its usual traffic that the site may get, from 0 to 1; at 0 it gets at most trials. */
    double share(long now) {
        return switch (state) {
            case HEALTHY -> 1;
            case SUSPECT -> isSuspended ? 0 : SUSPECT_SHARE;
            case LOST -> 0;
            case RECOVERING -> ramp.share();
            case WITHDRAWN -> Math.max(0, 1 - (double) (now - withdrawnAt) / Math.max(1, settings.withdrawalMicros()));
        };
    }

    // ---- Bookkeeping of checks ------------------------------------------------------------------------

    int requestedHealthChecks() {
        return requestedHealthChecks;
    }

    void addRequestedHealthChecks(int count) {
        requestedHealthChecks += count;
    }

    long recheckedForAnswerAt() {
        return recheckedForAnswerAt;
    }

    void setRecheckedForAnswerAt(long answerAt) {
        recheckedForAnswerAt = answerAt;
    }

    long repeatedFailureSentAt() {
        return repeatedFailureSentAt;
    }

    void setRepeatedFailureSentAt(long sentAt) {
        repeatedFailureSentAt = sentAt;
    }
}
