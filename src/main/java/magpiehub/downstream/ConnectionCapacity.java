package magpiehub.downstream;

/** The maximum number of connections that a listener serves, and the thresholds derived from it. */
record ConnectionCapacity(int maxConnections) {
    /**
     * Determines the soft limit, above which idle connections are evicted: each connection costs a thread, and each
     * thread costs CPU time while the process is throttled to its share of a core.
     */
    private static final int SOFT_LIMIT_DIVISOR = 3;
    /** With this fraction of the maximum or less free, clients that have not sent a request are evicted early. */
    private static final int NEARLY_FULL_DIVISOR = 10;
    /**
     * Connections above the maximum are accepted only to be rejected with a response; a few descriptors are reserved
     * for them.
     */
    private static final int REJECTION_RESERVE_DIVISOR = 16;

    private static final int MIN_REJECTION_RESERVE = 4;

    /** By how many connections the soft limit is exceeded; 0 or less if it is not. */
    int excessOverSoftLimit(int open) {
        return open - maxConnections / SOFT_LIMIT_DIVISOR;
    }

    /** Whether the soft limit is exceeded, so that each response is the last on its connection. */
    boolean exceedsSoftLimit(int open) {
        return excessOverSoftLimit(open) > 0;
    }

    /** Whether nearly all capacity is in use. */
    boolean isNearlyFull(int open) {
        return open >= maxConnections - maxConnections / NEARLY_FULL_DIVISOR;
    }

    /** How many connections without a complete request are evicted at once when the listener is nearly full. */
    int maxEarlyEvictions() {
        return maxConnections / NEARLY_FULL_DIVISOR + 1;
    }

    /** Whether one more connection can be served; if not, it only gets a response that rejects it. */
    boolean hasFreeCapacity(int open) {
        return open < maxConnections;
    }

    /** Whether no descriptor is left even for rejecting a connection, so that accepting must pause. */
    boolean isExhausted(int open) {
        return open >= maxConnections + maxConnections / REJECTION_RESERVE_DIVISOR + MIN_REJECTION_RESERVE;
    }
}
