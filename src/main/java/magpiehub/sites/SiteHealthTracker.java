package magpiehub.sites;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import magpiehub.routing.ZoneEvidence;

/**
 * Tracks the health of all sites as one router sees it: decides from the evidence which site is suspect, lost or
 * recovering, and how much of its usual traffic each may get.
 *
 * <p>A site is never called lost on this router's own evidence alone if the router may be the one that is isolated, nor
 * because all sites are slow. This is a state machine without I/O: the clock (microseconds) and the seed are arguments,
 * and equal events give equal transitions. Not safe for use by several threads.
 */
public final class SiteHealthTracker {
    /**
     * Failed replicas, none answering, that make a site suspect. Few, since a router that sends little waits long for
     * more: health checks then collect the rest of the evidence.
     */
    private static final int SUSPECT_FAILURES = 2;

    /** The same if they answer with errors. More, since they can be reached and some may be faulty by themselves. */
    private static final int SUSPECT_ERRORS = 4;

    private final SiteFailoverSettings settings;
    private final int ownSite;
    private final Site[] sites;
    private final CrossSiteEvidence crossSiteEvidence;
    /** Transitions that {@link #takeTransitions} has not returned yet. */
    private final List<SiteTransition> transitions = new ArrayList<>();

    /**
     * Creates a tracker of sites that are all healthy.
     *
     * @param ownSite the index of the router's own site, -1 if it has none
     * @param seed of the random numbers that spread the routers' trials
     */
    public SiteHealthTracker(SiteFailoverSettings settings, int siteCount, int ownSite, long seed) {
        this.settings = settings;
        this.ownSite = ownSite;
        this.sites = new Site[siteCount];
        SplittableRandom random = new SplittableRandom(seed);
        Arrays.setAll(sites, index -> new Site(index, settings, random, transitions));
        this.crossSiteEvidence = new CrossSiteEvidence(settings, sites, ownSite);
    }

    // ---- Questions ------------------------------------------------------------------------------------

    /** The state of a site. */
    public SiteState state(int site) {
        return sites[site].state();
    }

    /** Why the site is in its state. */
    public TransitionCause cause(int site) {
        return sites[site].cause();
    }

    /** The part of its usual traffic that a site may get now, from 0 to 1; at 0 it gets at most trials. */
    public double share(int site, long now) {
        return sites[site].share(now);
    }

    /** Whether this router seems to be isolated: what fails it are all other sites. */
    public boolean isRouterIsolated() {
        for (Site site : sites) {
            if (site.state() == SiteState.SUSPECT && site.cause() == TransitionCause.ROUTER_ISOLATED) {
                return true;
            }
        }
        return false;
    }

    /** Returns the transitions since the last call, in order. */
    public List<SiteTransition> takeTransitions() {
        List<SiteTransition> all = List.copyOf(transitions);
        transitions.clear();
        return all;
    }

    /** Whether one request may be sent now as a trial to a site that gets nothing else. If so, it counts as sent. */
    public boolean takeTrial(int index, long now) {
        Site site = sites[index];
        if (site.state() == SiteState.WITHDRAWN
                || site.share(now) > 0
                || !site.trials().isDue(now)) {
            return false;
        }
        site.trials().onTrialSent(now, site.losses());
        return true;
    }

    /**
     * Returns how many replicas of a site, other than those that failed, need a health check now; they count as
     * requested. Each result is to be reported to {@link #onEvidence}.
     */
    public int takeHealthChecks(int index) {
        Site site = sites[index];
        if (site.state() == SiteState.SUSPECT && site.isSuspended()) {
            long answeredAt = crossSiteEvidence.otherSiteAnsweredAt(site);
            if (answeredAt > site.recheckedForAnswerAt()) {
                // Another site answers: does this one still fail?
                site.setRecheckedForAnswerAt(answeredAt);
                return 1;
            }
        }
        int due = Math.max(0, healthChecksDue(site));
        site.addRequestedHealthChecks(due);
        return due;
    }

