package magpiehub.routing;

/** A host that ignores all actions; tests override the actions that they examine. */
public class QuietActions implements RoutingActions {
    @Override
    public void sendAttempt(String id, String replica, long timeout, long writeDeadline) {}

    @Override
    public void cancelAttempt(String id, int attempt) {}

    @Override
    public void reject(String id, long retryAfter) {}

    @Override
    public void fail(String id) {}

    @Override
    public void watchEndpoints() {}

    @Override
    public void setTimer(long at, long token) {}

    @Override
    public void sendHealthCheck(String replica) {}

    @Override
    public void migrateStream(String id) {}

    @Override
    public void fetchEndpoints() {}

    @Override
    public void unwatchEndpoints() {}

    @Override
    public void closeIdleConnections(String replica) {}

    @Override
    public void sendToPeer(int peer, byte[] payload) {}

    @Override
    public void log(String text) {}
}
