package magpiehub.routing;

/** What a node may do. */
public interface RoutingActions {
    /** Starts the next attempt of a request; a time-out of 0 lasts until the client gives up. */
    void send(String id, String server, long timeout);

    /** Stops waiting for an attempt. */
    void cancel(String id, int attempt);

    /** Final answer: turned away, a retry is harmless. */
    void refuse(String id, long retryAfter);

    /** Final answer: failed, with no promise about effects. */
    void fail(String id);

    /** Asks for list changes from now on. */
    void watch();

    /** Asks for a timer event at a time. */
    void timer(long at, long token);

    /** Probes a server. */
    void probe(String server);

    /** Ends a running stream cleanly where the site can resume it elsewhere. */
    void move(String id);

    /** Asks for the whole list once. */
    void fetch();

    /** Stops asking for list changes. */
    void unwatch();

    /** Closes the idle connections to a server. */
    void close(String server);

    /** Sends at most 256 bytes to one peer, or to all if {@code peer} is negative. */
    void tell(int peer, byte[] payload);

    /** A line for the operators. */
    void log(String text);
}
