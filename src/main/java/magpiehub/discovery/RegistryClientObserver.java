package magpiehub.discovery;

/** Observes a {@link RegistryClient} in tests. */
interface RegistryClientObserver {
    /** Observes nothing. */
    RegistryClientObserver NONE = (list, result, byWatch) -> {};

    /** The list state was given an update; called on the client's actor thread. */
    void updated(EndpointListState list, ListUpdateResult result, boolean byWatch);

    /** A connection is about to be made for a call; called on the call channel's thread. */
    default void connecting(RegistryCallKind kind, String endpoint) {}

    /** A thread of the client is about to start. */
    default void threadStarting(Thread thread) {}
}
