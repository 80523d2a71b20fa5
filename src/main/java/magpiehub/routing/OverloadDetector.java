package magpiehub.routing;

/**
 * Tells from recent answers whether the fleet is overloaded. An answer is good if its first token came within the
 * latency objective, and bad if it came later, was rejected for lack of capacity or timed out.
 */
final class OverloadDetector {
    /** Part of bad answers from which the fleet counts as overloaded, and the least number of them. */
    private static final double OVERLOADED_PART = 0.15;

    private static final double LEAST_BAD_ANSWERS = 2;

    /** Part of bad answers from which load is shed, and the least number of answers that say so. */
    private static final double SHEDDING_PART = 0.3;

    private static final double LEAST_ANSWERS = 4;

    /** What answers of earlier periods weigh after each period. */
    private static final double DECAY_PER_PERIOD = 0.5;

    private double good;
    private double bad;

    /** A first token came; {@code value} is 1 if it came in time, and what its class says of a late one else. */
    void recordFirstToken(double value) {
        good += value;
        bad += 1 - value;
    }

    /** An attempt was rejected for lack of capacity, or timed out. */
    void recordFailure() {
        bad++;
    }

    boolean isOverloaded() {
        return bad > OVERLOADED_PART * (good + bad) && bad > LEAST_BAD_ANSWERS;
    }

    /** Whether so many answers are bad that load has to be shed. */
    boolean needsLoadShedding() {
        double total = good + bad;
        return !(total < LEAST_ANSWERS || bad <= SHEDDING_PART * total);
    }

    /** Called at the end of each period. */
    void decay() {
        good *= DECAY_PER_PERIOD;
        bad *= DECAY_PER_PERIOD;
    }
}
