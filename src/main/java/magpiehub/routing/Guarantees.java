package magpiehub.routing;

/** Figures of the rules that every node must keep by itself. */
public record Guarantees(
        long answerSlack,
        long pollWithin,
        long warmUpDuration,
        long overloadWindow,
        double overloadFactor,
        double initialCapacity,
        long stopSendingWithin) {}
