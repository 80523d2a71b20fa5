package magpiehub.dispatch;

/**
 * The ids of requests that must not be sent to an upstream once more: those that are in progress, and those whose
 * client has left after an upstream may have begun them. Called by the dispatcher's thread only.
 */
public interface RequestClaims {
    /** Claims an id for a request; returns false if another request has claimed it. */
    boolean tryClaim(String requestId);

    /** Ends the claim of a request that has its final answer: its id may come again. */
    void release(String requestId);
}
