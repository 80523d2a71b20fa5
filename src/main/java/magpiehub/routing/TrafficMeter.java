package magpiehub.routing;

/** Decayed counts of the requests that this router received and of the attempts that it sent. */
final class TrafficMeter {
    /** Time constant of the counts, the length of a few sessions. */
    static final double TIME_CONSTANT_MICROS = 20_000_000;

    /** Requests from which shares of traffic are reliable; until then keys are spread by session. */
    private static final double MIN_RELIABLE_COUNT = 30;

    /** Minimum time, in time constants, over which a rate is computed, so that it is defined from the start. */
    private static final double MIN_SPAN = 0.1;

    private final DecayedCounter received;
    private final DecayedCounter sent;
    private final long startedAt;

    TrafficMeter(long now) {
        received = new DecayedCounter(TIME_CONSTANT_MICROS, now);
        sent = new DecayedCounter(TIME_CONSTANT_MICROS, now);
        startedAt = now;
    }

    void recordRequest(long now) {
        received.increment(now);
    }

    void recordAttempt(long now) {
        sent.increment(now);
    }

    /** Returns the decayed number of requests received. */
    double requestCount() {
        return received.value();
    }

    /** Returns whether enough requests were received for a key's share of them to be reliable. */
    boolean isReliable() {
        return received.value() >= MIN_RELIABLE_COUNT;
    }

    /** Returns when the last attempt was sent, or when the router started if there was none. */
    long lastAttemptAt() {
        return sent.updatedAt();
    }

    /**
     * Returns the attempts sent per microsecond. The rate of a router that has just started is computed over the time
     * since its start: over the whole time constant, the router would appear idle.
     */
    double attemptsPerMicro(long now) {
        return sent.value()
                / (TIME_CONSTANT_MICROS * -Math.expm1(Math.min(-MIN_SPAN, (startedAt - now) / TIME_CONSTANT_MICROS)));
    }
}
