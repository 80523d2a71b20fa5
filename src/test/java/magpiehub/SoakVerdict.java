package magpiehub;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/** Checks what engines and clients have recorded against the rules of the platform. */
final class SoakVerdict {
    /** An answer may come so long after its time. */
    private static final long LATE_NANOS = 500_000_000;
    /** An attempt may begin so long after its client has closed the connection. */
    private static final long LEFT_NANOS = 100_000_000;
    /** What came later than this after SIGTERM has to have its answer at SIGKILL. */
    private static final long TAKEN_AFTER_TERM_NANOS = 700_000_000;

    private final SoakEngines engines;
    private final long termNanos;
    private final long slackNanos;

    /**
     * Creates the checks of one run.
     *
     * @param slackNanos how late the machine has woken threads
     */
    SoakVerdict(SoakEngines engines, long termNanos, long slackNanos) {
        this.engines = engines;
        this.termNanos = termNanos;
        this.slackNanos = slackNanos;
    }

    /** What broke a rule, a line each. */
    List<String> broken(Collection<SoakClient.Exchange> exchanges) {
        List<String> broken = new ArrayList<>();
        for (SoakClient.Exchange exchange : exchanges) {
            List<SoakEngines.Attempt> attempts = engines.attempts(exchange.id);
            checkWhole(exchange, attempts, broken);
            checkAttempts(exchange, attempts, broken);
            if (exchange.leftNanos == 0) {
                checkAnswered(exchange, broken);
            }
        }
        return broken;
    }

    private static void checkWhole(
            SoakClient.Exchange exchange, List<SoakEngines.Attempt> attempts, List<String> broken) {
        if (exchange.wholeAnswer == null) {
            return;
        }
        if (attempts.stream().noneMatch(attempt -> exchange.wholeAnswer.equals(attempt.wholeAnswer))) {
            broken.add(exchange.id + " ended as whole and is not: " + exchange.wholeAnswer.length() + " bytes");
        }
    }

    private void checkAttempts(SoakClient.Exchange exchange, List<SoakEngines.Attempt> attempts, List<String> broken) {
        long executed = attempts.stream().filter(attempt -> !attempt.rejected).count();
        if (exchange.sideEffect && executed > 1) {
            broken.add(exchange.id + " ran " + executed + " times");
        }
        for (SoakEngines.Attempt attempt : attempts) {
            if (exchange.leftNanos != 0 && attempt.takenNanos - exchange.leftNanos > LEFT_NANOS + slackNanos) {
                broken.add(exchange.id + " was sent after its client had left");
            }
        }
    }

    private void checkAnswered(SoakClient.Exchange exchange, List<String> broken) {
        boolean late = exchange.sentNanos - termNanos > TAKEN_AFTER_TERM_NANOS;
        if (exchange.answeredNanos == 0) {
            // A connection that has served before may be closed as the request crosses; SIGKILL ends the others.
            boolean afterTerm = exchange.sentNanos >= termNanos;
            if (exchange.newConnection && (!afterTerm || late)) {
                broken.add(exchange.id + " got no answer, " + sinceTerm(exchange.sentNanos) + " ms after SIGTERM");
            }
            return;
        }
        if (exchange.answeredNanos - exchange.sentNanos > exchange.budgetNanos + LATE_NANOS + slackNanos) {
            broken.add(exchange.id + " was answered late");
        }
    }

    private long sinceTerm(long nanos) {
        return (nanos - termNanos) / SoakClient.NANOS_PER_MILLI;
    }
}
