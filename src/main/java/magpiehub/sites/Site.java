package magpiehub.sites;

import java.util.List;
import java.util.SplittableRandom;

/** The state of one site and its transitions. {@link SiteHealthTracker} decides when a transition is made. */
final class Site {
    /** The fraction of its usual traffic that a suspect site receives until it is suspended. */
    private static final double SUSPECT_SHARE = 0.5;

    private final int index;
    private final SiteFailoverSettings settings;
    /** Receives each transition; shared by all sites. */
    private final List<SiteTransition> transitions;

    private final SiteEvidence evidence = new SiteEvidence();
    private final RecoveryRamp ramp;
    private final TrialSchedule trials;

    private SiteState state = SiteState.HEALTHY;
    private TransitionCause cause = TransitionCause.EVIDENCE_EXPIRED;
    /** Whether enough replicas have failed that the site receives trials only. */
    private boolean isSuspended;
    /** When the site was last suspended, lost, or found healthy. */
    private long stateSince = SiteEvidence.NEVER;
    /** Losses since the site was last healthy for {@link SiteFailoverSettings#lossMemoryMicros}. */
    private int losses;
    /** When the withdrawal began; dated back if the site received less than its usual traffic at that time. */
    private long withdrawnAt;
    /** Health checks requested since the site began to fail. */
    private int requestedHealthChecks;
    /** The time of the other site's answer that led to the latest recheck of this site. */
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

    /** Records that some evidence points to a loss. */
    void markSuspect(long now, TransitionCause why) {
        changeState(now, SiteState.SUSPECT, why);
    }

    /** Restricts the site to trials: its own evidence is complete, and only that of other sites is missing. */
    void suspend(long now) {
        isSuspended = true;
        stateSince = now;
        trials.restart(now, losses);
    }

    /** Records the loss of the site. */
    void markLost(long now, TransitionCause why) {
        losses++;
        isSuspended = true;
        trials.restart(now, losses);
        changeState(now, SiteState.LOST, why);
    }

    /** Starts to restore the site's traffic in steps. */
    void startRecovery(long now, TransitionCause why) {
        ramp.restart(now);
        changeState(now, SiteState.RECOVERING, why);
    }

    /** Gives the site all of its usual traffic. */
    void markHealthy(long now, TransitionCause why) {
        changeState(now, SiteState.HEALTHY, why);
    }

    /** Takes the site out of service for an operator; its traffic falls to 0 from its current share. */
    void withdraw(long now) {
        withdrawnAt = now - (long) ((1 - share(now)) * settings.withdrawalMicros());
        changeState(now, SiteState.WITHDRAWN, TransitionCause.OPERATOR);
    }

    /** Returns the site to service for an operator. */
    void reinstate(long now) {
        clearFailures();
        startRecovery(now, TransitionCause.OPERATOR);
    }

    private void changeState(long now, SiteState next, TransitionCause why) {
        transitions.add(new SiteTransition(index, state, next, why, now));
        state = next;
        cause = why;
        if (next == SiteState.HEALTHY || next == SiteState.LOST) {
            stateSince = now;
        }
    }

    /** Replaces the cause of the current state by a more precise one. */
    void updateCause(TransitionCause why) {
        cause = why;
    }

    /** Discards the failures, since the site answered or they have expired. */
    void clearFailures() {
        evidence.clearFailures();
        requestedHealthChecks = 0;
        repeatedFailureSentAt = SiteEvidence.NEVER;
        isSuspended = false;
    }

    void expireLosses(long now) {
        if (losses > 0 && now - stateSince > settings.lossMemoryMicros()) {
            losses = 0;
        }
    }

    // ---- Queries --------------------------------------------------------------------------------------

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

    long stateSince() {
        return stateSince;
    }

    int losses() {
        return losses;
    }

    /** The fraction of its usual traffic that the site may receive, from 0 to 1; at 0 it receives at most trials. */
    double share(long now) {
        return switch (state) {
            case HEALTHY -> 1;
            case SUSPECT -> isSuspended ? 0 : SUSPECT_SHARE;
            case LOST -> 0;
            case RECOVERING -> ramp.share();
            case WITHDRAWN -> Math.max(0, 1 - (double) (now - withdrawnAt) / Math.max(1, settings.withdrawalMicros()));
        };
    }

    // ---- Requested health checks ----------------------------------------------------------------------

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
