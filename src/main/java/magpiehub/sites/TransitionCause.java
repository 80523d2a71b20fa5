package magpiehub.sites;

/** Why a site is in its state. */
public enum TransitionCause {
    /** Connections to the site's replicas failed or broke. */
    NO_CONNECTION("no_connection"),
    /** Replicas did not answer for much longer than usual. */
    SILENCE("silence"),
    /** Replicas answered with errors. */
    ERRORS("errors"),
    /** Replicas answered much more slowly than usual, and those of other sites did not. */
    SLOW("slow"),
    /** The endpoint list names no replica of the site that takes work. */
    ENDPOINT_LIST("list"),
    /** Other sites fail as well, so this router itself may be isolated. */
    ROUTER_ISOLATED("cut_off"),
    /** The evidence against the site was too little and became too old. */
    EVIDENCE_EXPIRED("passed"),
    /** A replica of the site answered. */
    ANSWERED("answered"),
    /** The last step of the recovery ramp is over. */
    RECOVERY_COMPLETED("ramped"),
    /** An operator withdrew the site or put it back. */
    OPERATOR("operator");

    private final String label;

    TransitionCause(String label) {
        this.label = label;
    }

    /** The name in log events and answers to operators. It must stay as it is: tools read it. */
    public String label() {
        return label;
    }
}
