package magpiehub.routing;

/** Requests that came to this router and attempts that it sent, as decayed counts. */
final class TrafficMeter {
    /** Time constant of shares of traffic, in microseconds: a few sessions long. */
    static final double TIME_CONSTANT_MICROS = 20_000_000;

    /** Requests seen before shares of traffic are believed; until then keys are spread by session. */
    private static final double ESTABLISHED_COUNT = 30;

    /** The least time, in time constants, that a rate is taken over, so that it is defined from the start. */
    private static final double SHORTEST_SPAN = 0.1;

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

    /** Requests received, decayed. */
    double requestCount() {
        return received.value();
    }

    /** Whether enough requests have been seen for a key's share of them to mean something. */
    boolean isEstablished() {
        return received.value() >= ESTABLISHED_COUNT;
    }

    /** When the last attempt was sent; the router's start if there was none. */
    long lastAttemptAt() {
        return sent.updatedAt();
    }

    /**
     * Attempts sent per microsecond. A router that has just started has sent for a short time only: taken over the
     * whole time constant it would count as idle.
     */
    double attemptsPerMicro(long now) {
        return sent.value()
                / (TIME_CONSTANT_MICROS
                        * -Math.expm1(Math.min(-SHORTEST_SPAN, (startedAt - now) / TIME_CONSTANT_MICROS)));
    }
}
