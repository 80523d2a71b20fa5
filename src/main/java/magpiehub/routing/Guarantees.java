package magpiehub.routing;

/** Figures of the rules that every node must keep by itself. */
public record Guarantees(
        long answerSlack,
        long askWithin,
        long cold,
        long fall,
        double overloadFactor,
        double startCapacity,
        long stopSendingWithin) {}
