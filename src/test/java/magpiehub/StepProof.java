package magpiehub;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import magpiehub.concurrent.DaemonThreads;
import magpiehub.concurrent.Mailbox;
import magpiehub.concurrent.MonotonicClock;
import magpiehub.http.HttpHead;
import magpiehub.http.HttpReader;

/**
 * The proof that no thread of a router waits by looking again and again. The program runs as a process, by
 * the options of {@code run}, on one core where a thread goes on until it waits: the first-in-first-out
 * class of the scheduler, which takes no turn away. A seed lets some threads run ahead of all others for a
 * while, so that the others stand still wherever they are, and another process takes a part of each moment,
 * so that the router has a share of the core only. A thread that waits for what another one does then never
 * ends its wait, and is seen by its CPU time: a second of it without a single wait in between. It owns the
 * scheduling and the bound. It must never take a time off the wall for its verdict.
 *
 * <p>{@code StepProof SEED [SECONDS] [spin]}; {@code spin} plants such a wait. The last line says ok or
 * short.
 */
public final class StepProof {
    /** CPU time without a wait or a system call that is too much (ms). */
    private static final long MOST_MS = 1_000;
    /** A thread that spends a larger part of its time in the kernel makes system calls. */
    private static final double MOST_SYSTEM = 0.2;

    private static final int ENGINES = 8;
    private static final int SAMPLE_MS = 50;
    /** The kernel's clock ticks, which /proc counts CPU time in (Hz). */
    private static final long TICKS = 100;

    // ---- The verdict ----------------------------------------------------------------------------------
    /** What is known of one thread: CPU time since it last waited. */
    static final class Runs {
        private final Map<Long, long[]> since = new HashMap<>();
        /** The longest run without a wait, by the thread's name (ms). */
        final Map<String, Long> longest = new TreeMap<>();

        /** One look at a thread: user and system time (ticks), and how often it has waited. Returns the
         *  length of its run (ms), or -1 while that is within the bound. */
        long look(long thread, String name, long user, long system, long waits) {
            long[] s = since.get(thread);
            if (s == null || s[2] != waits) {
                since.put(thread, new long[] {user, system, waits});
                return -1;
            }
            long ms = (user - s[0]) * 1000 / TICKS;
            if (system - s[1] > MOST_SYSTEM * (user - s[0])) {
                return -1;
            }
            longest.merge(name, ms, Math::max);
            return ms >= MOST_MS ? ms : -1;
        }
    }

    /** The program with a wait of the kind that is looked for: started in place of its own main class. */
    public static final class Planted {
        private Planted() {}

        public static void main(String[] args) throws IOException {
            AtomicBoolean told = new AtomicBoolean();
            after(3_000_000, "planted-waiter", () -> {
                while (!told.get()) {
                    Thread.onSpinWait();
                }
            });
            after(3_500_000, "planted-teller", () -> told.set(true));
            Main.main(args);
        }

        private static void after(long us, String name, Runnable then) {
            DaemonThreads.newThread(name, () -> {
                        try {
                            new Mailbox<>(MonotonicClock.SYSTEM, 1).take(MonotonicClock.SYSTEM.micros() + us);
                            then.run();
                        } catch (InterruptedException e) {
                            Thread.currentThread().interrupt();
                        }
                    })
                    .start();
        }
    }

    private final SplittableRandom random;
    private final Path folder;
    private final String core;
    private final List<ServerSocket> servers = new ArrayList<>();
    private final AtomicInteger requests = new AtomicInteger();
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger refused = new AtomicInteger();
    private final AtomicInteger wrong = new AtomicInteger();
    private final CountDownLatch started = new CountDownLatch(1);
    private Process router;
    private volatile int port;
    private volatile boolean over;

    private StepProof(long seed, Path folder) throws IOException {
        this.random = new SplittableRandom(seed);
        this.folder = folder;
        int n = Runtime.getRuntime().availableProcessors();
        this.core = Integer.toString((int) (seed % n + n) % n);
    }

    // ---- Peers ----------------------------------------------------------------------------------------
    private interface Service {
        void serve(Socket s) throws IOException, InterruptedException;
    }

