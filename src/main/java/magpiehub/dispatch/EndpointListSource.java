package magpiehub.dispatch;

/**
 * The port to service discovery. Each {@link #fetch}, and each change while a watch is open, results in one call of
 * {@link RequestDispatcher#updateEndpoints}. Called on the dispatcher's thread only; must not block.
 */
public interface EndpointListSource {
    /** Opens a watch, which reports changes of the endpoint list. */
    void watch();

    /** Closes the watch. */
    void unwatch();

    /** Requests the complete endpoint list once. */
    void fetch();
}
