package magpiehub.lifecycle;

/**
 * How the descriptors of the process are divided. Requests in flight take at most a third of them on each side; clients
 * that stay connected between requests need more.
 *
 * @param upstream connections to upstreams
 * @param downstream connections of clients that may send requests
 */
record ConnectionLimits(int upstream, int downstream) {
    /** Connections of clients that use the messages protocol, where it is on. */
    static final int MESSAGES_DOWNSTREAM = 64;

    /** Descriptors for files, logs, discovery and health checks; the rest is shared between clients and upstreams. */
    private static final int RESERVED = 64;
    /** The least on each side, however few there are. */
    private static final int MINIMUM = 8;

    static ConnectionLimits forSockets(int maxSockets) {
        int upstream = Math.max(MINIMUM, maxSockets * 3 / 8);
        int allDownstream = Math.max(MINIMUM, maxSockets - RESERVED - upstream);
        // The listener accepts a sixteenth and 4 more than its limit, to reject them with an answer.
        return new ConnectionLimits(upstream, allDownstream * 15 / 16 - 4);
    }
}
