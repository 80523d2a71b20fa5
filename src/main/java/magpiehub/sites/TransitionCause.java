package magpiehub.sites;

/** Why a site is in its state. */
public enum TransitionCause {
    /** Connections to the site's replicas failed or broke. */
    NO_CONNECTION("no_connection"),
    /** Replicas gave no answer for much longer than usual. */
    SILENCE("silence"),
    /** Replicas answered with errors. */
    ERRORS("errors"),
    /** Replicas answered much more slowly than usual, and those of other sites did not. */
    SLOW("slow"),
    /** The endpoint list has no replica of the site that takes requests. */
    ENDPOINT_LIST("list"),
    /** Other remote sites fail as well, so this router may be isolated. */
    ROUTER_ISOLATED("cut_off"),
    /** The evidence stayed incomplete until it expired. */
    EVIDENCE_EXPIRED("passed"),
    /** A replica of the site answered. */
    ANSWERED("answered"),
    /** The site completed the last step of the recovery ramp. */
    RECOVERY_COMPLETED("ramped"),
    /** An operator withdrew the site or returned it to service. */
    OPERATOR("operator");

    private final String label;

    TransitionCause(String label) {
        this.label = label;
    }

    /** The name in log events and responses to operators. Tools parse it, so it must not change. */
    public String label() {
        return label;
    }
}
