package magpiehub.routing;

/**
 * Detects from recent answers whether the fleet is overloaded. An answer is good if its first token met the latency
 * objective, and bad if its first token was late, it was rejected for lack of capacity or it timed out.
 */
final class OverloadDetector {
    /** Fraction of bad answers above which the fleet counts as overloaded, and the number that they must exceed. */
    private static final double OVERLOADED_FRACTION = 0.15;

    private static final double MIN_BAD_ANSWERS = 2;

    /** Fraction of bad answers above which load is shed, and the minimum number of answers. */
    private static final double SHEDDING_FRACTION = 0.3;

    private static final double MIN_ANSWERS = 4;

    /** Factor by which the counts are multiplied after each period. */
    private static final double DECAY_PER_PERIOD = 0.5;

    private double good;
    private double bad;

    /** Records a first token; {@code value} is 1 if it was in time, otherwise its class's value of a late answer. */
    void recordFirstToken(double value) {
        good += value;
        bad += 1 - value;
    }

    /** Records an attempt that was rejected for lack of capacity or timed out. */
    void recordFailure() {
        bad++;
    }

    boolean isOverloaded() {
        return bad > OVERLOADED_FRACTION * (good + bad) && bad > MIN_BAD_ANSWERS;
    }

    /** Returns whether the fraction of bad answers requires load shedding. */
    boolean needsLoadShedding() {
        double total = good + bad;
        return !(total < MIN_ANSWERS || bad <= SHEDDING_FRACTION * total);
    }

    /** Decays the counts; called at the end of each period. */
    void decay() {
        good *= DECAY_PER_PERIOD;
        bad *= DECAY_PER_PERIOD;
    }
}