    /** Health checks that the evidence needs, less those requested already; negative if there were more. */
    private int healthChecksDue(Site site) {
        SiteEvidence evidence = site.evidence();
        int requested = site.requestedHealthChecks();
        if (site.state() == SiteState.HEALTHY
                && evidence.failedReplicas() == 1
                && evidence.dominantFailure() != TransitionCause.ERRORS) {
            // Where little is sent, the next request may be seconds away.
            return 1 - requested;
        }
        if (site.state() == SiteState.SUSPECT && !site.isSuspended() && evidence.hasFailures()) {
            // One more than needed: one of them may be a replica that has failed before.
            return evidence.failuresNeeded(settings) + 1 - requested;
        }
        if (site.state() != SiteState.WITHDRAWN && site.index() != ownSite && !evidence.hasFailures()) {
            return requested == 0 && crossSiteEvidence.isAnswerAwaitedFrom(site) ? 1 : 0;
        }
        return 0;
    }

    // ---- Events ---------------------------------------------------------------------------------------

    /**
     * An attempt or a health check ended.
     *
     * @param tookMicros how long ago it was sent
     * @param latencyRatio the time to its first token in relation to the usual one
     */
    public void onEvidence(
            long now, int index, String replica, ZoneEvidence evidence, long tookMicros, double latencyRatio) {
        long sentAt = now - tookMicros;
        if (evidence == ZoneEvidence.ANSWERED) {
            onAnswer(now, sentAt, sites[index], latencyRatio >= settings.slowRatio());
        } else {
            // A connection that breaks under a request says that the replica is not there.
            boolean isBroken = evidence == ZoneEvidence.CONNECTION_LOST;
            onFailure(now, sentAt, sites[index], replica, isBroken ? ZoneEvidence.NO_CONNECTION : evidence);
        }
        evaluateAll(now);
    }

    /** The endpoint list, which is so old, names so many replicas of a site that take work. */
    public void onListed(long now, int index, int replicas, long ageMicros) {
        Site site = sites[index];
        boolean returned = site.evidence().onListed(replicas, now - ageMicros);
        if (returned && site.state() == SiteState.LOST) {
            site.trials().bringForward(now, site.losses());
        }
        evaluateAll(now);
    }

    /** An operator takes a site out of service. No effect if it is withdrawn already. */
    public void withdraw(long now, int index) {
        if (sites[index].state() != SiteState.WITHDRAWN) {
            sites[index].withdraw(now);
        }
    }

    /** An operator puts a site back into service. No effect unless it is withdrawn. */
    public void reinstate(long now, int index) {
        if (sites[index].state() == SiteState.WITHDRAWN) {
            sites[index].reinstate(now);
        }
    }

    /** Time has passed. */
    public void onTick(long now) {
        evaluateAll(now);
    }

    private void onAnswer(long now, long sentAt, Site site, boolean isSlow) {
        site.evidence().onAnswer(now, sentAt, isSlow);
        site.ramp().onAnswer(!isSlow);
        boolean wasSuspended = site.isSuspended();
        site.clearFailures();
        if (site.state() == SiteState.LOST
                || (site.state() == SiteState.SUSPECT
                        && wasSuspended
                        && now - site.since() > settings.rampStepMicros())) {
            // It has been without traffic for a while: its caches are cold, and all routers must not come at once.
            site.startRecovery(now, TransitionCause.ANSWERED);
        } else if (site.state() == SiteState.SUSPECT
                && (site.cause() != TransitionCause.SLOW || !isSlow)
                && !site.evidence().isUnlisted(now, settings)) {
            site.becomeHealthy(now, TransitionCause.ANSWERED);
        }
    }

    private static void onFailure(long now, long sentAt, Site site, String replica, ZoneEvidence failure) {
        if (site.evidence().contradicts(failure)) {
            site.clearFailures();
        }
        site.evidence().onFailure(now, sentAt, replica, failure);
        site.ramp().onAnswer(false);
    }

    // ---- Evaluation -----------------------------------------------------------------------------------

    private void evaluateAll(long now) {
        for (Site site : sites) {
            if (site.state() != SiteState.WITHDRAWN) {
                evaluate(now, site);
            }
        }
    }

