package magpiehub;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Pattern;
import magpiehub.concurrent.ActorThreadPool;
import magpiehub.concurrent.DaemonThreads;
import magpiehub.concurrent.MonotonicClock;
import magpiehub.config.ConfigurationObject;
import magpiehub.config.SiteSettings;
import magpiehub.config.SiteSettingsParser;
import magpiehub.discovery.platform.PlatformDiscovery;
import magpiehub.dispatch.RequestDispatcher;
import magpiehub.downstream.ClientListener;
import magpiehub.downstream.ListenerSocket;
import magpiehub.protocol.MessagesProtocol;
import magpiehub.protocol.MessagesSettings;
import magpiehub.protocol.PlatformProtocol;
import magpiehub.protocol.ProtocolAdapter;
import magpiehub.streaming.FlowController;
import magpiehub.streaming.StreamLimitsReader;
import magpiehub.telemetry.SyslogEventLog;
import magpiehub.upstream.UpstreamPool;

/**
 * Plays a recorded exchange against the program on loopback sockets: the clients, engines and discovery of a
 * text file, with a clock that moves only when the file says so. It owns the file's form, which
 * src/test/resources/exchanges/README.md describes. It must never wait for time to pass.
 */
final class Player implements AutoCloseable {
    private static final int PATIENCE_MS = 60_000;

    /** Goes forward only when told; whoever waits for it looks again every little while. */
    static final class DrivenClock implements MonotonicClock {
        final AtomicLong now = new AtomicLong(1_000_000_000_000L);

        @Override
        public long micros() {
            return now.get();
        }

        @Override
        @SuppressWarnings("WaitNotInLoop") // Callers look at the clock again in a loop.
        public void await(Object monitor, long until) throws InterruptedException {
            monitor.wait(1);
        }
    }

    /** One party of the exchange, with the connection it speaks on now. */
    private static final class Peer {
        ServerSocket server;
        Socket socket;
        final ByteArrayOutputStream toSend = new ByteArrayOutputStream();
        byte[] body = {};
        CompletableFuture<String> begun;
        CompletableFuture<String> outcome;

        void use(Socket s) throws IOException {
            s.setSoTimeout(PATIENCE_MS);
            s.setTcpNoDelay(true);
            socket = s;
        }

        int read() throws IOException {
            return socket.getInputStream().read();
        }

        String line() throws IOException {
            ByteArrayOutputStream b = new ByteArrayOutputStream();
            for (int c = read(); c != '\n'; c = read()) {
                assertTrue("the connection ended after: " + b, c >= 0);
                b.write(c);
            }
            String s = b.toString(StandardCharsets.UTF_8);
            return s.endsWith("\r") ? s.substring(0, s.length() - 1) : s;
        }

        String bytes(int n) throws IOException {
            byte[] b = socket.getInputStream().readNBytes(n);
            assertEquals("the connection ended early", n, b.length);
            return new String(b, StandardCharsets.UTF_8);
        }

        boolean ended() {
            try {
                return read() < 0;
            } catch (java.net.SocketTimeoutException e) {
                return false;
            } catch (IOException e) {
                return true; // A reset is an end too.
            }
        }

        void flush() throws IOException {
            if (toSend.size() + body.length > 0) {
                String head = toSend.toString(StandardCharsets.UTF_8).replace("@LEN", "" + body.length);
                socket.getOutputStream().write(head.getBytes(StandardCharsets.UTF_8));
                socket.getOutputStream().write(body);
                toSend.reset();
                body = new byte[0];
            }
        }
    }

    final DrivenClock clock = new DrivenClock();
    final ByteArrayOutputStream logged = new ByteArrayOutputStream();
    private final SyslogEventLog log =
            new SyslogEventLog(new PrintStream(logged, true, StandardCharsets.UTF_8), "test", 1);
    private final Map<String, Peer> peers = new LinkedHashMap<>();
    private ClientListener clients;
    private PlatformDiscovery discovery;
    private Thread module;
    private RequestDispatcher actor;
    private CountDownLatch held;
    private boolean messages;
    private int most = 64;
    private String allowances = "{}";
    private FlowController streams;
    private String siteFile = "site.json";
    private boolean resume = true;
    private boolean pushed;
    private int asked;
    /** What each answered request came to, in the order of the file. */
    final List<String> results = new ArrayList<>();

    private String known = "";

