package magpiehub.routing;

/** A node's host that does nothing: tests say what they look at. */
public class QuietActions implements RoutingActions {
    @Override
    public void send(String id, String server, long timeout) {}

    @Override
    public void cancel(String id, int attempt) {}

    @Override
    public void refuse(String id, long retryAfter) {}

    @Override
    public void fail(String id) {}

    @Override
    public void watch() {}

    @Override
    public void timer(long at, long token) {}

    @Override
    public void probe(String server) {}

    @Override
    public void move(String id) {}

    @Override
    public void fetch() {}

    @Override
    public void unwatch() {}

    @Override
    public void close(String server) {}

    @Override
    public void tell(int peer, byte[] payload) {}

    @Override
    public void log(String text) {}
}