    private void evaluate(long now, Site site) {
        SiteEvidence evidence = site.evidence();
        boolean isUnlisted = evidence.isUnlisted(now, settings);
        if (site.state() == SiteState.RECOVERING && isUnlisted) {
            // A late list reports the loss that is over; nothing can be sent until the list names replicas again.
            site.ramp().restart(now);
        } else if (site.state() != SiteState.LOST
                && isUnlisted
                && !evidence.hasAnsweredWithin(now, settings.evidenceWindowMicros())) {
            site.lose(now, TransitionCause.ENDPOINT_LIST);
            return;
        }
        if (!site.isSuspended() && evidence.areFailuresExpired(now, settings)) {
            site.clearFailures();
        }
        if (site.state() != SiteState.LOST && evidence.failedReplicas() >= evidence.failuresNeeded(settings)) {
            evaluateCompleteEvidence(now, site, isUnlisted);
        } else {
            evaluatePartialEvidence(now, site, isUnlisted);
        }
    }

    /** Enough replicas of the site have failed: it is lost, or this router is isolated. */
    private void evaluateCompleteEvidence(long now, Site site, boolean isUnlisted) {
        if (!site.isSuspended()) {
            site.suspend(now);
        }
        TransitionCause failure = site.evidence().dominantFailure();
        if (crossSiteEvidence.isLossConfirmed(site) || isUnlisted) {
            site.lose(now, isUnlisted ? TransitionCause.ENDPOINT_LIST : failure);
            return;
        }
        TransitionCause cause =
                crossSiteEvidence.isAnotherSiteFailing(site) ? TransitionCause.ROUTER_ISOLATED : failure;
        if (site.state() != SiteState.SUSPECT) {
            site.suspect(now, cause);
        }
        site.updateCause(cause);
    }

    private void evaluatePartialEvidence(long now, Site site, boolean isUnlisted) {
        switch (site.state()) {
            case HEALTHY -> evaluateHealthy(now, site, isUnlisted);
            case SUSPECT -> evaluateSuspect(now, site, isUnlisted);
            case RECOVERING -> evaluateRecovering(now, site);
            default -> {}
        }
    }

    private void evaluateHealthy(long now, Site site, boolean isUnlisted) {
        SiteEvidence evidence = site.evidence();
        TransitionCause failure = evidence.dominantFailure();
        if (isUnlisted) {
            site.suspect(now, TransitionCause.ENDPOINT_LIST);
        } else if (evidence.failedReplicas()
                >= (failure == TransitionCause.ERRORS ? SUSPECT_ERRORS : SUSPECT_FAILURES)) {
            site.suspect(now, failure);
        } else if (evidence.consecutiveSlowAnswers() >= settings.failedReplicasForLoss()
                && !crossSiteEvidence.isSlownessShared(site, now)) {
            site.suspect(now, evidence.hasFailures() ? failure : TransitionCause.SLOW);
        } else {
            site.forgetOldLosses(now);
        }
    }

    private void evaluateSuspect(long now, Site site, boolean isUnlisted) {
        if (site.isSuspended() || isUnlisted || site.evidence().hasFailures()) {
            return;
        }
        boolean isSlowAlone = site.cause() == TransitionCause.SLOW
                && site.evidence().consecutiveSlowAnswers() > 0
                && !crossSiteEvidence.isSlownessShared(site, now);
        if (!isSlowAlone) {
            site.becomeHealthy(now, TransitionCause.EVIDENCE_EXPIRED);
        }
    }

    private void evaluateRecovering(long now, Site site) {
        RecoveryRamp ramp = site.ramp();
        boolean hasFailures = site.evidence().hasFailures();
        if (ramp.isGoingBadly() && (hasFailures || !crossSiteEvidence.isSlownessShared(site, now))) {
            ramp.stepBack(now);
            return;
        }
        if (ramp.isStepOver(now, site.losses()) && !hasFailures && ramp.stepForward(now)) {
            site.becomeHealthy(now, TransitionCause.RECOVERY_COMPLETED);
        }
    }
}
