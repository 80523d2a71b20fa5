package magpiehub.streaming;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import magpiehub.concurrent.DaemonThreads;

/**
 * Randomized fault injection into streams: the router runs as a process between scripted upstreams and clients on
 * loopback, with hundreds of concurrent streams. The seed determines the faults. {@link StreamFaultReport} defines the
 * bounds.
 *
 * <p>Usage: {@code StreamFaultRun SEED [HEALTHY FAULTY]}. The last line of the output ends with {@code ok} if all
 * bounds held, otherwise with {@code short}.
 */
public final class StreamFaultRun {
    private static final int UPSTREAMS = 24;
    private static final int DEFAULT_HEALTHY = 220;
    private static final int DEFAULT_FAULTY = 300;
    private static final int MAX_WARM_UP_STREAMS = 20;
    private static final int MAX_HEALTHY_DURING_MASS_STALL = 60;
    /** The interval between checks whether all streams have ended. */
    private static final int DRAIN_CHECK_INTERVAL_MS = 100;

    private static final int MAX_DRAIN_CHECKS = 100;
    /** The interval between the starts of two clients. */
    private static final int CLIENT_START_INTERVAL_MICROS = 1500;

    private final SplittableRandom random;
    private final ScriptedUpstreams upstreams;
    private final RouterUnderTest router;
    private final FaultyClients clients;
    private final SchedulingDelay schedulingDelay = new SchedulingDelay();

    private StreamFaultRun(long seed, ScriptedUpstreams upstreams, RouterUnderTest router) {
        this.random = new SplittableRandom(seed);
        this.upstreams = upstreams;
        this.router = router;
        this.clients = new FaultyClients(router.port(), upstreams, RouterUnderTest.CLIENT_STALL_MS / 2);
    }

    /** Runs the test, appends its results to {@code line}, and returns whether all bounds held. */
    static boolean run(long seed, int healthy, int faulty, StringBuilder line) throws Exception {
        Path folder = Files.createTempDirectory("proof-streams");
        try (ScriptedUpstreams upstreams = new ScriptedUpstreams(UPSTREAMS);
                RouterUnderTest router = new RouterUnderTest(folder, upstreams)) {
            StreamFaultReport report = new StreamFaultRun(seed, upstreams, router).runPhases(seed, healthy, faulty);
            report.appendTo(line);
            List<String> violations = report.violations();
            if (!violations.isEmpty()) {
                System.out.println("out of bounds: " + String.join(", ", violations));
            }
            return violations.isEmpty();
        }
    }

    private StreamFaultReport runPhases(long seed, int healthy, int faulty) throws Exception {
        schedulingDelay.startMeasuring();
        runStreams("w", Math.min(MAX_WARM_UP_STREAMS, healthy), 0); // Warms up the JIT compiler.
        long[] baselineGaps = runStreams("a", healthy, 0);
        long baselineMemoryKb = router.peakMemoryKb();
        long[] gapsDuringFaults = runStreams("b", healthy, faulty);
        int rejectedBeforeMassStall = clients.rejected();
        // Hundreds of clients stop reading simultaneously; requests beyond the buffer budget are rejected then.
        long[] gapsDuringMassStall = runStreams(
                "s", Math.min(MAX_HEALTHY_DURING_MASS_STALL, healthy), faulty, StreamFault.CLIENT_STOPS_READING);
        Map<String, Long> counters = awaitStreamsEnded();
        long peakMemoryKb = router.peakMemoryKb();
        int streamsBeforeShutdown = clients.streams();
        long outcomesAtShutdown = runShutdown(healthy / 4, faulty / 4);
        return new StreamFaultReport(
                seed,
                healthy,
                faulty,
                counters,
                clients,
                baselineGaps,
                gapsDuringFaults,
                gapsDuringMassStall,
                upstreams.disconnectDelays(),
                schedulingDelay.maxMicros(),
                rejectedBeforeMassStall,
                streamsBeforeShutdown,
                outcomesAtShutdown,
                baselineMemoryKb,
                peakMemoryKb);
    }

    private Map<String, Long> awaitStreamsEnded() throws Exception {
        Map<String, Long> counters = router.counters();
        for (int i = 0; i < MAX_DRAIN_CHECKS && counters.getOrDefault("streams_open", 0L) > 0; i++) {
            TimeUnit.MILLISECONDS.sleep(DRAIN_CHECK_INTERVAL_MS);
            counters = router.counters();
        }
        return counters;
    }

    /**
     * Runs healthy and faulty streams concurrently.
     *
     * @param only the fault of all faulty streams; if absent, all kinds of faults
     * @return the gaps between the events of the healthy streams, in microseconds and ascending order
     */
    private long[] runStreams(String name, int healthy, int faulty, StreamFault... only) throws InterruptedException {
        ConcurrentLinkedQueue<Long> gaps = new ConcurrentLinkedQueue<>();
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < healthy + faulty; i++) {
            StreamFault fault = i < healthy ? StreamFault.NONE : only.length > 0 ? only[0] : chooseFault(i - healthy);
            String id = name + i + "-" + fault;
            ConcurrentLinkedQueue<Long> measured = fault == StreamFault.NONE ? gaps : null;
            threads.add(DaemonThreads.newThread("client", () -> clients.run(id, fault, measured)));
        }
        Collections.shuffle(threads, new Random(random.nextLong()));
        for (Thread thread : threads) {
            thread.start();
            TimeUnit.MICROSECONDS.sleep(CLIENT_START_INTERVAL_MICROS);
        }
        for (Thread thread : threads) {
            thread.join();
        }
        return gaps.stream().mapToLong(Long::longValue).sorted().toArray();
    }

    /** Returns each fault once, and after that random faults. */
    private StreamFault chooseFault(int index) {
        StreamFault[] faults = StreamFault.values();
        int kinds = faults.length - 1; // All except NONE, which is the first.
        return faults[1 + (index < kinds ? index : random.nextInt(kinds))];
    }

    /** Sends SIGTERM while streams run; returns the number of outcomes counted at exit, or -1 without an exit. */
    private long runShutdown(int healthy, int faulty) throws InterruptedException {
        Thread streams = DaemonThreads.newThread("shutdown-streams", () -> {
            try {
                runStreams("t", healthy, faulty);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        streams.start();
        TimeUnit.MILLISECONDS.sleep(700 + random.nextInt(1500));
        boolean exited = router.terminate();
        streams.join();
        long outcomes = router.outcomesAtExit();
        return exited ? outcomes : -1;
    }

    /** Runs the test with the seed and the scale of the arguments; the exit status is 0 if all bounds held. */
    public static void main(String[] args) throws Exception {
        StringBuilder line = new StringBuilder();
        boolean ok = run(
                Long.parseLong(args[0]),
                args.length > 1 ? Integer.parseInt(args[1]) : DEFAULT_HEALTHY,
                args.length > 2 ? Integer.parseInt(args[2]) : DEFAULT_FAULTY,
                line);
        System.out.println(line + (ok ? " ok" : " short"));
        System.exit(ok ? 0 : 1);
    }
}