    private ServerSocket serve(Service service) throws IOException {
        ServerSocket server = new ServerSocket(0, 512, InetAddress.getLoopbackAddress());
        servers.add(server);
        DaemonThreads.newThread("accept", () -> {
                    while (!server.isClosed()) {
                        try {
                            Socket s = server.accept();
                            s.setTcpNoDelay(true);
                            DaemonThreads.newThread("peer", () -> {
                                        try (s) {
                                            service.serve(s);
                                        } catch (IOException | InterruptedException e) {
                                            // The router has ended its side.
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

    private static void say(Socket s, String text) throws IOException {
        s.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    private static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    /** Engines: some break a stream, some answer that they are full, as the request's id says. */
    private static void engine(Socket s) throws IOException, InterruptedException {
        HttpReader in = new HttpReader(s.getInputStream(), () -> 0);
        while (in.awaitMessage()) {
            HttpHead h = in.readRequestHead();
            in.readBody(h);
            int kind = h.headers().get("X-Call-Id").hashCode() & 15;
            if (kind == 0) {
                say(s, "HTTP/1.1 503 Service Unavailable\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n");
                continue;
            }
            say(s, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            for (int i = 0; i < 6; i++) {
                TimeUnit.MILLISECONDS.sleep(10);
                say(s, chunk("data: {\"choices\":[{\"index\":0,\"delta\":{}}]}\n\n"));
                if (kind == 1 && i == 2) {
                    return;
                }
            }
            say(s, chunk("data: [DONE]\n\n") + "0\r\n\r\n");
        }
    }

    private void list(Socket s, String members) throws IOException, InterruptedException {
        say(s, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (int revision = 2; !over; revision++) {
            say(s, chunk("{\"revision\":" + revision + ",\"complete\":true,\"members\":[" + members + "]}\n"));
            TimeUnit.MILLISECONDS.sleep(300);
        }
    }

    /** Clients: some stay, some ask once, some leave in the middle. */
    private void client(int number, SplittableRandom own) {
        for (int i = 0; !over; i++) {
            try (Socket s = new Socket()) {
                s.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 5_000);
                s.setSoTimeout(20_000);
                HttpReader in = new HttpReader(s.getInputStream(), () -> 0);
                for (int k = own.nextInt(1, 6); k > 0 && !over; k--, i++) {
                    requests.incrementAndGet();
                    say(
                            s,
                            "POST /v1/chat/completions HTTP/1.1\r\nX-Call-Id: " + number + "." + i
                                    + "\r\nX-Call-Class: chat\r\nX-Caller: acme\r\nX-Route-Hash: " + own.nextInt(64)
                                    + "\r\nX-Budget-Ms: 4000\r\nContent-Length: 2\r\n\r\n{}");
                    if (own.nextInt(12) == 0) {
                        TimeUnit.MILLISECONDS.sleep(own.nextInt(40));
                        k = 0; // Leaves with its request in hand.
                    } else if (answer(in)) {
                        TimeUnit.MILLISECONDS.sleep(own.nextInt(40));
                    } else {
                        k = 0;
                    }
                }
            } catch (IOException e) {
                wrong.addAndGet(
                        over || (e.getMessage() != null && e.getMessage().contains("refused")) ? 0 : 1);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    /** Whether the connection goes on. */
    private boolean answer(HttpReader in) throws IOException, InterruptedException {
        if (!in.awaitMessage()) {
            return false; // Closed while it was idle, or at the end: no rule is about that here.
        }
        HttpHead h = in.readResponseHead();
        if (h.status() == 200) {
            try {
                in.readEvents(h, e -> {});
            } catch (IOException e) {
                refused.incrementAndGet(); // Its engine broke it.
                return false;
            }
            served.incrementAndGet();
        } else {
            in.readBody(h);
            refused.incrementAndGet();
        }
        return !h.closesConnection();
    }

    // ---- The router -----------------------------------------------------------------------------------
    private void start(boolean planted) throws IOException {
        StringBuilder known = new StringBuilder();
        for (int i = 0; i < ENGINES; i++) {
            known.append(i == 0 ? "" : ",")
                    .append("{\"id\":\"e")
                    .append(i)
                    .append("\",\"host_port\":\"")
                    .append("127.0.0.1:")
                    .append(serve(StepProof::engine).getLocalPort())
                    .append("\",\"phase\":\"Ready\"}");
        }
        ServerSocket discovery = serve(s -> list(s, known.toString()));
        Path config = folder.resolve("router.json");
        Files.writeString(
                config,
                "{\"name\":\"n\",\"listen\":\"127.0.0.1:0\",\"console\":\"127.0.0.1:0\","
                        + "\"discovery\":\"127.0.0.1:" + discovery.getLocalPort() + "\",\"seed\":\"7\",\"settings\":"
                        + Files.readString(Path.of("src/test/resources/site.json"))
                        + ",\"known\":{\"revision\":1,\"complete\":true,\"members\":[" + known + "]}}");
        String run = Files.readAllLines(Path.of("deploy/balancer.toml")).stream()
                .filter(l -> l.startsWith("run = "))
                .findFirst()
                .orElseThrow();
        run = run.substring(run.indexOf('"') + 1, run.lastIndexOf('"'))
                .replace("exec java", "exec taskset -c " + core + " chrt -f 1 java")
                .replace(
                        "-jar target/magpiehub.jar serve",
                        "-cp " + System.getProperty("java.class.path")
                                + " " + (planted ? Planted.class.getName().replace("$", "\\$") : "magpiehub.Main")
                                + " serve");
        ProcessBuilder b = new ProcessBuilder("sh", "-c", run).redirectErrorStream(true);
        b.environment().put("ROUTER_CONFIG", config.toString());
        b.environment().put("TMPDIR", folder.toString());
        b.environment()
                .keySet()
                .removeAll(List.of("ROUTER_LISTEN", "ROUTER_NAME", "ROUTER_DISCOVERY", "ROUTER_CONSOLE", "ROUTER_FD"));
        router = b.start();
        Runtime.getRuntime().addShutdownHook(new Thread(router::destroyForcibly));
        BufferedReader log = router.inputReader();
        DaemonThreads.newThread("log", () -> {
                    try {
                        for (String l = log.readLine(); l != null; l = log.readLine()) {
                            if (l.contains(" started ")) {
                                port = Integer.parseInt(l.replaceAll(".*listen=\"127.0.0.1:(\\d+)\".*", "$1"));
                                started.countDown();
                            }
                            if (System.getenv("PROOF_LOG") != null || !l.startsWith("<")) {
                                System.err.println(l);
                            }
                        }
                    } catch (IOException e) {
                        // Its end.
                    }
                })
                .start();
    }

    // ---- Scheduling and sampling ----------------------------------------------------------------------
    /** A shell that carries out a command a line: a process for each would itself disturb what is shown. */
    private static final class Shell implements AutoCloseable {
        private final Process sh;
        private final OutputStream to;

        Shell() throws IOException {
            sh = new ProcessBuilder("sh")
                    .redirectErrorStream(true)
                    .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                    .start();
            to = sh.getOutputStream();
        }

        void say(String line) throws IOException {
            to.write((line + "\n").getBytes(StandardCharsets.US_ASCII));
            to.flush();
        }

        @Override
        public void close() throws IOException {
            to.close();
            sh.destroyForcibly();
        }
    }

    /** A thread as /proc tells it; times in ticks. */
    record Seen(long thread, String name, long user, long system, long waits) {}

    static List<Seen> seen(long pid) throws IOException {
        List<Seen> all = new ArrayList<>();
        List<Path> tasks;
        try (var l = Files.list(Path.of("/proc/" + pid + "/task"))) {
            tasks = l.sorted().toList();
        }
        for (Path t : tasks) {
            try {
                String stat = Files.readString(t.resolve("stat"));
                long waits = Files.readAllLines(t.resolve("status")).stream()
                        .filter(l -> l.startsWith("voluntary"))
                        .mapToLong(l -> Long.parseLong(l.replaceAll("\\D", "")))
                        .findFirst()
                        .orElse(0);
                String[] f = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
                all.add(new Seen(
                        Long.parseLong(t.getFileName().toString()),
                        stat.substring(stat.indexOf('(') + 1, stat.lastIndexOf(')')),
                        Long.parseLong(f[11]),
                        Long.parseLong(f[12]),
                        waits));
            } catch (IOException | java.io.UncheckedIOException e) {
                // The thread has ended meanwhile.
            }
        }
        return all;
    }

    /** One look at all threads; a thread's run that is over the bound, or null. */
    private String look(Runs runs, Map<String, long[]> cpu) throws IOException, InterruptedException {
        for (Seen t : seen(router.pid())) {
            cpu.put(t.name + " " + t.thread, new long[] {t.user, t.system});
            long ms = runs.look(t.thread, t.name, t.user, t.system, t.waits);
            if (ms >= 0) {
                return t.name + " (thread " + t.thread + ") ran " + ms + " ms of CPU without a wait\n"
                        + stack(t.thread);
            }
        }
        return null;
    }

    /** The thread's stack, read from outside: the process is not asked, since it may not answer. */
    private String stack(long thread) throws IOException, InterruptedException {
        // Stopped first, by its first thread on another core: whoever attaches waits for each thread to stop,
        // and those would wait for the one that runs.
        String pid = Long.toString(router.pid());
        new ProcessBuilder(
                        "sh",
                        "-c",
                        "kill -STOP " + pid + "; taskset -pc 0-"
                                + (Runtime.getRuntime().availableProcessors() - 1) + " " + pid + " >/dev/null")
                .start()
                .waitFor();
        Process p = new ProcessBuilder(
                        "timeout", "20", System.getProperty("java.home") + "/bin/jhsdb", "jstack", "--pid", pid)
                .redirectErrorStream(true)
                .start();
        String all = new String(p.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        int id = all.indexOf("nid=0x" + Long.toHexString(thread) + " ");
        int at = all.lastIndexOf("\n\"", Math.max(0, id)) + 1;
        int end = all.indexOf("\n\"", Math.max(at, id));
        return id < 0
                ? "no stack of a Java thread: " + all.substring(0, Math.min(all.length(), 600))
                : all.substring(at, end < 0 ? all.length() : end).stripTrailing();
    }

    /** Plays for some seconds; returns what was found, or null. */
    private String play(int seconds, Runs runs, Map<String, long[]> cpu, int[] turns) throws Exception {
        // A share of the core: another process, which goes first, has it for a part of each moment. A stop of
        // the whole process would end a wait of the kind looked for, since what goes on after it is put in
        // another order.
        Process other = new ProcessBuilder(
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
        Runtime.getRuntime().addShutdownHook(new Thread(other::destroyForcibly));
        try (Shell threads = new Shell()) {
            List<Thread> clients = new ArrayList<>();
            long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
            List<Long> ahead = new ArrayList<>();
            long next = 0;
            while (System.nanoTime() < until) {
                if (clients.isEmpty() && started.getCount() == 0) {
                    for (int i = 0; i < 24; i++) {
                        int number = i;
                        SplittableRandom own = random.split();
                        clients.add(DaemonThreads.newThread("client", () -> client(number, own)));
                        clients.get(i).start();
                    }
                }
                if (System.nanoTime() >= next) {
                    next = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(random.nextInt(500, 2_500));
                    StringBuilder change = new StringBuilder();
                    ahead.forEach(t -> change.append("chrt -f -p 1 ").append(t).append(';'));
                    ahead.clear();
                    List<Seen> all = seen(router.pid());
                    for (int i = random.nextInt(4); i > 0 && !all.isEmpty(); i--) {
                        ahead.add(all.get(random.nextInt(all.size())).thread);
                    }
                    ahead.forEach(t -> change.append("chrt -f -p 2 ").append(t).append(';'));
                    threads.say(change.append(':').toString());
                    turns[0] += ahead.size();
                }
                String found = look(runs, cpu);
                if (found != null) {
                    return found;
                }
                TimeUnit.MILLISECONDS.sleep(random.nextInt(SAMPLE_MS));
            }
        } finally {
            over = true;
            other.destroyForcibly();
        }
        return null;
    }

    static boolean allowed() throws Exception {
        return new ProcessBuilder("chrt", "-f", "1", "true")
                        .redirectErrorStream(true)
                        .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                        .start()
                        .waitFor()
                == 0;
    }

    public static void main(String[] args) throws Exception {
        long seed = Long.parseLong(args[0]);
        int seconds = args.length > 1 ? Integer.parseInt(args[1]) : 30;
        boolean planted = args.length > 2 && args[2].equals("spin");
        if (!allowed()) {
            System.out.println("proof step: no right to the scheduler's first-in-first-out class (chrt -f)");
            System.exit(2);
        }
        Path folder = Files.createTempDirectory("proof-step");
        StepProof p = new StepProof(seed, folder);
        Runs runs = new Runs();
        Map<String, long[]> cpu = new TreeMap<>();
        int[] turns = {0};
        String found;
        boolean ended;
        try {
            p.start(planted);
            found = p.play(seconds, runs, cpu, turns);
            p.router.toHandle().destroy();
            ended = found != null || p.router.waitFor(30, TimeUnit.SECONDS);
        } finally {
            p.over = true;
            p.router.destroyForcibly().waitFor();
            for (ServerSocket s : p.servers) {
                s.close();
            }
        }
        Map<String, Long> byName = new TreeMap<>();
        cpu.forEach(
                (k, v) -> byName.merge(k.substring(0, k.lastIndexOf(' ')), (v[0] + v[1]) * 1000 / TICKS, Long::sum));
        StringBuilder line = new StringBuilder();
        runs.longest.entrySet().stream()
                .sorted((a, b) -> Long.compare(b.getValue(), a.getValue()))
                .limit(4)
                .forEach(e -> line.append(' ')
                        .append(e.getKey().replace(' ', '-'))
                        .append('=')
                        .append(e.getValue()));
        long all = byName.values().stream().mapToLong(Long::longValue).sum();
        System.out.printf(Locale.ROOT, "cpu_ms=%d operators=%d%n", all, byName.getOrDefault("operators", 0L));
        if (found != null) {
            System.out.println("out of bounds: " + found);
        }
        boolean ok = found == null && ended && p.served.get() > 0 && p.wrong.get() == 0;
        System.out.println("proof step seed=" + seed + " requests=" + p.requests + " served=" + p.served
                + " refused=" + p.refused + " without_answer=" + p.wrong + " ran_ahead=" + turns[0]
                + " ended=" + ended + " longest_run_ms:" + line + (ok ? " ok" : " short"));
        System.exit(ok ? 0 : 1);
    }
}
