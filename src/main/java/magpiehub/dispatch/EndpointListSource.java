package magpiehub.dispatch;

/** Discovery: each call is answered by one {@link #list}. Must not block the module's thread. */
public interface EndpointListSource {
    void watch();

    void unwatch();

    void fetch();
}
