package magpiehub.streaming;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.BufferedReader;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import magpiehub.concurrent.DaemonThreads;
import magpiehub.http.HttpHead;
import magpiehub.http.HttpReader;
import magpiehub.http.HttpWriter;
import magpiehub.http.Sockets;

/**
 * The proof of troubled streams: the program as a process with the platform's heap, scripted engines and
 * clients on loopback, hundreds of streams at once, and troubles that a seed chooses. It owns the bounds.
 * Each engine writes numbered events, so that what a client got is held against what was sent, to the byte.
 *
 * <p>{@code StreamsProof SEED [HEALTHY TROUBLED]}; the last line says ok or short.
 */
public final class StreamsProof {
    /** What goes wrong with a stream, told to its engine by the request's id. */
    enum Trouble {
        NONE,
        PAUSES,
        BYTE_A_SECOND,
        STOPS_READING,
        LEAVES,
        RESETS,
        BEFORE_TOKEN,
        BEFORE_USAGE,
        BEFORE_DONE,
        BEFORE_LAST_CHUNK,
        DRIBBLES,
        COMMENTS,
        BREAKS,
        LARGE
    }

    private static final int EVENT_MS = 50;
    private static final int EVENTS = 80;
    private static final int ENGINES = 24;
    private static final long HOLD_MS = 2_500;
    private static final long PAUSE_MS = 4_000;

    private final SplittableRandom random;
    private final List<ServerSocket> engines = new ArrayList<>();
    private final Map<String, Long> leftAt = new ConcurrentHashMap<>();
    private final ConcurrentLinkedQueue<Long> closing = new ConcurrentLinkedQueue<>();
    private final AtomicInteger wrong = new AtomicInteger();
    private final AtomicInteger whole = new AtomicInteger();
    private final AtomicInteger cutOff = new AtomicInteger();
    private final AtomicInteger refused = new AtomicInteger();
    private final AtomicInteger streams = new AtomicInteger();
    private final AtomicInteger underWay = new AtomicInteger();
    private final AtomicInteger atOnce = new AtomicInteger();
    /** The longest that this machine has kept a thread waiting beyond what it asked for (us). */
    private volatile long late;

    private Process router;
    private final CountDownLatch logged = new CountDownLatch(1);
    private volatile String lastCounters = "";
    private int port;

    private StreamsProof(long seed) {
        random = new SplittableRandom(seed);
    }

    // ---- Engines --------------------------------------------------------------------------------------
    private static byte[] event(int number, int size) {
        String s = "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"" + number + "." + "x".repeat(size)
                + "\"},\"finish_reason\":null}]}\n\n";
        return s.getBytes(StandardCharsets.UTF_8);
    }

    private static final byte[] FINISH = ("data: {"
                    + "\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}]}\n\n")
            .getBytes(StandardCharsets.UTF_8);
    private static final byte[] USAGE = ("data: {"
                    + "\"choices\":[],\"usage\":{\"prompt_tokens\":5,\"completion_tokens\":9}}\n\n")
            .getBytes(StandardCharsets.UTF_8);
    private static final byte[] DONE = "data: [DONE]\n\n".getBytes(StandardCharsets.UTF_8);

    /** All events of a trouble's whole stream. */
    private static List<byte[]> events(Trouble t) {
        List<byte[]> all = new ArrayList<>();
        int n =
                switch (t) {
                    case LARGE -> 20;
                    case PAUSES, BYTE_A_SECOND, STOPS_READING -> 12;
                    case NONE -> EVENTS;
                    default -> 10;
                };
        int size =
                switch (t) {
                    case LARGE -> 100_000;
                    case PAUSES -> 15_000;
                    case BYTE_A_SECOND, STOPS_READING -> 60_000;
                    default -> 40;
                };
        for (int i = 0; i < n; i++) {
            all.add(event(i, size));
        }
        all.addAll(List.of(FINISH, USAGE, DONE));
        return all;
    }

    private static void chunk(OutputStream out, byte[] b) throws IOException {
        out.write(new HttpWriter().appendChunk(b).take());
    }

