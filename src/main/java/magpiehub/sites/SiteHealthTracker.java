package magpiehub.sites;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import magpiehub.routing.ZoneEvidence;

/**
 * Tracks the health of all sites as one router observes it: decides from the evidence which site is suspect, lost or
 * recovering, and how much of its usual traffic each may receive.
 *
 * <p>A site is not declared lost on this router's own evidence alone while the router may be isolated, nor because all
 * sites are slow. This is a deterministic state machine without I/O: the time (in microseconds) and the seed are
 * arguments, and equal events give equal transitions. Not safe for use by several threads.
 */
public final class SiteHealthTracker {
    /**
     * Failed replicas, with none answering, that make a site suspect. Low, since a router with little traffic would
     * wait long for more failures; health checks collect the remaining evidence.
     */
    private static final int FAILURES_FOR_SUSPECT = 2;

    /** The same for replicas that answer with errors. Higher, since some may be faulty although the site is not. */
    private static final int ERRORS_FOR_SUSPECT = 4;

    private final SiteFailoverSettings settings;
    private final int ownSite;
    private final Site[] sites;
    private final CrossSiteEvidence crossSiteEvidence;
    /** Transitions not yet returned by {@link #drainTransitions}. */
    private final List<SiteTransition> transitions = new ArrayList<>();

    /**
     * Creates a tracker of sites that are all healthy.
     *
     * @param ownSite the index of the router's own site, -1 if it has none
     * @param seed the seed of the random numbers that spread the trials of different routers over time
     */
    public SiteHealthTracker(SiteFailoverSettings settings, int siteCount, int ownSite, long seed) {
        this.settings = settings;
        this.ownSite = ownSite;
        this.sites = new Site[siteCount];
        SplittableRandom random = new SplittableRandom(seed);
        Arrays.setAll(sites, index -> new Site(index, settings, random, transitions));
        this.crossSiteEvidence = new CrossSiteEvidence(settings, sites, ownSite);
    }

    // ---- Queries --------------------------------------------------------------------------------------

    /** The state of a site. */
    public SiteState state(int site) {
        return sites[site].state();
    }

    /** Why the site is in its state. */
    public TransitionCause cause(int site) {
        return sites[site].cause();
    }

    /** The fraction of its usual traffic that a site may receive now, from 0 to 1; at 0 it receives at most trials. */
    public double share(int site, long now) {
        return sites[site].share(now);
    }

    /** Whether this router may be isolated: a site fails, and another remote site fails as well. */
    public boolean isRouterIsolated() {
        for (Site site : sites) {
            if (site.state() == SiteState.SUSPECT && site.cause() == TransitionCause.ROUTER_ISOLATED) {
                return true;
            }
        }
        return false;
    }

    /** Returns the transitions since the last call, the earliest first. */
    public List<SiteTransition> drainTransitions() {
        List<SiteTransition> all = List.copyOf(transitions);
        transitions.clear();
        return all;
    }