    /** Plays a file; returns what the requests that it asked came to. */
    static List<String> play(Path file, String... before) throws Exception {
        int number = 0;
        try (Player p = new Player()) {
            for (String line : before) {
                p.step(line);
            }
            for (String line : Files.readAllLines(file)) {
                number++;
                try {
                    p.step(line);
                } catch (Exception | AssertionError e) {
                    throw new AssertionError(
                            file.getFileName() + ":" + number + ": " + line + "\n" + e + "\n" + p.log.counters()
                                    + p.logged,
                            e);
                }
            }
            return p.results;
        }
    }

    /** The program's parts, wired as {@code Main} does. */
    private void start() throws Exception {
        String settings = Files.readString(Path.of("src/test/resources/" + siteFile));
        settings = resume ? settings : settings.replace("\"resume\":true", "\"resume\":false");
        settings = pushed ? settings.replace("\"subscribe\"", "\"automatic\"") : settings;
        SiteSettings site = SiteSettingsParser.parse(ConfigurationObject.parse(settings.getBytes(UTF_8), "settings"));
        InetSocketAddress any = new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0);
        Peer d = peers.computeIfAbsent("d", k -> new Peer());
        d.server = new ServerSocket(0, 8, any.getAddress());
        ActorThreadPool crew = new ActorThreadPool();
        streams = new FlowController(
                StreamLimitsReader.parse(
                        ConfigurationObject.parse(allowances.getBytes(UTF_8), "streams.json"),
                        site.routing().classes(),
                        64 << 20),
                site,
                clock,
                log);
        UpstreamPool engines = new UpstreamPool(site, 64, clock, log, crew, streams);
        engines.start();
        discovery = new PlatformDiscovery("127.0.0.1:" + d.server.getLocalPort(), () -> site, engines, clock, log, 7);
        actor = new RequestDispatcher(site.routing(), 7, clock, engines, discovery, log);
        engines.module(actor);
        ProtocolAdapter front = messages
                ? new MessagesProtocol(() -> site, new MessagesSettings("", "chat", "", Map.of()), null)
                : new PlatformProtocol(() -> site);
        clients = new ClientListener(
                ListenerSocket.bind(any),
                front,
                actor,
                clock,
                log,
                discovery::isKnown,
                log::counters,
                most,
                crew,
                streams);
        clients.start();
        log.start();
        discovery.start(actor, ("{\"revision\":1,\"complete\":true,\"members\":[" + known + "]}").getBytes(UTF_8));
        module = DaemonThreads.newThread("module", actor::run);
        module.start();
    }

    void step(String line) throws Exception {
        if (line.isBlank() || line.startsWith("#")) {
            return;
        }
        String[] w = line.split(" ", 2);
        String rest = w.length > 1 ? w[1] : "";
        switch (w[0]) {
            case "front" -> messages = rest.equals("messages");
            case "streams" -> allowances = rest;
            case "site" -> siteFile = rest;
            case "no-resume" -> resume = false;
            case "pushed" -> pushed = true;
            case "most" -> most = Integer.parseInt(rest);
            case "engines" -> {
                for (String name : rest.split(" ")) {
                    Peer p = new Peer();
                    p.server = new ServerSocket(0, 8, InetAddress.getByName("127.0.0.1"));
                    peers.put(name, p);
                    known += (known.isEmpty() ? "" : ",") + member(name, "Ready");
                }
            }
            case "address" -> {
                Peer p = new Peer();
                p.server = new ServerSocket(0, 8, InetAddress.getByName("127.0.0.1"));
                peers.put(rest, p);
            }
            case "move" -> discovery.changeAddress(
                    "127.0.0.1:" + peers.get(rest).server.getLocalPort());
            case "start" -> start();
            case "clock" -> clock.now.addAndGet(Long.parseLong(rest) * 1000);
            case "counter" -> counter(rest);
            case "passes" -> { // Time, so much at once, until a counter has come.
                String[] p = rest.split(" ", 2);
                await(
                        () -> {
                            boolean there = has(p[1]);
                            clock.now.addAndGet(there ? 0 : Long.parseLong(p[0]) * 1000);
                            return there;
                        },
                        "the counter never came to " + p[1]);
            }
            case "hold" -> {
                held = new CountDownLatch(1);
                CountDownLatch until = held;
                actor.execute(() -> {
                    try {
                        until.await();
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                });
            }
            case "release" -> held.countDown();
            case "stop" -> clients.stopAccepting();
            case "closing" -> clients.closeIdleConnections();
            case "logged" -> await(
                    () -> glob(".*" + quote(rest) + ".*", logged.toString(StandardCharsets.UTF_8)),
                    "no log line has " + rest);
            default -> {
                int i = 0;
                while (i < w[0].length() && Character.isLetterOrDigit(w[0].charAt(i))) {
                    i++;
                }
                act(w[0].substring(0, i), w[0].substring(i), rest);
            }
        }
    }

    private String member(String name, String phase) {
        return "{\"id\":\"" + name + "\",\"host_port\":\"127.0.0.1:"
                + peers.get(name).server.getLocalPort()
                + "\",\"locality\":\"a\",\"flavor\":\"m\",\"cell\":0,\"phase\":\"" + phase
                + "\",\"size\":1.0,\"up_since_ms\":0}";
    }

    private void act(String name, String what, String rest) throws Exception {
        Peer p = peers.computeIfAbsent(name, k -> new Peer());
        if (!what.startsWith(">")) {
            p.flush();
        }
        if (p.socket == null && p.server == null) {
            p.use(new Socket("127.0.0.1", clients.port()));
        }
        switch (what) {
            case "+" -> {
                p.server.setSoTimeout(PATIENCE_MS);
                (rest.isEmpty() ? p : peers.computeIfAbsent(rest, k -> new Peer())).use(p.server.accept());
            }
            case "++" -> p.use(new Socket("127.0.0.1", clients.port()));
            case ">" -> p.toSend.write((rest + "\r\n").getBytes(StandardCharsets.UTF_8));
            case ">>" -> {
                p.body = unescape(rest).getBytes(StandardCharsets.UTF_8);
                p.flush();
            }
            case ">*" -> { // A body of so many bytes, for the limits.
                p.body = "x".repeat(Integer.parseInt(rest)).getBytes(StandardCharsets.UTF_8);
                p.flush();
            }
            case ">&" -> { // Events of so many bytes, and the last chunk, by a thread: it may have to wait.
                Socket to = p.socket;
                DaemonThreads.newThread("sends", () -> many(to, Integer.parseInt(rest)))
                        .start();
            }
            case ">~" -> {
                byte[] event = unescape(rest).getBytes(StandardCharsets.UTF_8);
                p.toSend.write((Integer.toHexString(event.length) + "\r\n").getBytes(StandardCharsets.UTF_8));
                p.toSend.write(event);
                p.toSend.write("\r\n".getBytes(StandardCharsets.UTF_8));
                p.flush();
            }
            case ">." -> {
                p.toSend.write("0\r\n\r\n".getBytes(StandardCharsets.UTF_8));
                p.flush();
            }
            case "<" -> expect(rest, p.line());
            case "<<" -> expect(
                    rest,
                    escape(p.bytes(rest.startsWith("@") ? 0 : unescape(rest).length())));
            case "<~" -> {
                String got = p.bytes(Integer.parseInt(p.line(), 16));
                assertEquals("", p.line());
                expect(rest, escape(got));
            }
            case "<." -> assertEquals("0 and an empty line", "0|", p.line() + "|" + p.line());
            case "<x" -> { // Reads chunks of so many bytes in all, and the last chunk.
                int got = 0;
                for (int n = Integer.parseInt(p.line(), 16); n > 0; n = Integer.parseInt(p.line(), 16)) {
                    got += p.bytes(n + 2).length() - 2;
                }
                p.line();
                assertEquals(Integer.parseInt(rest), got);
            }
            case "<fin" -> assertEquals("the connection should have ended in order", -1, p.read());
            case "<eof" -> assertTrue("the connection should have ended", p.ended());
            case "!" -> p.socket.close();
            case "-" -> p.server.close();
            case "?" -> {
                if (p.server == null) {
                    ask(name, p, rest);
                } else {
                    int length = 0;
                    for (String l = p.line(); !l.isEmpty(); l = p.line()) {
                        length = l.startsWith("Content-Length: ") ? Integer.parseInt(l.substring(16)) : length;
                    }
                    expect("{*\"stream\":true*}", p.bytes(length));
                }
            }
            case ":" -> assertEquals("begun", rest, p.begun.get(PATIENCE_MS, TimeUnit.MILLISECONDS));
            case "=" -> {
                String got = p.outcome.get(PATIENCE_MS, TimeUnit.MILLISECONDS);
                results.add(name + " " + got);
                expect(rest, got);
            }
            case "!-" -> p.socket.shutdownOutput();
            case "!!" -> {
                p.socket.setSoLinger(true, 0);
                p.socket.close();
            }
            default -> throw new IllegalArgumentException("no such step");
        }
        if (what.equals(">") && rest.isEmpty() && !p.toSend.toString(UTF_8).contains("@LEN")) {
            p.flush();
        }
    }

    /** Events of so many bytes in all. */
    private static void many(Socket to, int bytes) {
        byte[] event = ("8000\r\ndata:" + "x".repeat(0x7ff9) + "\n\n\r\n").getBytes(StandardCharsets.UTF_8);
        try {
            for (int sent = 0; sent < bytes; sent += event.length) {
                to.getOutputStream().write(event);
            }
            to.getOutputStream().write("0\r\n\r\n".getBytes(StandardCharsets.UTF_8));
        } catch (IOException e) {
            // Ended: what the next steps look at.
        }
    }

    /** A request in the front's dialect; a thread notes when its answer began, and how and when it ended. */
    private void ask(String name, Peer p, String text) throws IOException {
        String most = messages ? "\"max_tokens\":9," : "";
        String body = "{\"model\":\"m\"," + most + "\"stream\":true,\"messages\":["
                + "{\"role\":\"user\",\"content\":\"" + text + "\"}]}";
        p.socket
                .getOutputStream()
                .write(("POST /v1/" + (messages ? "messages" : "chat/completions")
                                + " HTTP/1.1\r\nX-Call-Id: " + name + asked++
                                + "\r\nX-Call-Class: chat\r\nX-Route-Hash: "
                                + Integer.toHexString(text.hashCode()) + "\r\nX-Budget-Ms: 4000\r\nContent-Length: "
                                + body.length() + "\r\n\r\n" + body)
                        .getBytes(StandardCharsets.UTF_8));
        p.begun = new CompletableFuture<>();
        p.outcome = new CompletableFuture<>();
        DaemonThreads.newThread("answer", () -> {
                    try {
                        p.outcome.complete(answer(p) + " at " + at());
                    } catch (IOException | RuntimeException | AssertionError e) {
                        p.outcome.completeExceptionally(e);
                    }
                })
                .start();
    }

    private String at() {
        return Long.toString((clock.micros() - 1_000_000_000_000L) / 1000);
    }

    /** Served only with the last chunk; a head alone, or events without it, is a broken stream. */
    private String answer(Peer p) throws IOException {
        String status = p.line().split(" ")[1];
        int length = 0;
        for (String l = p.line(); !l.isEmpty(); l = p.line()) {
            length = l.startsWith("Content-Length: ") ? Integer.parseInt(l.substring(16)) : length;
        }
        if (!status.equals("200")) {
            p.bytes(length);
            return status.equals("503") || status.equals("529") ? "refused" : "failed";
        }
        p.begun.complete(at());
        try {
            for (int n = Integer.parseInt(p.line(), 16); n > 0; n = Integer.parseInt(p.line(), 16)) {
                p.bytes(n + 2);
            }
            p.line();
            return "served";
        } catch (IOException | AssertionError e) {
            return "broken";
        }
    }

    private static void expect(String pattern, String got) {
        assertTrue("got: " + got, glob(quote(pattern), got));
    }

    private static String quote(String pattern) {
        return Pattern.quote(pattern).replace("*", "\\E.*\\Q");
    }

    private static boolean glob(String regex, String s) {
        return Pattern.compile(regex, Pattern.DOTALL).matcher(s).matches();
    }

    /** Line ends, and the address of an engine for {@code @NAME@}. */
    private String unescape(String s) {
        String t = s.replace("\\n", "\n").replace("\\r", "\r");
        for (Map.Entry<String, Peer> e : peers.entrySet()) {
            if (e.getValue().server != null) {
                t = t.replace(
                        "@" + e.getKey() + "@",
                        "127.0.0.1:" + e.getValue().server.getLocalPort());
            }
        }
        return t;
    }

    private static String escape(String s) {
        return s.replace("\r", "\\r").replace("\n", "\\n");
    }

    private boolean has(String counter) {
        return ("\n" + log.counters() + streams.metrics()).contains("\n" + counter + "\n");
    }

    private void counter(String rest) throws Exception {
        await(() -> has(rest), "the counter never came to " + rest);
    }

    /** Waits for something that the program does by itself; the limit is for failing only. */
    private static void await(java.util.function.BooleanSupplier what, String otherwise) throws Exception {
        long end = System.nanoTime() + PATIENCE_MS * 1_000_000L;
        while (!what.getAsBoolean()) {
            assertTrue(otherwise, System.nanoTime() < end);
            java.util.concurrent.locks.LockSupport.parkNanos(500_000);
        }
    }

    @Override
    public void close() throws Exception {
        for (Peer p : peers.values()) {
            if (p.socket != null) {
                p.socket.close();
            }
            if (p.server != null) {
                p.server.close();
            }
        }
        if (clients != null) {
            clients.stopAccepting();
            module.interrupt();
        }
    }
}
