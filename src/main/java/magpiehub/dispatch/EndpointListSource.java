package magpiehub.dispatch;

/**
 * Service discovery, as the dispatcher sees it. Each {@link #fetch}, and each change while a watch is open, is answered
 * by one call of {@link RequestDispatcher#updateEndpoints}. Called on the dispatcher's thread only; must not block it.
 */
public interface EndpointListSource {
    /** Opens a watch: changes of the endpoint list are reported from now on. */
    void watch();

    /** Closes the watch. */
    void unwatch();

    /** Requests the complete endpoint list once. */
    void fetch();
}
