package magpiehub.routing;

/** What a node may do. */
public interface RoutingActions {
    /** Starts the next attempt of a request; a time-out of 0 lasts until the client gives up. */
    void sendAttempt(String id, String server, long timeout);

    /** Stops waiting for an attempt. */
    void cancelAttempt(String id, int attempt);

    /** Final answer: turned away, a retry is harmless. */
    void reject(String id, long retryAfter);

    /** Final answer: failed, with no promise about effects. */
    void fail(String id);

    /** Asks for list changes from now on. */
    void watch();

    /** Asks for a timer event at a time. */
    void setTimer(long at, long token);

    /** Probes a server. */
    void probe(String server);

    /** Ends a running stream cleanly where the site can resume it elsewhere. */
    void migrateStream(String id);

    /** Asks for the whole list once. */
    void fetch();

    /** Stops asking for list changes. */
    void unwatch();

    /** Closes the idle connections to a server. */
    void closeIdleConnections(String server);

    /** Sends at most 256 bytes to one peer, or to all if {@code peer} is negative. */
    void sendToPeer(int peer, byte[] payload);

    /** A line for the operators. */
    void log(String text);
}
