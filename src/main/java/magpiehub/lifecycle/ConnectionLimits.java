package magpiehub.lifecycle;

/**
 * The division of the process's file descriptors. Requests in flight need at most a third of them on each side; the
 * downstream side needs more, since clients stay connected between requests.
 *
 * @param upstream maximum number of connections to upstreams
 * @param downstream maximum number of client connections that may send requests
 */
record ConnectionLimits(int upstream, int downstream) {
    /** Maximum number of client connections on the listener of the messages protocol, if it is enabled. */
    static final int MAX_MESSAGES_CONNECTIONS = 64;

    /** Descriptors reserved for files, logs, discovery and health checks; clients and upstreams share the rest. */
    private static final int RESERVED_DESCRIPTORS = 64;
    /** Minimum number of connections on each side, even if the descriptors are too few. */
    private static final int MIN_CONNECTIONS = 8;

    static ConnectionLimits forSockets(int maxSockets) {
        int upstream = Math.max(MIN_CONNECTIONS, maxSockets * 3 / 8);
        int allDownstream = Math.max(MIN_CONNECTIONS, maxSockets - RESERVED_DESCRIPTORS - upstream);
        // The listener accepts a sixteenth plus 4 above its limit, to send these clients a rejection response.
        return new ConnectionLimits(upstream, allDownstream * 15 / 16 - 4);
    }
}
