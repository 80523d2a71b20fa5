package magpiehub.streaming;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * What a {@link StreamFaultRun} measured, and the bounds on it. Gaps and delays are in ascending order (us).
 *
 * @param counters the router's, once all streams before the shutdown had ended
 * @param gapsAlone between the events of healthy streams without any other
 * @param gapsBesideFaults the same beside faulty streams
 * @param gapsBesideCrowd the same beside clients that all stop reading
 * @param disconnectDelays how long after their clients upstreams learned that these had gone
 * @param schedulingDelayMicros the longest that a thread had to wait for a core
 * @param rejectedBeforeCrowd requests rejected before all clients stopped reading at once
 * @param streamsBeforeShutdown streams that had begun when the counters were read
 * @param outcomesAtShutdown outcomes that the router had counted at its end; -1 if it did not end
 */
record StreamFaultReport(
        long seed,
        int healthy,
        int faulty,
        Map<String, Long> counters,
        FaultyClients clients,
        long[] gapsAlone,
        long[] gapsBesideFaults,
        long[] gapsBesideCrowd,
        long[] disconnectDelays,
        long schedulingDelayMicros,
        int rejectedBeforeCrowd,
        int streamsBeforeShutdown,
        long outcomesAtShutdown,
        long memoryAloneKb,
        long memoryKb) {
    /** By how much faulty streams may lengthen the slowest gaps of healthy ones. */
    private static final double MAX_GAP_RATIO = 1.2;
    /** Below so many healthy streams gaps are not compared. */
    private static final int MIN_HEALTHY_FOR_GAPS = 50;
    /** So many streams must be open at once, in a run that has as many. */
    private static final int MIN_OPEN_STREAMS = 400;

    private static final long MAX_DISCONNECT_DELAY_MICROS = 100_000;
    private static final double SLOWEST = 0.99;
    private static final double MEDIAN = 0.5;

    private static long quantile(long[] sorted, double fraction) {
        return sorted.length == 0 ? 0 : sorted[(int) Math.min(sorted.length - 1, fraction * sorted.length)];
    }

    private static double gapRatio(long[] gaps, long[] baseline) {
        return (double) quantile(gaps, SLOWEST) / Math.max(1, quantile(baseline, SLOWEST));
    }

    private long counter(String name) {
        return counters.getOrDefault(name, 0L);
    }

    /** Appends the run's line, one figure after the other. */
    void appendTo(StringBuilder line) {
        line.append("proof streams seed=")
                .append(seed)
                .append(" requests=")
                .append(clients.streams() + clients.rejected())
                .append(" at_once=")
                .append(clients.maxOpenStreams())
                .append(" refused=")
                .append(clients.rejected());
        for (StreamOutcome outcome : StreamOutcome.values()) {
            long count = counter(outcome.counter());
            line.append(count == 0 ? "" : " " + outcome.label() + "=" + count);
        }
        line.append(" without_ending=")
                .append(counter("streams_open"))
                .append(" two_endings=")
                .append(counter("streams_ended_twice"))
                .append(" bytes_wrong=")
                .append(clients.wrongBytes())
                .append(" held_most_kb=")
                .append(counter("streams_bytes_held_most") / 1024)
                .append(" memory_mb=")
                .append(memoryAloneKb / 1024)
                .append('/')
                .append(memoryKb / 1024);
        appendTimes(line);
    }

    private void appendTimes(StringBuilder line) {
        line.append(" reader_end_to_engine_us=")
                .append(quantile(disconnectDelays, MEDIAN))
                .append('/')
                .append(quantile(disconnectDelays, SLOWEST))
                .append(" ends=")
                .append(disconnectDelays.length)
                .append(" gap_p99_us=")
                .append(quantile(gapsAlone, SLOWEST))
                .append('/')
                .append(quantile(gapsBesideFaults, SLOWEST))
                .append(String.format(
                        Locale.ROOT,
                        " gap_ratio=%.3f/%.3f",
                        gapRatio(gapsBesideFaults, gapsAlone),
                        gapRatio(gapsBesideCrowd, gapsAlone)));
    }

    /** The bounds that did not hold. */
    List<String> violations() {
        List<String> violations = new ArrayList<>();
        check(violations, counter("streams_open") == 0 && counter("streams_ended_twice") == 0, "endings");
        check(violations, clients.wrongBytes() == 0, "bytes");
        check(violations, counter("streams_fault") == 0, "faults");
        long outcomes = 0;
        for (StreamOutcome outcome : StreamOutcome.values()) {
            outcomes += counter(outcome.counter());
        }
        check(
                violations,
                outcomes == streamsBeforeShutdown,
                "endings=" + outcomes + " streams=" + streamsBeforeShutdown);
        check(
                violations,
                outcomesAtShutdown == clients.streams(),
                "endings at SIGTERM=" + outcomesAtShutdown + " of " + clients.streams());
        check(
                violations,
                healthy + faulty < MIN_OPEN_STREAMS || clients.maxOpenStreams() >= MIN_OPEN_STREAMS,
                "streams at once");
        check(violations, rejectedBeforeCrowd == 0, "refused before the crowd");
        long slowestDisconnect = quantile(disconnectDelays, SLOWEST);
        check(
                violations,
                disconnectDelays.length > 0 && slowestDisconnect < MAX_DISCONNECT_DELAY_MICROS + schedulingDelayMicros,
                "reader's end " + slowestDisconnect + " us, late " + schedulingDelayMicros);
        check(violations, healthy < MIN_HEALTHY_FOR_GAPS || gapsStayShort(), "gap of healthy streams");
        return violations;
    }

    private boolean gapsStayShort() {
        return gapRatio(gapsBesideFaults, gapsAlone) <= MAX_GAP_RATIO
                && quantile(gapsBesideCrowd, SLOWEST) <= MAX_GAP_RATIO * quantile(gapsAlone, SLOWEST);
    }

    private static void check(List<String> violations, boolean holds, String what) {
        if (!holds) {
            violations.add(what);
        }
    }
}
