package magpiehub.routing;

/**
 * A count in which older events weigh exponentially less. Its value is that of the moment of the last event: it is
 * not decayed further while it is read.
 */
final class DecayedCounter {
    private final double timeConstant;
    private double value;
    private long updatedAt;

    /** A counter at 0 whose events weigh 1/e after {@code timeConstant} microseconds. */
    DecayedCounter(double timeConstant, long now) {
        this.timeConstant = timeConstant;
        updatedAt = now;
    }

    /** Counts one event. */
    void increment(long now) {
        add(1, now);
    }

    /** Counts an event of a weight. */
    void add(double weight, long now) {
        value = value * Math.exp((updatedAt - now) / timeConstant) + weight;
        updatedAt = now;
    }

    /** Multiplies what has been counted by a factor. */
    void scale(double factor) {
        value *= factor;
    }

    double value() {
        return value;
    }

    /** When the last event was counted; the time of creation if there was none. */
    long updatedAt() {
        return updatedAt;
    }
}
