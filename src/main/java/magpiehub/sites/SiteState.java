package magpiehub.sites;

/** The health of a site as one router observes it. */
public enum SiteState {
    /** The site receives all of its usual traffic. */
    HEALTHY("whole"),
    /**
     * Replicas of the site fail, but the evidence for a loss of the site is incomplete. It receives a fraction of its
     * usual traffic, or trials only once enough replicas have failed.
     */
    SUSPECT("doubted"),
    /** The site has failed. It receives trials only. */
    LOST("lost"),
    /** The site answers again after a loss. Its traffic is restored in steps. */
    RECOVERING("returning"),
    /** An operator withdrew the site. Its traffic falls gradually to none, and no trials are sent. */
    WITHDRAWN("out");

    private final String label;

    SiteState(String label) {
        this.label = label;
    }

    /** The name in log events, counters and responses to operators. Tools parse it, so it must not change. */
    public String label() {
        return label;
    }
}
