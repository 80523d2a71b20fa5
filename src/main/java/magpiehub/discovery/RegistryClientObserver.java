package magpiehub.discovery;

/** Observes a {@link RegistryClient} in tests. */
interface RegistryClientObserver {
    /** An observer that does nothing. */
    RegistryClientObserver NONE = (list, result, byWatch) -> {};

    /** Called on the actor's thread after an update of the list, whatever its outcome. */
    void onListUpdate(EndpointListState list, ListUpdateResult result, boolean byWatch);

    /** Called on the channel's thread before it connects for a call. */
    default void onConnecting(RegistryCallKind kind, String endpoint) {}

    /** Called before a thread of the client starts. */
    default void onThreadStarting(Thread thread) {}
}
