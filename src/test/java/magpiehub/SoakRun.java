package magpiehub;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import magpiehub.concurrent.DaemonThreads;
import magpiehub.streaming.SchedulingDelay;

/**
 * A router process between faulty engines and clients that keep their connections until the process is killed, with
 * reloads in series before that and, in some runs, a crowd of slow connections. The seed draws all faults. The rules
 * are checked against what engines and clients have recorded.
 *
 * <p>Usage: {@code SoakRun FIRST_SEED [RUNS]}. A line for each run; the last one ends with {@code ok} or
 * {@code broken}.
 */
public final class SoakRun {
    private static final int CLIENTS = 24;
    /** Every so many runs have a crowd. */
    private static final int RUNS_PER_CROWD = 4;

    private static final int CROWD = 300;
    private static final long READY_CHECK_MS = 50;
    private static final int MAX_READY_CHECKS = 200;
    private static final int MEMORY_LIMIT_MB = 192;
    private static final String CLASSES = "\"classes\":[{\"name\":\"order\",\"aimMs\":1000,\"deadlineMs\":4000,"
            + "\"effect\":\"side_effect\",\"gain\":1,\"stream\":true},";

    private final long seed;
    private final Queue<SoakClient.Exchange> exchanges = new ConcurrentLinkedQueue<>();
    private final SchedulingDelay schedulingDelay = new SchedulingDelay();

    private SoakRun(long seed) {
        this.seed = seed;
    }

    private static boolean hasCrowd(long seed) {
        return seed % RUNS_PER_CROWD == 0;
    }

    /** Plays one run; returns what broke a rule, and appends the run's figures to {@code line}. */
    static List<String> run(long seed, Path folder, StringBuilder line) throws Exception {
        return new SoakRun(seed).play(folder, line);
    }

    private List<String> play(Path folder, StringBuilder line) throws Exception {
        schedulingDelay.startMeasuring();
        try (SoakEngines engines = new SoakEngines(seed);
                RouterProcess router = new RouterProcess(Files.createTempFile(folder, "soak", ".json"))) {
            configure(router, engines);
            router.start(RouterProcess.PLATFORM_COMMAND);
            DaemonThreads.newThread("soak-discovery", () -> FakeDiscovery.serve(router.discovery))
                    .start();
            int port = router.awaitListeningPort();
            awaitReady(port);
            router.threads.execute(() -> drainLog(router));
            SoakSignals signals = new SoakSignals(router.process(), seed);
            List<Socket> crowd = hasCrowd(seed) ? openCrowd(port) : List.of();
            List<Thread> clients = startClients(port, signals);
            long peakMemoryMb = watchMemory(router.process().pid(), signals);
            for (Thread client : clients) {
                client.join();
            }
            for (Socket connection : crowd) {
                connection.close();
            }
            long slackNanos = schedulingDelay.maxMicros() * 1000;
            List<String> broken = new SoakVerdict(engines, signals.termNanos(), slackNanos).broken(exchanges);
            if (peakMemoryMb > MEMORY_LIMIT_MB) {
                broken.add("memory " + peakMemoryMb + " MB");
            }
            line.append("soak seed=" + seed + " requests=" + exchanges.size() + " crowd=" + crowd.size() + " memory_mb="
                    + peakMemoryMb + " scheduling_ms=" + slackNanos / SoakClient.NANOS_PER_MILLI + " broken="
                    + broken.size());
            return broken;
        }
    }

    private void configure(RouterProcess router, SoakEngines engines) throws IOException {
        router.replaceInConfiguration("\"classes\":[", CLASSES);
        router.replaceInConfiguration("\"resume\":true", "\"resume\":" + (seed % 2 == 0));
        router.replaceInConfiguration("\"members\":[", "\"members\":[" + engines.members() + ",");
        router.replaceInConfiguration("\"phase\":\"Ready\"}]", "\"phase\":\"Terminating\"}]");
    }

    private static void awaitReady(int port) throws IOException, InterruptedException {
        String status = "";
        for (int i = 0; i < MAX_READY_CHECKS && !status.contains(" 200 "); i++) {
            Thread.sleep(READY_CHECK_MS);
            try (Socket up = new Socket(RouterProcess.LOOPBACK, port)) {
                ServeTest.send(up, "GET /up HTTP/1.1\r\nConnection: close\r\n\r\n");
                status = ServeTest.reader(up).readLine();
            }
        }
    }

    private List<Thread> startClients(int port, SoakSignals signals) {
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            SoakClient client = new SoakClient("c" + seed + "x" + i, port, seed, signals, exchanges);
            clients.add(DaemonThreads.newThread("soak-client", client));
        }
        clients.forEach(Thread::start);
        return clients;
    }

    /** Connections that send nothing, or half of a request. */
    private static List<Socket> openCrowd(int port) {
        List<Socket> crowd = new ArrayList<>();
        try {
            for (int i = 0; i < CROWD; i++) {
                Socket connection = new Socket();
                crowd.add(connection);
                connection.connect(new InetSocketAddress(RouterProcess.LOOPBACK, port));
                if (i % 2 == 0) {
                    String half = RouterProcess.chatRequest("crowd" + i, "3000").substring(0, 60);
                    connection.getOutputStream().write(half.getBytes(StandardCharsets.US_ASCII));
                }
            }
        } catch (IOException e) {
            // The router accepts no more.
        }
        return crowd;
    }

    /** Sends the signals, and returns the peak of the process's memory until then. */
    private static long watchMemory(long pid, SoakSignals signals) throws Exception {
        long[] peakMb = new long[1];
        Thread watch = DaemonThreads.newThread("soak-memory", () -> {
            while (!signals.isKilled()) {
                peakMb[0] = Math.max(peakMb[0], SlowClientsMemoryTest.peakMemoryMb(pid));
                try {
                    Thread.sleep(100);
                } catch (InterruptedException e) {
                    return;
                }
            }
        });
        watch.start();
        signals.run();
        watch.join();
        return peakMb[0];
    }

    private static void drainLog(RouterProcess router) {
        try {
            router.awaitLogLine("\0");
        } catch (IOException | AssertionError e) {
            // The process has ended.
        }
    }

    /** Plays runs one after another, beginning with a seed; the exit status is 0 if no rule was broken. */
    public static void main(String[] args) throws Exception {
        long first = Long.parseLong(args[0]);
        int runs = args.length > 1 ? Integer.parseInt(args[1]) : 1;
        Path folder = Files.createTempDirectory("soak");
        int broken = 0;
        for (long seed = first; seed < first + runs; seed++) {
            StringBuilder line = new StringBuilder();
            List<String> found = run(seed, folder, line);
            broken += found.isEmpty() ? 0 : 1;
            System.out.println(line + (found.isEmpty() ? " ok" : " broken " + found));
        }
        System.out.println("soak runs=" + runs + " first_seed=" + first + (broken == 0 ? " ok" : " broken"));
        System.exit(broken == 0 ? 0 : 1);
    }
}
