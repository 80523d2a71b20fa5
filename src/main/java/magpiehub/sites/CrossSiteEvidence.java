package magpiehub.sites;

/**
 * Compares the evidence of all sites, to tell the loss of one site from an isolation of this router and from slowness
 * that all sites share.
 *
 * <p>A site counts as lost only if another remote site proves that this router's outbound network works. The proof
 * takes four steps, all within the evidence window: the site fails, another site answers, the site fails again, and
 * another site answers again. Fewer steps would give false losses: when an isolation of this router ends, the sites
 * answer one after the other, and the first answer must not count against those that follow. Neither may an answer from
 * before the next isolation.
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

    /** Whether all four steps of the proof have been observed. Records the third one, the repeated failure. */
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
            // The second answer came outside the window of the repeated failure: the third step has to be repeated.
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

    /**
     * Whether only prompt answers of other sites count. Unless connections fail, the failures may be slowness that all
     * sites share, which slow answers of other sites don't rule out.
     */
    private static boolean requiresPromptAnswer(Site site) {
        return site.evidence().dominantFailure() != TransitionCause.NO_CONNECTION;
    }

    /** Whether a site's answers prove that the router is not isolated: its own site answers even if it is. */
    private boolean isIndependent(Site other, Site site) {
        return other != site && other.index() != ownSite;
    }

    /** Whether another remote site fails as well, so that this router may be isolated. */
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

    /** Whether no other site has answered promptly within the evidence window, so the site is not slow by itself. */
    boolean isSlownessShared(Site site, long now) {
        for (Site other : sites) {
            if (other != site && other.evidence().isPrompt(now, settings.evidenceWindowMicros())) {
                return false;
            }
        }
        return true;
    }

    /**
     * Whether an answer of this site is needed to tell the loss of a suspended site from an isolation of this router.
     */
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
