package magpiehub.sites;

/** How a site stands, as one router sees it. */
public enum SiteState {
    /** The site gets all of its usual traffic. */
    HEALTHY("whole"),
    /**
     * The site fails, but it is not certain that the site is the cause. It gets a part of its usual traffic, or, once
     * enough replicas have failed, nothing but trials.
     */
    SUSPECT("doubted"),
    /** The site has failed. It gets nothing but trials. */
    LOST("lost"),
    /** The site answers again after a loss. Its traffic grows in steps. */
    RECOVERING("returning"),
    /** An operator withdrew the site. Its traffic is taken away gradually, and no trials are sent. */
    WITHDRAWN("out");

    private final String label;

    SiteState(String label) {
        this.label = label;
    }

    /** The name in log events, counters and answers to operators. It must stay as it is: tools read it. */
    public String label() {
        return label;
    }
}
