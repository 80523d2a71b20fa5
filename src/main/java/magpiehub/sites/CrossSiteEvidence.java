package magpiehub.sites;

/**
 * What the sites together tell about one of them: whether a site is lost, or this router is isolated, or all sites are
 * slow.
 *
 * <p>A site is lost only if another site, other than the router's own, proves that the network out of here works. The
 * proof takes four steps, all within the evidence window: the site fails, another site answers, the site fails again,
 * and another site answers again. Fewer would not do: when an isolation of this router ends, all sites answer one after
 * the other, and the first answer must not count against the others; nor may an answer from before the next isolation.
 */
final class CrossSiteEvidence {
    private static final long NEVER = SiteEvidence.NEVER;

    private final SiteFailoverSettings settings;
    private final Site[] sites;
    /** The index of the router's own site, -1 if it has none. */
    private final int ownSite;

    CrossSiteEvidence(SiteFailoverSettings settings, Site[] sites, int ownSite) {
        this.settings = settings;
        this.sites = sites;
        this.ownSite = ownSite;
    }

    /**
     * When another site last answered an attempt that was sent after this site began to fail, or
     * {@link SiteEvidence#NEVER}.
     */
    long otherSiteAnsweredAt(Site site) {
        boolean promptOnly = requiresPromptAnswer(site);
        long latest = NEVER;
        for (Site other : sites) {
            if (isIndependent(other, site)
                    && other.evidence().answerSentAt(promptOnly)
                            >= site.evidence().firstFailureSentAt()) {
                latest = Math.max(latest, other.evidence().answeredAt(promptOnly));
            }
        }
        return latest;
    }

    /** Whether all four steps of the proof are there. Remembers the third one, the repeated failure. */
    boolean isLossConfirmed(Site site) {
        long answeredAt = otherSiteAnsweredAt(site);
        if (answeredAt == NEVER) {
            return false;
        }
        if (site.repeatedFailureSentAt() == NEVER) {
            long failureSentAt = site.evidence().lastFailureSentAt();
            if (failureSentAt < answeredAt || failureSentAt - answeredAt > settings.evidenceWindowMicros()) {
                return false;
            }
            site.setRepeatedFailureSentAt(failureSentAt);
        }
        if (hasOtherSiteAnsweredAgain(site)) {
            return true;
        }
        if (answeredAt - site.repeatedFailureSentAt() > settings.evidenceWindowMicros()) {
            // The second answer came too late for the repeated failure: start over.
            site.setRepeatedFailureSentAt(NEVER);
        }
        return false;
    }

    private boolean hasOtherSiteAnsweredAgain(Site site) {
        boolean promptOnly = requiresPromptAnswer(site);
        long failureSentAt = site.repeatedFailureSentAt();
        for (Site other : sites) {
            long sentAt = other.evidence().answerSentAt(promptOnly);
            if (isIndependent(other, site)
                    && sentAt >= failureSentAt
                    && sentAt - failureSentAt <= settings.evidenceWindowMicros()) {
                return true;
            }
        }
        return false;
    }

    /** Silence may be slowness that all sites share, so only a prompt answer of another site tells a loss from it. */
    private static boolean requiresPromptAnswer(Site site) {
        return site.evidence().dominantFailure() != TransitionCause.NO_CONNECTION;
    }

    /** The router's own site answers even while the router is isolated, so its answers prove nothing. */
    private boolean isIndependent(Site other, Site site) {
        return other != site && other.index() != ownSite;
    }

    /** Whether another site, not the router's own, fails as well: the router itself may be isolated. */
    boolean isAnotherSiteFailing(Site site) {
        for (Site other : sites) {
            if (isIndependent(other, site)
                    && other.state() != SiteState.WITHDRAWN
                    && other.evidence().hasFailures()) {
                return true;
            }
        }
        return false;
    }

    /** Whether no other site has answered promptly of late: slowness is then no fault of this site. */
    boolean isSlownessShared(Site site, long now) {
        for (Site other : sites) {
            if (other != site && other.evidence().isPrompt(now, settings.evidenceWindowMicros())) {
                return false;
            }
        }
        return true;
    }

    /** Whether a suspended site waits for this one's answer, to tell its loss from an isolation of this router. */
    boolean isAnswerAwaitedFrom(Site site) {
        for (Site other : sites) {
            if (other != site
                    && other.isSuspended()
                    && other.state() == SiteState.SUSPECT
                    && site.evidence().hasNotAnsweredSinceFailureOf(other.evidence())) {
                return true;
            }
        }
        return false;
    }
}
