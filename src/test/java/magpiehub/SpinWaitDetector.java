package magpiehub;

import java.io.BufferedReader;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import magpiehub.concurrent.DaemonThreads;
import magpiehub.http.HttpHead;
import magpiehub.http.HttpReader;

/**
 * Checks that no thread of a router spins while it waits for another one. The router runs as a process with the options
 * of the deploy file's {@code run}, on one core and in the scheduler's first-in-first-out class, where a thread runs
 * until it waits. At intervals, randomly chosen threads get priority over all others, which suspends the others at
 * arbitrary points, and a competing process uses part of the core. A thread that spins until another thread has acted
 * then never stops, and is detected by one second of CPU time without a wait. The result does not depend on wall-clock
 * time.
 *
 * <p>Usage: {@code SpinWaitDetector SEED [SECONDS] [spin]}; {@code spin} injects a spinning thread. The last line of
 * output ends with {@code ok} or {@code short}.
 */
public final class SpinWaitDetector {
    private static final int ENGINES = 8;
    private static final int CLIENTS = 24;
    private static final int DEFAULT_SECONDS = 30;
    private static final int SHUTDOWN_TIMEOUT_SECONDS = 30;
    private static final int MAX_SAMPLE_INTERVAL_MILLIS = 50;
    private static final int MIN_PRIORITY_MILLIS = 500;
    private static final int MAX_PRIORITY_MILLIS = 2_500;
    private static final int REPORTED_THREADS = 4;
    private static final int EXIT_NOT_ALLOWED = 2;

    private final long seed;
    private final SplittableRandom random;
    private final Path folder;
    private final String core;
    private final CpuRunTracker cpuRuns = new CpuRunTracker();
    /** Total CPU time of each thread seen, in clock ticks, by name and id. */
    private final Map<String, Long> cpuTicks = new TreeMap<>();

    private final List<ServerSocket> servers = new ArrayList<>();
    private final AtomicInteger requests = new AtomicInteger();
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger refused = new AtomicInteger();
    private final AtomicInteger unanswered = new AtomicInteger();
    private final CountDownLatch started = new CountDownLatch(1);
    private int prioritizedThreads;
    private Process router;
    private volatile int port;
    private volatile boolean finished;

    private SpinWaitDetector(long seed, Path folder) throws IOException {
        this.seed = seed;
        this.random = new SplittableRandom(seed);
        this.folder = folder;
        int cores = Runtime.getRuntime().availableProcessors();
        this.core = Integer.toString((int) (seed % cores + cores) % cores);
    }

    // ---- Peers ----------------------------------------------------------------------------------------
    private interface ConnectionHandler {
        void handle(Socket socket) throws IOException, InterruptedException;
    }

    private ServerSocket serve(ConnectionHandler handler) throws IOException {
        ServerSocket server = new ServerSocket(0, 512, InetAddress.getLoopbackAddress());
        servers.add(server);
        DaemonThreads.newThread("accept", () -> {
                    while (!server.isClosed()) {
                        try {
                            Socket socket = server.accept();
                            socket.setTcpNoDelay(true);
                            DaemonThreads.newThread("peer", () -> {
                                        try (socket) {
                                            handler.handle(socket);
                                        } catch (IOException | InterruptedException e) {
                                            // The router closed the connection.
                                        }
                                    })
                                    .start();
                        } catch (IOException e) {
                            return;
                        }
                    }
                })
                .start();
        return server;
    }