    /** Whether one request may be sent now as a trial to a site that receives trials only. True counts it as sent. */
    public boolean acquireTrial(int index, long now) {
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
     * Returns how many replicas of a site, other than those that failed, need a health check now, and counts the checks
     * as requested. The caller reports each result to {@link #onEvidence}.
     */
    public int acquireHealthChecks(int index) {
        Site site = sites[index];
        if (site.state() == SiteState.SUSPECT && site.isSuspended()) {
            long answeredAt = crossSiteEvidence.otherSiteAnsweredAt(site);
            if (answeredAt > site.recheckedForAnswerAt()) {
                // Another site has answered: check whether this one still fails.
                site.setRecheckedForAnswerAt(answeredAt);
                return 1;
            }
        }
        int due = Math.max(0, healthChecksDue(site));
        site.addRequestedHealthChecks(due);
        return due;
    }

    /** Health checks that the evidence needs, less those already requested; negative if more were requested. */
    private int healthChecksDue(Site site) {
        SiteEvidence evidence = site.evidence();
        int requested = site.requestedHealthChecks();
        if (site.state() == SiteState.HEALTHY
                && evidence.failedReplicas() == 1
                && evidence.dominantFailure() != TransitionCause.ERRORS) {
            // With little traffic, the next request may be seconds away.
            return 1 - requested;
        }
        if (site.state() == SiteState.SUSPECT && !site.isSuspended() && evidence.hasFailures()) {
            // One more than needed, since one check may go to a replica that has failed already.
            return evidence.failuresNeeded(settings) + 1 - requested;
        }
        if (site.state() != SiteState.WITHDRAWN && site.index() != ownSite && !evidence.hasFailures()) {
            return requested == 0 && crossSiteEvidence.isAnswerAwaitedFrom(site) ? 1 : 0;
        }
        return 0;
    }

    // ---- Events ---------------------------------------------------------------------------------------

    /**
     * Records the result of an attempt or a health check.
     *
     * @param elapsedMicros the time since it was sent
     * @param latencyRatio the ratio of its time to the first token to the usual one
     */
    public void onEvidence(
            long now, int index, String replica, ZoneEvidence evidence, long elapsedMicros, double latencyRatio) {
        long sentAt = now - elapsedMicros;
        if (evidence == ZoneEvidence.ANSWERED) {
            onAnswer(now, sentAt, sites[index], latencyRatio >= settings.slowRatio());
        } else {
            // A connection that breaks during a request is evidence that the replica can't be reached.
            boolean isBroken = evidence == ZoneEvidence.CONNECTION_LOST;
            onFailure(now, sentAt, sites[index], replica, isBroken ? ZoneEvidence.NO_CONNECTION : evidence);
        }
        evaluateAll(now);
    }

    /** Records the number of a site's replicas that take requests, from an endpoint list of this age. */
    public void onEndpointList(long now, int index, int replicas, long ageMicros) {
        Site site = sites[index];
        boolean returned = site.evidence().onEndpointList(replicas, now - ageMicros);
        if (returned && site.state() == SiteState.LOST) {
            site.trials().bringForward(now, site.losses());
        }
        evaluateAll(now);
    }

    /** Takes a site out of service for an operator. No effect if it is already withdrawn. */
    public void withdraw(long now, int index) {
        if (sites[index].state() != SiteState.WITHDRAWN) {
            sites[index].withdraw(now);
        }
    }

    /** Returns a site to service for an operator. No effect unless it is withdrawn. */
    public void reinstate(long now, int index) {
        if (sites[index].state() == SiteState.WITHDRAWN) {
            sites[index].reinstate(now);
        }
    }

    /** Makes the transitions that depend on time; called periodically. */
    public void onTick(long now) {
        evaluateAll(now);
    }

    private void onAnswer(long now, long sentAt, Site site, boolean isSlow) {
        site.evidence().onAnswer(now, sentAt, isSlow);
        site.ramp().onAttempt(!isSlow);
        boolean wasSuspended = site.isSuspended();
        site.clearFailures();
        if (site.state() == SiteState.LOST
                || (site.state() == SiteState.SUSPECT
                        && wasSuspended
                        && now - site.stateSince() > settings.rampStepMicros())) {
            // The site's caches are cold after a time without traffic, and all routers return at the same time.
            site.startRecovery(now, TransitionCause.ANSWERED);
        } else if (site.state() == SiteState.SUSPECT
                && (site.cause() != TransitionCause.SLOW || !isSlow)
                && !site.evidence().isUnlisted(now, settings)) {
            site.markHealthy(now, TransitionCause.ANSWERED);
        }
    }

    private static void onFailure(long now, long sentAt, Site site, String replica, ZoneEvidence failure) {
        if (site.evidence().contradicts(failure)) {
            site.clearFailures();
        }
        site.evidence().onFailure(now, sentAt, replica, failure);
        site.ramp().onAttempt(false);
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
            // A delayed list still reports a loss that has ended. Until replicas are listed again, none can be
            // selected.
            site.ramp().restart(now);
        } else if (site.state() != SiteState.LOST
                && isUnlisted
                && !evidence.hasAnsweredWithin(now, settings.evidenceWindowMicros())) {
            site.markLost(now, TransitionCause.ENDPOINT_LIST);
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

    /** Evaluates a site of which enough replicas have failed: it is lost, or this router is isolated. */
    private void evaluateCompleteEvidence(long now, Site site, boolean isUnlisted) {
        if (!site.isSuspended()) {
            site.suspend(now);
        }
        TransitionCause failure = site.evidence().dominantFailure();
        if (crossSiteEvidence.isLossConfirmed(site) || isUnlisted) {
            site.markLost(now, isUnlisted ? TransitionCause.ENDPOINT_LIST : failure);
            return;
        }
        TransitionCause cause =
                crossSiteEvidence.isAnotherSiteFailing(site) ? TransitionCause.ROUTER_ISOLATED : failure;
        if (site.state() != SiteState.SUSPECT) {
            site.markSuspect(now, cause);
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
            site.markSuspect(now, TransitionCause.ENDPOINT_LIST);
        } else if (evidence.failedReplicas()
                >= (failure == TransitionCause.ERRORS ? ERRORS_FOR_SUSPECT : FAILURES_FOR_SUSPECT)) {
            site.markSuspect(now, failure);
        } else if (evidence.consecutiveSlowAnswers() >= settings.failedReplicasForLoss()
                && !crossSiteEvidence.isSlownessShared(site, now)) {
            site.markSuspect(now, evidence.hasFailures() ? failure : TransitionCause.SLOW);
        } else {
            site.expireLosses(now);
        }
    }

    private void evaluateSuspect(long now, Site site, boolean isUnlisted) {
        if (site.isSuspended() || isUnlisted || site.evidence().hasFailures()) {
            return;
        }
        boolean isSlowByItself = site.cause() == TransitionCause.SLOW
                && site.evidence().consecutiveSlowAnswers() > 0
                && !crossSiteEvidence.isSlownessShared(site, now);
        if (!isSlowByItself) {
            site.markHealthy(now, TransitionCause.EVIDENCE_EXPIRED);
        }
    }

    private void evaluateRecovering(long now, Site site) {
        RecoveryRamp ramp = site.ramp();
        boolean hasFailures = site.evidence().hasFailures();
        if (ramp.isStepFailing() && (hasFailures || !crossSiteEvidence.isSlownessShared(site, now))) {
            ramp.stepBack(now);
            return;
        }
        if (ramp.isStepOver(now, site.losses()) && !hasFailures && ramp.stepForward(now)) {
            site.markHealthy(now, TransitionCause.RECOVERY_COMPLETED);
        }
    }
}
