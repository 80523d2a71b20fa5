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
 * Randomized fault test of streams: the router as a process, scripted upstreams and clients on loopback, hundreds of
 * streams at once, and faults that a seed chooses. {@link StreamFaultReport} holds the bounds.
 *
 * <p>{@code StreamFaultRun SEED [HEALTHY FAULTY]}; the last line says ok or short.
 */
public final class StreamFaultRun {
    private static final int UPSTREAMS = 24;
    private static final int DEFAULT_HEALTHY = 220;
    private static final int DEFAULT_FAULTY = 300;
    private static final int MAX_WARM_UP_STREAMS = 20;
    private static final int MAX_HEALTHY_BESIDE_CROWD = 60;
    /** How often it is checked whether all streams have ended, and how often at most. */
    private static final int DRAIN_CHECK_MS = 100;

    private static final int MAX_DRAIN_CHECKS = 100;
    /** Between the starts of two clients (us). */
    private static final int CLIENT_START_MICROS = 1500;

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

    /** Runs the test, appends its line to {@code line}, and returns whether every bound held. */
    static boolean run(long seed, int healthy, int faulty, StringBuilder line) throws Exception {
        Path folder = Files.createTempDirectory("proof-streams");
        try (ScriptedUpstreams upstreams = new ScriptedUpstreams(UPSTREAMS);
                RouterUnderTest router = new RouterUnderTest(folder, upstreams)) {
            StreamFaultReport report = new StreamFaultRun(seed, upstreams, router).play(seed, healthy, faulty);
            report.appendTo(line);
            List<String> violations = report.violations();
            if (!violations.isEmpty()) {
                System.out.println("out of bounds: " + String.join(", ", violations));
            }
            return violations.isEmpty();
        }
    }

    private StreamFaultReport play(long seed, int healthy, int faulty) throws Exception {
        schedulingDelay.startMeasuring();
        playStreams("w", Math.min(MAX_WARM_UP_STREAMS, healthy), 0); // Compiled before anything is measured.
        long[] gapsAlone = playStreams("a", healthy, 0);
        long memoryAloneKb = router.maxMemoryKb();
        long[] gapsBesideFaults = playStreams("b", healthy, faulty);
        int rejectedBeforeCrowd = clients.rejected();
        // Hundreds stop reading at once: what the budget has no room for then is rejected.
        long[] gapsBesideCrowd =
                playStreams("s", Math.min(MAX_HEALTHY_BESIDE_CROWD, healthy), faulty, StreamFault.STOPS_READING);
        Map<String, Long> counters = awaitStreamsEnded();
        long memoryKb = router.maxMemoryKb();
        int streamsBeforeShutdown = clients.streams();
        long outcomesAtShutdown = playShutdown(healthy / 4, faulty / 4);
        return new StreamFaultReport(
                seed,
                healthy,
                faulty,
                counters,
                clients,
                gapsAlone,
                gapsBesideFaults,
                gapsBesideCrowd,
                upstreams.disconnectDelays(),
                schedulingDelay.maxMicros(),
                rejectedBeforeCrowd,
                streamsBeforeShutdown,
                outcomesAtShutdown,
                memoryAloneKb,
                memoryKb);
    }

    private Map<String, Long> awaitStreamsEnded() throws Exception {
        Map<String, Long> counters = router.counters();
        for (int i = 0; i < MAX_DRAIN_CHECKS && counters.getOrDefault("streams_open", 0L) > 0; i++) {
            TimeUnit.MILLISECONDS.sleep(DRAIN_CHECK_MS);
            counters = router.counters();
        }
        return counters;
    }

    /**
     * Plays so many healthy streams beside so many faulty ones.
     *
     * @param only the fault of all faulty streams; none for all kinds
     * @return the gaps between the events of the healthy ones, in ascending order (us)
     */
    private long[] playStreams(String name, int healthy, int faulty, StreamFault... only) throws InterruptedException {
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
            TimeUnit.MICROSECONDS.sleep(CLIENT_START_MICROS);
        }
        for (Thread thread : threads) {
            thread.join();
        }
        return gaps.stream().mapToLong(Long::longValue).sorted().toArray();
    }

    /** Each fault comes at least once; which others there are, the seed says. */
    private StreamFault chooseFault(int index) {
        StreamFault[] faults = StreamFault.values();
        int kinds = faults.length - 1; // All but NONE, the first.
        return faults[1 + (index < kinds ? index : random.nextInt(kinds))];
    }

    /** Sends SIGTERM in the middle of all faults; returns the outcomes counted by the end, -1 if there is no end. */
    private long playShutdown(int healthy, int faulty) throws InterruptedException {
        Thread lastStreams = DaemonThreads.newThread("last", () -> {
            try {
                playStreams("t", healthy, faulty);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        lastStreams.start();
        TimeUnit.MILLISECONDS.sleep(700 + random.nextInt(1500));
        boolean ended = router.terminate();
        lastStreams.join();
        long outcomes = router.outcomesAtExit();
        return ended ? outcomes : -1;
    }

    /** Runs the test with the seed and the scale of the arguments; the exit status says whether every bound held. */
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
