package magpiehub.downstream;

/** How many connections a listener serves at most, and from which numbers on it behaves differently. */
record ConnectionCapacity(int maxConnections) {
    /**
     * Each connection costs a thread, and each thread costs CPU time whenever the process is held to its share of a
     * core: beyond this part of the maximum, idle connections are evicted.
     */
    private static final int CROWDED_DIVISOR = 3;
    /** With less than this part of the maximum free, clients without a request are evicted early. */
    private static final int NEARLY_FULL_DIVISOR = 10;
    /** Connections beyond the maximum are rejected with an answer, for which a few descriptors are kept. */
    private static final int REJECTION_DIVISOR = 16;

    private static final int MIN_REJECTIONS = 4;

    /** By how many connections the listener is crowded; 0 or less if it is not. */
    int excess(int open) {
        return open - maxConnections / CROWDED_DIVISOR;
    }

    /** Whether there are so many connections that each answer is its connection's last. */
    boolean isCrowded(int open) {
        return excess(open) > 0;
    }

    /** Whether hardly any capacity is left. */
    boolean isNearlyFull(int open) {
        return open >= maxConnections - maxConnections / NEARLY_FULL_DIVISOR;
    }

    /** How many connections without a request are evicted at once when the listener is nearly full. */
    int earlyEvictions() {
        return maxConnections / NEARLY_FULL_DIVISOR + 1;
    }

    /** Whether one more connection is served; if not, it is only answered that it is rejected. */
    boolean hasRoom(int open) {
        return open < maxConnections;
    }

    /** Whether no descriptor is left even for rejecting a connection, so that accepting has to pause. */
    boolean isExhausted(int open) {
        return open >= maxConnections + maxConnections / REJECTION_DIVISOR + MIN_REJECTIONS;
    }
}