    private void engine(ServerSocket server) {
        while (!server.isClosed()) {
            try {
                Socket s = server.accept();
                s.setTcpNoDelay(true);
                DaemonThreads.newThread("engine", () -> serve(s)).start();
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket s) {
        String id = "";
        try (s) {
            HttpReader in = new HttpReader(s.getInputStream(), () -> 0);
            while (in.awaitMessage()) {
                HttpHead h = in.readRequestHead();
                in.readBody(h);
                id = h.headers().get("X-Call-Id");
                Trouble t = Trouble.valueOf(id.substring(id.indexOf('-') + 1));
                OutputStream out = s.getOutputStream();
                out.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes(UTF_8));
                if (!tell(t, out)) {
                    // Nothing more from here: what remains is to see the router's end of it.
                    int b = s.getInputStream().read();
                    throw new IOException("after silence " + b);
                }
                out.write("0\r\n\r\n".getBytes(UTF_8));
            }
        } catch (IOException | InterruptedException e) {
            Long left = leftAt.remove(id);
            if (left != null) {
                closing.add((System.nanoTime() - left) / 1000);
            }
        }
    }

    /** Whether the stream is to be ended in order. */
    private static boolean tell(Trouble t, OutputStream out) throws IOException, InterruptedException {
        List<byte[]> all = events(t);
        int n = all.size();
        int most =
                switch (t) {
                    case BEFORE_TOKEN, LEAVES, RESETS, DRIBBLES, COMMENTS, BREAKS -> n - 4;
                    case BEFORE_USAGE -> n - 2;
                    case BEFORE_DONE -> n - 1;
                    default -> n;
                };
        for (int i = 0; i < most; i++) {
            chunk(out, all.get(i));
            if (t != Trouble.LARGE) {
                TimeUnit.MILLISECONDS.sleep(EVENT_MS);
            }
        }
        switch (t) {
            case DRIBBLES -> {
                out.write("40\r\n".getBytes(UTF_8));
                for (int i = 0; i < 30; i++) {
                    out.write("data: dribble dribble dribble drib".charAt(i));
                    TimeUnit.MILLISECONDS.sleep(200);
                }
            }
            case COMMENTS -> {
                for (int i = 0; i < 40; i++) {
                    chunk(out, ": still here\n\n".getBytes(UTF_8));
                    TimeUnit.MILLISECONDS.sleep(200);
                }
            }
            case BREAKS -> throw new IOException("breaks");
            default -> {}
        }
        return most == n && t != Trouble.BEFORE_LAST_CHUNK;
    }

    // ---- Clients --------------------------------------------------------------------------------------
    private void client(String id, Trouble t, ConcurrentLinkedQueue<Long> gaps) {
        try (Socket s = new Socket()) {
            if (t != Trouble.NONE) {
                s.setReceiveBufferSize(8 * 1024);
            }
            s.setTcpNoDelay(true);
            s.connect(new java.net.InetSocketAddress(InetAddress.getByName("127.0.0.1"), port));
            s.setSoTimeout(30_000);
            s.getOutputStream()
                    .write(("POST /v1/chat/completions HTTP/1.1\r\nX-Call-Id: " + id
                                    + "\r\nX-Call-Class: chat\r\nX-Route-Hash: " + Integer.toHexString(id.hashCode())
                                    + "\r\nX-Budget-Ms: 8000\r\nContent-Length: 2\r\n\r\n{}")
                            .getBytes(UTF_8));
            HttpReader in = new HttpReader(s.getInputStream(), () -> System.nanoTime() / 1000);
            if (!in.awaitMessage()) {
                cutOff.incrementAndGet();
                return;
            }
            HttpHead h = in.readResponseHead();
            if (h.status() != 200) {
                refused.incrementAndGet();
                return;
            }
            streams.incrementAndGet();
            atOnce.accumulateAndGet(underWay.incrementAndGet(), Math::max);
            try {
                read(s, in, h, id, t, gaps);
            } finally {
                underWay.decrementAndGet();
            }
        } catch (IOException | InterruptedException e) {
            cutOff.incrementAndGet();
        }
    }

    /** Thrown where a client has had enough. */
    private static final class Enough extends IOException {
        private static final long serialVersionUID = 1L;
    }

    private void read(Socket s, HttpReader in, HttpHead h, String id, Trouble t, ConcurrentLinkedQueue<Long> gaps)
            throws IOException, InterruptedException {
        if (t == Trouble.STOPS_READING || t == Trouble.BYTE_A_SECOND) {
            InputStream raw = s.getInputStream();
            for (int i = 0; i < 7; i++) {
                TimeUnit.MILLISECONDS.sleep(1000);
                if (t == Trouble.BYTE_A_SECOND) {
                    raw.read();
                }
            }
            cutOff.incrementAndGet();
            return;
        }
        if (t == Trouble.PAUSES) {
            TimeUnit.MILLISECONDS.sleep(PAUSE_MS / 2);
        }
        ByteArrayOutputStream got = new ByteArrayOutputStream();
        long[] last = {0};
        int[] n = {0};
        try {
            in.readEvents(h, e -> {
                long now = System.nanoTime();
                if (gaps != null && last[0] != 0) {
                    gaps.add((now - last[0]) / 1000);
                }
                last[0] = now;
                got.writeBytes(e);
                if (++n[0] == 5 && (t == Trouble.LEAVES || t == Trouble.RESETS)) {
                    throw new Enough();
                }
            });
        } catch (Enough e) {
            // The engine has written all that it will by now, and says nothing more.
            TimeUnit.MILLISECONDS.sleep(10L * EVENT_MS);
            leftAt.put(id, System.nanoTime());
            if (t == Trouble.RESETS) {
                s.setSoLinger(true, 0);
            }
            s.close();
            return;
        } catch (IOException e) {
            cutOff.incrementAndGet();
            check(got.toByteArray(), t, false);
            return;
        }
        whole.incrementAndGet();
        check(got.toByteArray(), t, true);
    }

    /** What came is what was sent: all of it where the answer was said to be whole, else its beginning. */
    private void check(byte[] got, Trouble t, boolean all) {
        ByteArrayOutputStream sent = new ByteArrayOutputStream();
        events(t).forEach(sent::writeBytes);
        byte[] s = sent.toByteArray();
        byte[] same = got;
        if (t == Trouble.COMMENTS) {
            same = new String(got, StandardCharsets.UTF_8)
                    .replace(": still here\n\n", "")
                    .getBytes(StandardCharsets.UTF_8);
        }
        boolean good = same.length <= s.length
                && Arrays.equals(same, 0, same.length, s, 0, same.length)
                && (!all || same.length == s.length);
        boolean mayBeWhole = t == Trouble.NONE || t == Trouble.PAUSES || t == Trouble.LARGE;
        if (!good || (all && !mayBeWhole)) {
            wrong.incrementAndGet();
        }
    }

    // ---- The router -----------------------------------------------------------------------------------
    private void start(Path folder) throws IOException {
        StringBuilder known = new StringBuilder();
        for (int i = 0; i < ENGINES; i++) {
            ServerSocket s = new ServerSocket(0, 512, InetAddress.getByName("127.0.0.1"));
            engines.add(s);
            DaemonThreads.newThread("accept", () -> engine(s)).start();
            known.append(i == 0 ? "" : ",")
                    .append("{\"id\":\"e")
                    .append(i)
                    .append("\",\"host_port\":\"127.0.0.1:")
                    .append(s.getLocalPort())
                    .append("\",\"phase\":\"Ready\"}");
        }
        ServerSocket discovery = new ServerSocket(0, 8, InetAddress.getByName("127.0.0.1"));
        engines.add(discovery);
        String site = "{\"instances\":1,\"me\":0,\"myZone\":0,\"zones\":[\"a\"],\"machineTypes\":[\"m\"],"
                + "\"membershipMode\":\"subscribe\",\"familyInfo\":{\"resume\":false},\"classes\":[{\"name\":"
                + "\"chat\",\"aimMs\":4000,"
                + "\"deadlineMs\":8000,\"effect\":\"pure\",\"gain\":1,\"stream\":true}],"
                + "\"limits\":{\"mostTries\":2,\"cancel\":true,\"retryAfter\":true,\"connectTimeoutMs\":2000,"
                + "\"idleCloseMs\":30000,\"mostHeld\":2000},\"guarantees\":{\"answerSlackMs\":50,"
                + "\"askWithinMs\":10000,\"coldMs\":0}}";
        Path config = folder.resolve("router.json");
        Files.writeString(
                config,
                "{\"name\":\"n\",\"listen\":\"127.0.0.1:0\",\"discovery\":\"127.0.0.1:"
                        + discovery.getLocalPort() + "\",\"seed\":\"7\",\"limits\":{\"sockets\":2048},"
                        + "\"settings\":" + site
                        + ",\"known\":{\"revision\":1,\"complete\":true,\"members\":[" + known + "]}}");
        Files.createDirectories(folder.resolve("deploy"));
        Files.writeString(
                folder.resolve("deploy/streams.json"),
                "{\"budget_kb\":12000,\"buffer_kb\":1024,"
                        + "\"pause_ms\":" + PAUSE_MS + ",\"hold_ms\":" + HOLD_MS + ",\"silence_ms\":" + HOLD_MS
                        + ",\"comments_ms\":5000,\"send_buffer_kb\":32}");
        List<String> command = new ArrayList<>(List.of(
                ProcessHandle.current().info().command().orElse("java"),
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-Xms64m",
                "-Xmx64m",
                "-Xmn24m",
                "-XX:MaxMetaspaceSize=32m",
                "-XX:ReservedCodeCacheSize=16m",
                "-Djdk.nio.maxCachedBufferSize=16384",
                "-cp",
                Arrays.stream(System.getProperty("java.class.path").split(java.io.File.pathSeparator))
                        .map(e -> Path.of(e).toAbsolutePath().toString())
                        .collect(java.util.stream.Collectors.joining(java.io.File.pathSeparator)),
                "magpiehub.Main",
                "serve"));
        ProcessBuilder b =
                new ProcessBuilder(command).directory(folder.toFile()).redirectErrorStream(true);
        b.environment().put("ROUTER_CONFIG", config.toString());
        b.environment().keySet().removeAll(List.of("ROUTER_LISTEN", "ROUTER_NAME"));
        b.environment().put("MALLOC_ARENA_MAX", "2");
        b.environment().put("ROUTER_DISCOVERY", "127.0.0.1:" + discovery.getLocalPort());
        router = b.start();
        // A proof that is stopped from outside leaves no router behind.
        Runtime.getRuntime().addShutdownHook(new Thread(router::destroyForcibly));
        DaemonThreads.newThread("discovery", () -> {
                    try {
                        while (true) {
                            Socket s = discovery.accept();
                            s.getOutputStream()
                                    .write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes(UTF_8));
                            DaemonThreads.newThread("watch", () -> {
                                        try {
                                            while (true) {
                                                s.getOutputStream().write("1\r\n\n\r\n".getBytes(UTF_8));
                                                TimeUnit.SECONDS.sleep(1);
                                            }
                                        } catch (IOException | InterruptedException e) {
                                            Sockets.closeQuietly(s);
                                        }
                                    })
                                    .start();
                        }
                    } catch (IOException e) {
                        // The proof is over.
                    }
                })
                .start();
        BufferedReader log = router.inputReader();
        CountDownLatch started = new CountDownLatch(1);
        DaemonThreads.newThread("log", () -> {
                    try {
                        for (String l = log.readLine(); l != null; l = log.readLine()) {
                            if (l.contains(" started ")) {
                                port = Integer.parseInt(l.replaceAll(".*listen=\"127.0.0.1:(\\d+)\".*", "$1"));
                                started.countDown();
                            }
                            if (l.contains(" counters ")) {
                                lastCounters = l;
                            }
                            if (System.getenv("PROOF_LOG") != null) {
                                System.err.println(l);
                            }
                        }
                    } catch (IOException e) {
                        // Its end.
                    } finally {
                        logged.countDown();
                    }
                })
                .start();
        try {
            if (!started.await(20, TimeUnit.SECONDS)) {
                throw new IOException("the router did not start");
            }
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }

    private long memoryKb() throws IOException {
        for (String l : Files.readAllLines(Path.of("/proc/" + router.pid() + "/status"))) {
            if (l.startsWith("VmHWM:")) {
                return Long.parseLong(l.replaceAll("\\D", ""));
            }
        }
        return 0;
    }

    private Map<String, Long> counters() throws IOException {
        try (Socket s = new Socket("127.0.0.1", port)) {
            s.setSoTimeout(10_000);
            s.getOutputStream().write("GET /counters HTTP/1.1\r\nConnection: close\r\n\r\n".getBytes(UTF_8));
            String text = new String(s.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            Map<String, Long> m = new TreeMap<>();
            for (String l : text.substring(text.indexOf("\r\n\r\n") + 4).split("\n")) {
                String[] p = l.split(" ");
                if (p.length == 2) {
                    m.put(p[0], Long.parseLong(p[1]));
                }
            }
            return m;
        }
    }

    /** So many healthy streams beside so many troubled ones; returns the healthy ones' gaps (us). */
    private long[] play(String name, int healthy, int troubled, Trouble... only) throws InterruptedException {
        ConcurrentLinkedQueue<Long> gaps = new ConcurrentLinkedQueue<>();
        Trouble[] kinds = Trouble.values();
        List<Thread> all = new ArrayList<>();
        for (int i = 0; i < healthy + troubled; i++) {
            // Each trouble comes at least once; what more there is of them, the seed says.
            Trouble t = i < healthy
                    ? Trouble.NONE
                    : only.length > 0
                            ? only[0]
                            : i - healthy < kinds.length - 1
                                    ? kinds[1 + i - healthy]
                                    : kinds[1 + random.nextInt(kinds.length - 1)];
            String id = name + i + "-" + t;
            Thread c = DaemonThreads.newThread("client", () -> client(id, t, t == Trouble.NONE ? gaps : null));
            all.add(c);
        }
        java.util.Collections.shuffle(all, new java.util.Random(random.nextLong()));
        for (Thread c : all) {
            c.start();
            TimeUnit.MICROSECONDS.sleep(1500);
        }
        for (Thread c : all) {
            c.join();
        }
        return gaps.stream().mapToLong(Long::longValue).sorted().toArray();
    }

    /** SIGTERM in the middle of all troubles; returns the endings that the router counted by its end. */
    private long stopped(int healthy, int troubled) throws InterruptedException {
        Thread t = DaemonThreads.newThread("last", () -> {
            try {
                play("t", healthy, troubled);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        t.start();
        TimeUnit.MILLISECONDS.sleep(700 + random.nextInt(1500));
        router.toHandle().destroy();
        boolean over = router.waitFor(15, TimeUnit.SECONDS);
        t.join();
        logged.await(5, TimeUnit.SECONDS);
        long sum = 0;
        for (StreamOutcomes.Ending e : StreamOutcomes.Ending.values()) {
            java.util.regex.Matcher m = java.util.regex.Pattern.compile(" " + e.counter() + "=\"(\\d+)\"")
                    .matcher(lastCounters);
            sum += m.find() ? Long.parseLong(m.group(1)) : 0;
        }
        return over ? sum : -1;
    }

    private static long at(long[] sorted, double part) {
        return sorted.length == 0 ? 0 : sorted[(int) Math.min(sorted.length - 1, part * sorted.length)];
    }

    /** What is measured here is measured by threads that wait for a core themselves: a bound on time holds
     *  beyond the longest that one had to wait. On a machine with cores to spare that is a millisecond. */
    private void measureLateness() {
        Thread t = DaemonThreads.newThread("lateness", () -> {
            try {
                while (true) {
                    long begun = System.nanoTime();
                    TimeUnit.MILLISECONDS.sleep(1);
                    late = Math.max(late, (System.nanoTime() - begun) / 1000 - 1000);
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        t.setDaemon(true);
        t.start();
    }

    /** Runs the proof; returns its line, and whether every bound held. */
    static boolean run(long seed, int healthy, int troubled, StringBuilder line) throws Exception {
        Path folder = Files.createTempDirectory("proof-streams");
        StreamsProof p = new StreamsProof(seed);
        List<String> bad = new ArrayList<>();
        try {
            p.measureLateness();
            p.start(folder);
            p.play("w", Math.min(20, healthy), 0); // Compiled before anything is measured.
            long[] alone = p.play("a", healthy, 0);
            long memoryAlone = p.memoryKb();
            long[] beside = p.play("b", healthy, troubled);
            int early = p.refused.get();
            // Hundreds stop reading at once: what the budget has no room for then is refused.
            long[] crowd = p.play("s", Math.min(60, healthy), troubled, Trouble.STOPS_READING);
            Map<String, Long> c = p.counters();
            for (int i = 0; i < 100 && c.getOrDefault("streams_open", 0L) > 0; i++) {
                TimeUnit.MILLISECONDS.sleep(100);
                c = p.counters();
            }
            long memory = p.memoryKb();
            int before = p.streams.get();
            long stopped = p.stopped(healthy / 4, troubled / 4);
            long endings = 0;
            StringBuilder by = new StringBuilder();
            for (StreamOutcomes.Ending e : StreamOutcomes.Ending.values()) {
                long n = c.getOrDefault(e.counter(), 0L);
                endings += n;
                by.append(n == 0 ? "" : " " + e.name().toLowerCase(java.util.Locale.ROOT) + "=" + n);
            }
            long twice = c.getOrDefault("streams_ended_twice", 0L);
            long none = c.getOrDefault("streams_open", 0L);
            long[] closing =
                    p.closing.stream().mapToLong(Long::longValue).sorted().toArray();
            double ratio = (double) at(beside, 0.99) / Math.max(1, at(alone, 0.99));
            line.append("proof streams seed=")
                    .append(seed)
                    .append(" requests=")
                    .append(p.streams.get() + p.refused.get())
                    .append(" at_once=")
                    .append(p.atOnce)
                    .append(" refused=")
                    .append(p.refused)
                    .append(by)
                    .append(" without_ending=")
                    .append(none)
                    .append(" two_endings=")
                    .append(twice)
                    .append(" bytes_wrong=")
                    .append(p.wrong)
                    .append(" held_most_kb=")
                    .append(c.getOrDefault("streams_bytes_held_most", 0L) / 1024)
                    .append(" memory_mb=")
                    .append(memoryAlone / 1024)
                    .append('/')
                    .append(memory / 1024)
                    .append(" reader_end_to_engine_us=")
                    .append(at(closing, 0.5))
                    .append('/')
                    .append(at(closing, 0.99))
                    .append(" ends=")
                    .append(closing.length)
                    .append(" gap_p99_us=")
                    .append(at(alone, 0.99))
                    .append('/')
                    .append(at(beside, 0.99))
                    .append(String.format(
                            java.util.Locale.ROOT,
                            " gap_ratio=%.3f/%.3f",
                            ratio,
                            (double) at(crowd, 0.99) / Math.max(1, at(alone, 0.99))));
            check(bad, none == 0 && twice == 0, "endings");
            check(bad, p.wrong.get() == 0, "bytes");
            check(bad, c.getOrDefault("streams_fault", 0L) == 0, "faults");
            check(bad, endings == before, "endings=" + endings + " streams=" + before);
            check(bad, stopped == p.streams.get(), "endings at SIGTERM=" + stopped + " of " + p.streams.get());
            check(bad, healthy + troubled < 400 || p.atOnce.get() >= 400, "streams at once");
            check(bad, early == 0, "refused before the crowd");
            check(
                    bad,
                    closing.length > 0 && at(closing, 0.99) < 100_000 + p.late,
                    "reader's end " + at(closing, 0.99) + " us, late " + p.late);
            check(
                    bad,
                    healthy < 50 || (ratio <= 1.2 && at(crowd, 0.99) <= 1.2 * at(alone, 0.99)),
                    "gap of healthy streams");
        } finally {
            for (ServerSocket s : p.engines) {
                s.close();
            }
            if (p.router != null) {
                p.router.destroyForcibly().waitFor();
            }
        }
        if (!bad.isEmpty()) {
            System.out.println("out of bounds: " + String.join(", ", bad));
        }
        return bad.isEmpty();
    }

    private static void check(List<String> bad, boolean holds, String what) {
        if (!holds) {
            bad.add(what);
        }
    }

    public static void main(String[] args) throws Exception {
        StringBuilder line = new StringBuilder();
        boolean ok = run(
                Long.parseLong(args[0]),
                args.length > 1 ? Integer.parseInt(args[1]) : 220,
                args.length > 2 ? Integer.parseInt(args[2]) : 300,
                line);
        System.out.println(line + (ok ? " ok" : " short"));
        System.exit(ok ? 0 : 1);
    }
}
