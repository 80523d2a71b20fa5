package magpiehub.routing;

/**
 * A counter with exponential decay. Its value is the one at the time of the last event; reading it applies no further
 * decay.
 */
final class DecayedCounter {
    private final double timeConstant;
    private double value;
    private long updatedAt;

    /** Creates a counter at 0 whose events have decayed to 1/e after {@code timeConstant} microseconds. */
    DecayedCounter(double timeConstant, long now) {
        this.timeConstant = timeConstant;
        updatedAt = now;
    }

    /** Counts one event. */
    void increment(long now) {
        add(1, now);
    }

    /** Counts an event with a weight. */
    void add(double weight, long now) {
        value = value * Math.exp((updatedAt - now) / timeConstant) + weight;
        updatedAt = now;
    }

    /** Multiplies the value by a factor. */
    void scale(double factor) {
        value *= factor;
    }

    double value() {
        return value;
    }

    /** Returns the time of the last event, or of the creation if there was none. */
    long updatedAt() {
        return updatedAt;
    }
}
