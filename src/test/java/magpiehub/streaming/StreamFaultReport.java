package magpiehub.streaming;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * The measurements of a {@link StreamFaultRun} and their bounds. Gaps and delays are sorted and in microseconds.
 *
 * @param counters the counters of the router once all streams before the shutdown had ended
 * @param baselineGaps the gaps between events of healthy streams without any faulty streams
 * @param gapsDuringFaults the gaps of healthy streams beside faulty streams of all kinds
 * @param gapsDuringMassStall the gaps of healthy streams while the clients of all faulty streams stop reading
 * @param disconnectDelays the delays with which upstreams detected that their clients had disconnected
 * @param schedulingDelayMicros the longest delay with which a runnable thread was scheduled
 * @param rejectedBeforeMassStall the number of requests rejected before the clients stopped reading simultaneously
 * @param streamsBeforeShutdown the number of streams started before the counters were read
 * @param outcomesAtShutdown the number of outcomes that the router had counted at its exit; -1 if it did not exit
 * @param baselineMemoryKb the peak memory of the router before any faulty stream
 * @param peakMemoryKb the peak memory of the router before the shutdown
 */
record StreamFaultReport(
        long seed,
        int healthy,
        int faulty,
        Map<String, Long> counters,
        FaultyClients clients,
        long[] baselineGaps,
        long[] gapsDuringFaults,
        long[] gapsDuringMassStall,
        long[] disconnectDelays,
        long schedulingDelayMicros,
        int rejectedBeforeMassStall,
        int streamsBeforeShutdown,
        long outcomesAtShutdown,
        long baselineMemoryKb,
        long peakMemoryKb) {
    /** The largest factor by which faulty streams may lengthen the 99th percentile of the gaps of healthy ones. */
    private static final double MAX_GAP_RATIO = 1.2;
    /** Gaps are compared only with at least this many healthy streams. */
    private static final int MIN_HEALTHY_FOR_GAPS = 50;
    /** The number of concurrent streams that a run with at least as many streams has to reach. */
    private static final int MIN_OPEN_STREAMS = 400;

    private static final long MAX_DISCONNECT_DELAY_MICROS = 100_000;
    private static final double P99 = 0.99;
    private static final double MEDIAN = 0.5;

    private static long quantile(long[] sorted, double fraction) {
        return sorted.length == 0 ? 0 : sorted[(int) Math.min(sorted.length - 1, fraction * sorted.length)];
    }

    private static double gapRatio(long[] gaps, long[] baseline) {
        return (double) quantile(gaps, P99) / Math.max(1, quantile(baseline, P99));
    }

    private long counter(String name) {
        return counters.getOrDefault(name, 0L);
    }

    /** Appends the results as one line of {@code name=value} pairs. */
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
            long count = counter(outcome.counterName());
            line.append(count == 0 ? "" : " " + outcome.label() + "=" + count);
        }
        line.append(" without_ending=")
                .append(counter("streams_open"))
                .append(" two_endings=")
                .append(counter("streams_ended_twice"))
                .append(" bytes_wrong=")
                .append(clients.corruptedStreams())
                .append(" held_most_kb=")
                .append(counter("streams_bytes_held_most") / 1024)
                .append(" memory_mb=")
                .append(baselineMemoryKb / 1024)
                .append('/')
                .append(peakMemoryKb / 1024);
        appendTimes(line);
    }

    private void appendTimes(StringBuilder line) {
        line.append(" reader_end_to_engine_us=")
                .append(quantile(disconnectDelays, MEDIAN))
                .append('/')
                .append(quantile(disconnectDelays, P99))
                .append(" ends=")
                .append(disconnectDelays.length)
                .append(" gap_p99_us=")
                .append(quantile(baselineGaps, P99))
                .append('/')
                .append(quantile(gapsDuringFaults, P99))
                .append(String.format(
                        Locale.ROOT,
                        " gap_ratio=%.3f/%.3f",
                        gapRatio(gapsDuringFaults, baselineGaps),
                        gapRatio(gapsDuringMassStall, baselineGaps)));
    }

    /** Descriptions of the bounds that did not hold. */
    List<String> violations() {
        List<String> violations = new ArrayList<>();
        checkBound(
                violations,
                counter("streams_open") == 0 && counter("streams_ended_twice") == 0,
                "streams without an outcome or with two different ones");
        checkBound(violations, clients.corruptedStreams() == 0, "streams with corrupted bytes");
        checkBound(violations, counter("streams_fault") == 0, "streams with an internal error of the router");
        long outcomes = 0;
        for (StreamOutcome outcome : StreamOutcome.values()) {
            outcomes += counter(outcome.counterName());
        }
        checkBound(
                violations,
                outcomes == streamsBeforeShutdown,
                outcomes + " outcomes counted for " + streamsBeforeShutdown + " streams");
        checkBound(
                violations,
                outcomesAtShutdown == clients.streams(),
                outcomesAtShutdown + " outcomes counted at exit for " + clients.streams() + " streams");
        checkBound(
                violations,
                healthy + faulty < MIN_OPEN_STREAMS || clients.maxOpenStreams() >= MIN_OPEN_STREAMS,
                "only " + clients.maxOpenStreams() + " concurrent streams");
        checkBound(violations, rejectedBeforeMassStall == 0, "requests rejected before the mass stall");
        long slowestDisconnect = quantile(disconnectDelays, P99);
        checkBound(
                violations,
                disconnectDelays.length > 0 && slowestDisconnect < MAX_DISCONNECT_DELAY_MICROS + schedulingDelayMicros,
                "upstreams detected client disconnects after " + slowestDisconnect + " us, with a scheduling delay of "
                        + schedulingDelayMicros + " us");
        checkBound(
                violations,
                healthy < MIN_HEALTHY_FOR_GAPS || gapsAreWithinBounds(),
                "gaps of healthy streams lengthened by faulty ones");
        return violations;
    }

    private boolean gapsAreWithinBounds() {
        return gapRatio(gapsDuringFaults, baselineGaps) <= MAX_GAP_RATIO
                && quantile(gapsDuringMassStall, P99) <= MAX_GAP_RATIO * quantile(baselineGaps, P99);
    }

    private static void checkBound(List<String> violations, boolean holds, String description) {
        if (!holds) {
            violations.add(description);
        }
    }
}