    private static void send(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    private static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    /** Answers requests as an upstream; the hash of a request's id selects those to reject or to break off. */
    private static void answerAsEngine(Socket socket) throws IOException, InterruptedException {
        HttpReader in = new HttpReader(socket.getInputStream(), () -> 0);
        while (in.awaitMessage()) {
            HttpHead head = in.readRequestHead();
            in.readBody(head);
            int scenario = head.headers().get("X-Call-Id").hashCode() & 15;
            if (scenario == 0) {
                send(socket, "HTTP/1.1 503 Service Unavailable\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n");
                continue;
            }
            send(socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            for (int i = 0; i < 6; i++) {
                TimeUnit.MILLISECONDS.sleep(10);
                send(socket, chunk("data: {\"choices\":[{\"index\":0,\"delta\":{}}]}\n\n"));
                if (scenario == 1 && i == 2) {
                    return;
                }
            }
            send(socket, chunk("data: [DONE]\n\n") + "0\r\n\r\n");
        }
    }

    private void sendLists(Socket socket, String members) throws IOException, InterruptedException {
        send(socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (int revision = 2; !finished; revision++) {
            send(socket, chunk("{\"revision\":" + revision + ",\"complete\":true,\"members\":[" + members + "]}\n"));
            TimeUnit.MILLISECONDS.sleep(300);
        }
    }

    /** Sends one or more requests on each connection; some requests are abandoned by closing the connection. */
    private void runClient(int number, SplittableRandom clientRandom) {
        for (int i = 0; !finished; i++) {
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 5_000);
                socket.setSoTimeout(20_000);
                HttpReader in = new HttpReader(socket.getInputStream(), () -> 0);
                for (int remaining = clientRandom.nextInt(1, 6); remaining > 0 && !finished; remaining--, i++) {
                    requests.incrementAndGet();
                    send(
                            socket,
                            "POST /v1/chat/completions HTTP/1.1\r\nX-Call-Id: " + number + "." + i
                                    + "\r\nX-Call-Class: chat\r\nX-Caller: acme\r\nX-Route-Hash: "
                                    + clientRandom.nextInt(64)
                                    + "\r\nX-Budget-Ms: 4000\r\nContent-Length: 2\r\n\r\n{}");
                    if (clientRandom.nextInt(12) == 0) {
                        TimeUnit.MILLISECONDS.sleep(clientRandom.nextInt(40));
                        remaining = 0; // Disconnects while its request is in flight.
                    } else if (readResponse(in)) {
                        TimeUnit.MILLISECONDS.sleep(clientRandom.nextInt(40));
                    } else {
                        remaining = 0;
                    }
                }
            } catch (IOException e) {
                unanswered.addAndGet(
                        finished || (e.getMessage() != null && e.getMessage().contains("refused")) ? 0 : 1);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    /** Reads a response and counts it; returns whether the connection can be used again. */
    private boolean readResponse(HttpReader in) throws IOException, InterruptedException {
        if (!in.awaitMessage()) {
            return false; // Closed while idle, or at shutdown, which is allowed.
        }
        HttpHead head = in.readResponseHead();
        if (head.status() == 200) {
            try {
                in.readEvents(head, e -> {});
            } catch (IOException e) {
                refused.incrementAndGet(); // The upstream broke off the stream.
                return false;
            }
            served.incrementAndGet();
        } else {
            in.readBody(head);
            refused.incrementAndGet();
        }
        return !head.closesConnection();
    }

    // ---- Router ---------------------------------------------------------------------------------------
    private void start(boolean withSpin) throws IOException {
        Path configuration = writeConfiguration();
        ProcessBuilder builder = new ProcessBuilder("sh", "-c", command(withSpin)).redirectErrorStream(true);
        builder.environment().put("ROUTER_CONFIG", configuration.toString());
        builder.environment().put("TMPDIR", folder.toString());
        builder.environment()
                .keySet()
                .removeAll(List.of("ROUTER_LISTEN", "ROUTER_NAME", "ROUTER_DISCOVERY", "ROUTER_CONSOLE", "ROUTER_FD"));
        router = builder.start();
        Runtime.getRuntime().addShutdownHook(new Thread(router::destroyForcibly));
        BufferedReader log = router.inputReader();
        DaemonThreads.newThread("log", () -> readLog(log)).start();
    }

    /** Starts the upstreams and discovery, and writes a configuration that names them. */
    private Path writeConfiguration() throws IOException {
        StringBuilder known = new StringBuilder();
        for (int i = 0; i < ENGINES; i++) {
            known.append(i == 0 ? "" : ",")
                    .append("{\"id\":\"e")
                    .append(i)
                    .append("\",\"host_port\":\"")
                    .append("127.0.0.1:")
                    .append(serve(SpinWaitDetector::answerAsEngine).getLocalPort())
                    .append("\",\"phase\":\"Ready\"}");
        }
        ServerSocket discovery = serve(socket -> sendLists(socket, known.toString()));
        Path configuration = folder.resolve("router.json");
        Files.writeString(
                configuration,
                "{\"name\":\"n\",\"listen\":\"127.0.0.1:0\",\"console\":\"127.0.0.1:0\","
                        + "\"discovery\":\"127.0.0.1:" + discovery.getLocalPort() + "\",\"seed\":\"7\",\"settings\":"
                        + Files.readString(Path.of("src/test/resources/site.json"))
                        + ",\"known\":{\"revision\":1,\"complete\":true,\"members\":[" + known + "]}}");
        return configuration;
    }

    /** The deploy file's command, changed to use one core, the first-in-first-out class and the classes under test. */
    private String command(boolean withSpin) throws IOException {
        String run = Files.readAllLines(Path.of("deploy/balancer.toml")).stream()
                .filter(line -> line.startsWith("run = "))
                .findFirst()
                .orElseThrow();
        String mainClass = withSpin ? SpinWaitMain.class.getName() : "magpiehub.Main";
        return run.substring(run.indexOf('"') + 1, run.lastIndexOf('"'))
                .replace("exec java", "exec taskset -c " + core + " chrt -f 1 java")
                .replace(
                        "-jar target/magpiehub.jar serve",
                        "-cp " + System.getProperty("java.class.path") + " " + mainClass + " serve");
    }

    private void readLog(BufferedReader log) {
        try {
            for (String line = log.readLine(); line != null; line = log.readLine()) {
                if (line.contains(" started ")) {
                    port = Integer.parseInt(line.replaceAll(".*listen=\"127.0.0.1:(\\d+)\".*", "$1"));
                    started.countDown();
                }
                if (System.getenv("PROOF_LOG") != null || !line.startsWith("<")) {
                    System.err.println(line);
                }
            }
        } catch (IOException e) {
            // The router has ended.
        }
    }

    // ---- Scheduling and sampling ----------------------------------------------------------------------
    /** Samples all threads once; describes the first one found whose CPU time without a wait is over the bound. */
    private Optional<String> findSpinningThread() throws IOException, InterruptedException {
        for (ThreadSample thread : ThreadSample.ofProcess(router.pid())) {
            cpuTicks.put(thread.name() + " " + thread.id(), thread.userTicks() + thread.systemTicks());
            long runMillis = cpuRuns.record(thread);
            if (runMillis >= 0) {
                return Optional.of(thread.name() + " (thread " + thread.id() + ") ran " + runMillis
                        + " ms of CPU without a wait\n" + stack(thread.id()));
            }
        }
        return Optional.empty();
    }

    /** The thread's stack, read from outside the process, which may not respond to a request for it. */
    private String stack(long thread) throws IOException, InterruptedException {
        stopRouter();
        Process jstack = new ProcessBuilder(
                        "timeout",
                        "20",
                        System.getProperty("java.home") + "/bin/jhsdb",
                        "jstack",
                        "--pid",
                        Long.toString(router.pid()))
                .redirectErrorStream(true)
                .start();
        String stacks = new String(jstack.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        int id = stacks.indexOf("nid=0x" + Long.toHexString(thread) + " ");
        int start = stacks.lastIndexOf("\n\"", Math.max(0, id)) + 1;
        int end = stacks.indexOf("\n\"", Math.max(start, id));
        return id < 0
                ? "no stack of a Java thread: " + stacks.substring(0, Math.min(stacks.length(), 600))
                : stacks.substring(start, end < 0 ? stacks.length() : end).stripTrailing();
    }

    /**
     * Stops the router, with its first thread allowed on all cores: a debugger that attaches waits until each thread
     * has stopped, and on one core they would wait for the spinning thread.
     */
    private void stopRouter() throws IOException, InterruptedException {
        String pid = Long.toString(router.pid());
        int lastCore = Runtime.getRuntime().availableProcessors() - 1;
        new ProcessBuilder("sh", "-c", "kill -STOP " + pid + "; taskset -pc 0-" + lastCore + " " + pid + " >/dev/null")
                .start()
                .waitFor();
    }

    /** Watches threads for some seconds; describes the first spinning one, which ends the run. */
    private Optional<String> watchThreads(int seconds) throws Exception {
        Process competitor = startCompetitor();
        try (FifoScheduling scheduling = new FifoScheduling()) {
            return watchThreads(System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds), scheduling);
        } finally {
            finished = true;
            competitor.destroyForcibly();
        }
    }

    /**
     * Starts a process of higher priority that uses the core at short intervals. Stopping the whole router instead
     * would end spin waits, since its threads are scheduled in another order when it continues.
     */
    private Process startCompetitor() throws IOException {
        Process competitor = new ProcessBuilder(
                        "taskset",
                        "-c",
                        core,
                        "chrt",
                        "-f",
                        "3",
                        "sh",
                        "-c",
                        "while :; do i=0; while [ $i -lt 9000 ]; do i=$((i+1)); done; sleep 0.01; done")
                .start();
        Runtime.getRuntime().addShutdownHook(new Thread(competitor::destroyForcibly));
        return competitor;
    }

    private Optional<String> watchThreads(long endNanos, FifoScheduling scheduling) throws Exception {
        boolean hasClients = false;
        long nextChangeNanos = 0;
        while (System.nanoTime() < endNanos) {
            if (!hasClients && started.getCount() == 0) {
                startClients();
                hasClients = true;
            }
            if (System.nanoTime() >= nextChangeNanos) {
                int priorityMillis = random.nextInt(MIN_PRIORITY_MILLIS, MAX_PRIORITY_MILLIS);
                nextChangeNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(priorityMillis);
                prioritizedThreads += scheduling.changePrioritizedThreads(ThreadSample.ofProcess(router.pid()), random);
            }
            Optional<String> spinning = findSpinningThread();
            if (spinning.isPresent()) {
                return spinning;
            }
            TimeUnit.MILLISECONDS.sleep(random.nextInt(MAX_SAMPLE_INTERVAL_MILLIS));
        }
        return Optional.empty();
    }

    private void startClients() {
        for (int i = 0; i < CLIENTS; i++) {
            int number = i;
            SplittableRandom clientRandom = random.split();
            DaemonThreads.newThread("client", () -> runClient(number, clientRandom))
                    .start();
        }
    }

    // ---- Result ---------------------------------------------------------------------------------------
    /** Runs a router for some seconds and reports; returns whether no thread spun and every request was answered. */
    private boolean run(int seconds, boolean withSpin) throws Exception {
        Optional<String> spinning;
        boolean exited;
        try {
            start(withSpin);
            spinning = watchThreads(seconds);
            router.toHandle().destroy();
            exited = spinning.isPresent() || router.waitFor(SHUTDOWN_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } finally {
            finished = true;
            router.destroyForcibly().waitFor();
            for (ServerSocket server : servers) {
                server.close();
            }
        }
        reportCpuTime();
        spinning.ifPresent(thread -> System.out.println("out of bounds: " + thread));
        boolean ok = spinning.isEmpty() && exited && served.get() > 0 && unanswered.get() == 0;
        System.out.println("proof step seed=" + seed + " requests=" + requests + " served=" + served
                + " refused=" + refused + " without_answer=" + unanswered + " ran_ahead=" + prioritizedThreads
                + " ended=" + exited + " longest_run_ms:" + longestRuns() + (ok ? " ok" : " short"));
        return ok;
    }

    private void reportCpuTime() {
        Map<String, Long> millisByName = new TreeMap<>();
        cpuTicks.forEach((nameAndId, ticks) -> millisByName.merge(
                nameAndId.substring(0, nameAndId.lastIndexOf(' ')),
                ticks * 1000 / ThreadSample.TICKS_PER_SECOND,
                Long::sum));
        long totalMillis =
                millisByName.values().stream().mapToLong(Long::longValue).sum();
        System.out.printf(
                Locale.ROOT, "cpu_ms=%d operators=%d%n", totalMillis, millisByName.getOrDefault("operators", 0L));
    }

    private String longestRuns() {
        StringBuilder text = new StringBuilder();
        cpuRuns.longestRunMillis().entrySet().stream()
                .sorted((a, b) -> Long.compare(b.getValue(), a.getValue()))
                .limit(REPORTED_THREADS)
                .forEach(run -> text.append(' ')
                        .append(run.getKey().replace(' ', '-'))
                        .append('=')
                        .append(run.getValue()));
        return text.toString();
    }

    public static void main(String[] args) throws Exception {
        long seed = Long.parseLong(args[0]);
        int seconds = args.length > 1 ? Integer.parseInt(args[1]) : DEFAULT_SECONDS;
        boolean withSpin = args.length > 2 && args[2].equals("spin");
        if (!FifoScheduling.isAllowed()) {
            System.out.println("proof step: no permission to use the scheduler's first-in-first-out class (chrt -f)");
            System.exit(EXIT_NOT_ALLOWED);
        }
        Path folder = Files.createTempDirectory("proof-step");
        boolean ok = new SpinWaitDetector(seed, folder).run(seconds, withSpin);
        System.exit(ok ? 0 : 1);
    }
}
