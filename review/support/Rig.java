import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * What the cases share: a record of a run, router processes started by the command of the deploy file, and stand-ins for
 * engines, discovery and clients on loopback. Stand-ins run on threads of the test; routers are processes of their own.
 */
public final class Rig implements AutoCloseable {
    static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();
    private static final AtomicInteger IDS = new AtomicInteger();

    final Path root;
    final Path temporary;
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    private final PrintWriter record;
    private final long startedNanos = System.nanoTime();
    private final List<Router> routers = new CopyOnWriteArrayList<>();

    /** Opens the record in the case's folder; the working directory is the repository's root. */
    Rig(Path caseFolder) throws IOException {
        root = Path.of("").toAbsolutePath();
        temporary = Files.createTempDirectory("magpiehub-review");
        record = new PrintWriter(Files.newBufferedWriter(caseFolder.resolve("record.txt")));
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
        daemon(() -> {
            Thread.sleep(110_000);
            log("the run took too long");
            close();
            Runtime.getRuntime().halt(NOT_RUN);
        });
        log("trouble=%s", trouble);
    }

    /** What {@code run.sh} turns into its own exit status. */
    static final int HELD = 0;

    static final int BROKEN = 10;
    static final int NOT_RUN = 20;

    interface Case {
        int run(Rig rig) throws Exception;
    }

    /** Runs a case, whose folder is the first argument, and ends the process. */
    static void main(String[] args, Case body) {
        int result = NOT_RUN;
        try (Rig rig = new Rig(Path.of(args[0]))) {
            try {
                result = body.run(rig);
            } catch (Exception | LinkageError e) {
                rig.log("could not run: %s", e);
            }
            rig.log("%s", result == HELD ? "the rule held" : result == BROKEN ? "the rule was BROKEN" : "not run");
        } catch (IOException e) {
            e.printStackTrace();
        }
        Runtime.getRuntime().halt(result);
    }

    interface Body {
        void run() throws Exception;
    }

    static Thread daemon(Body body) {
        Thread thread = new Thread(() -> {
            try {
                body.run();
            } catch (Exception e) {
                // The peer has gone, or the run is over.
            }
        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** Milliseconds since the run began. */
    double now() {
        return (System.nanoTime() - startedNanos) / 1e6;
    }

    synchronized void log(String form, Object... values) {
        record.printf(Locale.ROOT, "%10.1f ", now());
        record.printf(Locale.ROOT, form + "%n", values);
        record.flush();
    }

    /** A new request id of 16 hexadecimal digits. */
    static String newId() {
        return String.format(Locale.ROOT, "%08x%08x", (int) (System.nanoTime() ^ 0x5bd1e995), IDS.incrementAndGet());
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, LOOPBACK)) {
            return socket.getLocalPort();
        }
    }

    static String address(int port) {
        return "127.0.0.1:" + port;
    }

    /** Kills all routers and removes the temporary folder. */
    @Override
    public void close() {
        for (Router router : routers) {
            router.process.destroyForcibly();
            try {
                router.process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        try (Stream<Path> files = Files.walk(temporary)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(file);
            }
        } catch (IOException | RuntimeException e) {
            // Nothing more can be done about it.
        }
    }

    // ---- Routers --------------------------------------------------------------------------------------

    /** The command {@code run} of the deploy file. */
    String runCommand() throws IOException {
        Matcher matcher = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(root.resolve("deploy/balancer.toml")));
        if (!matcher.find()) {
            throw new IOException("deploy/balancer.toml has no run command");
        }
        return matcher.group(1);
    }

    final class Router {
        final String name;
        final int port;
        final Process process;

        Router(String name, int port, Path config, Path folder) throws IOException {
            this.name = name;
            this.port = port;
            Path tmp = Files.createTempDirectory(temporary, "tmp-" + name);
            ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", runCommand());
            builder.directory(folder.toFile());
            builder.environment().keySet().removeIf(key -> key.startsWith("ROUTER_"));
            builder.environment().put("ROUTER_NAME", name);
            builder.environment().put("ROUTER_LISTEN", address(port));
            builder.environment().put("ROUTER_CONFIG", config.toString());
            builder.environment().put("TMPDIR", tmp.toString());
            builder.redirectErrorStream(true);
            process = builder.start();
            routers.add(this);
            log("router %s started, process %d, listens at %s", name, process.pid(), address(port));
            daemon(() -> {
                try (var lines = process.inputReader()) {
                    for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                        log("log of %s: %s", name, line);
                    }
                }
            });
        }

        /** Waits until GET /up answers 200. */
        void awaitUp() throws Exception {
            double until = now() + 30_000;
            while (now() < until) {
                if (!process.isAlive()) {
                    throw new IOException("router " + name + " has ended");
                }
                try (Connection connection = new Connection(port)) {
                    connection.write("GET /up HTTP/1.1\r\nHost: origin.svc\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
                    if (connection.readAnswer(2_000).status == 200) {
                        log("router %s is up", name);
                        return;
                    }
                } catch (IOException e) {
                    // Not yet.
                }
                Thread.sleep(50);
            }
            throw new IOException("router " + name + " is not up after 30 s");
        }

        void signal(String signal) throws Exception {
            log("SIG%s to router %s", signal, name);
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
        }
    }

    /** Starts routers with one configuration each, and waits until they are up. */
    List<Router> startRouters(int count, Discovery discovery, List<String> classes, boolean resume) throws Exception {
        List<Router> started = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            Path config = configurationFile(i);
            Files.writeString(config, configuration(
                    "n" + i, address(discovery.port()), discovery.whole(), classes, resume, count, i));
            started.add(new Router("n" + i, freePort(), config, root));
        }
        for (Router router : started) {
            router.awaitUp();
        }
        return started;
    }

    Path configurationFile(int router) {
        return temporary.resolve("n" + router + ".json");
    }

    /** A folder that looks like the repository's root to a router, with settings files of its own below deploy. */
    Path installation(String name, Map<String, String> deployFiles) throws IOException {
        Path folder = Files.createDirectories(temporary.resolve("root-" + name));
        Path deploy = Files.createDirectories(folder.resolve("deploy"));
        Files.createSymbolicLink(folder.resolve("target"), root.resolve("target"));
        for (Map.Entry<String, String> file : deployFiles.entrySet()) {
            Files.writeString(deploy.resolve(file.getKey()), file.getValue());
        }
        return folder;
    }

    // ---- Bytes ----------------------------------------------------------------------------------------

    static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                throw new EOFException(line.size() == 0 ? "end" : "end in a line");
            }
            line.write(b);
        }
        return line.toString(StandardCharsets.ISO_8859_1).replace("\r", "");
    }

    static Map<String, String> readHeaders(InputStream in) throws IOException {
        Map<String, String> headers = new LinkedHashMap<>();
        for (String line = readLine(in); !line.isEmpty(); line = readLine(in)) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
        }
        return headers;
    }

    static byte[] chunk(String data) {
        byte[] bytes = data.getBytes(StandardCharsets.UTF_8);
        return (Integer.toHexString(bytes.length) + "\r\n" + data + "\r\n").getBytes(StandardCharsets.UTF_8);
    }

    // ---- Discovery ------------------------------------------------------------------------------------

    /** Discovery as the protocol page describes it: the whole list, and a watch with an empty line every 2 s. */
    final class Discovery {
        final ServerSocket server = new ServerSocket(0, 64, LOOPBACK);
        private final Map<String, String> members = new LinkedHashMap<>();
        private final List<OutputStream> watches = new CopyOnWriteArrayList<>();
        private int revision = 1;

        Discovery() throws IOException {
            daemon(() -> {
                while (true) {
                    Socket socket = server.accept();
                    daemon(() -> serve(socket));
                }
            });
            daemon(() -> {
                while (true) {
                    Thread.sleep(2_000);
                    send(chunk("\n"));
                }
            });
        }

        int port() {
            return server.getLocalPort();
        }

        private synchronized String list(boolean complete, List<String> entries) {
            return "{\"revision\":" + revision + ",\"complete\":" + complete + ",\"members\":["
                    + String.join(",", entries) + "]}\n";
        }

        /** The whole list as the configuration's "known". */
        synchronized String whole() {
            return list(true, new ArrayList<>(members.values())).strip();
        }

        synchronized void put(String id, int port, String zone, String phase, long upSinceMs) {
            String entry = "{\"id\":\"" + id + "\",\"host_port\":\"" + address(port) + "\",\"locality\":\"" + zone
                    + "\",\"flavor\":\"gpu-new\",\"cell\":0,\"phase\":\"" + phase + "\",\"size\":1.0,\"up_since_ms\":"
                    + upSinceMs + "}";
            members.put(id, entry);
            revision++;
            log("discovery: %s is %s at %s", id, phase, address(port));
            send(chunk(list(false, List.of(entry))));
        }

        private synchronized void send(byte[] bytes) {
            for (OutputStream watch : watches) {
                try {
                    watch.write(bytes);
                    watch.flush();
                } catch (IOException e) {
                    watches.remove(watch);
                }
            }
        }

        private void serve(Socket socket) throws IOException {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            while (true) {
                String start = readLine(in);
                readHeaders(in);
                synchronized (this) {
                    String list = list(true, new ArrayList<>(members.values()));
                    if (start.contains("follow=1")) {
                        out.write("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
                                .getBytes(StandardCharsets.US_ASCII));
                        out.write(chunk(list));
                        watches.add(out);
                        return;
                    }
                    byte[] body = list.getBytes(StandardCharsets.UTF_8);
                    out.write(("HTTP/1.1 200 OK\r\nContent-Length: " + body.length + "\r\n\r\n")
                            .getBytes(StandardCharsets.US_ASCII));
                    out.write(body);
                }
            }
        }
    }

    // ---- Engines --------------------------------------------------------------------------------------

    /** A request that has reached an engine. */
    final class Work {
        final Engine engine;
        final Socket socket;
        final OutputStream out;
        final String id;
        final Map<String, String> headers;
        final String body;

        Work(Engine engine, Socket socket, OutputStream out, Map<String, String> headers, String body) {
            this.engine = engine;
            this.socket = socket;
            this.out = out;
            this.id = headers.get("x-call-id");
            this.headers = headers;
            this.body = body;
        }

        void head() throws IOException {
            out.write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
                    .getBytes(StandardCharsets.US_ASCII));
        }

        String token(String text) {
            return "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"" + text + "\"},\"finish_reason\":null}]}\n\n";
        }

        void event(String event) throws IOException {
            out.write(chunk(event));
            out.flush();
        }

        void end(int tokens) throws IOException {
            event("data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\".\"},\"finish_reason\":\"stop\"}]}\n\n");
            event("data: {\"choices\":[],\"usage\":{\"prompt_tokens\":512,\"completion_tokens\":" + tokens
                    + ",\"prompt_tokens_details\":{\"cached_tokens\":0}}}\n\n");
            event("data: [DONE]\n\n");
            out.write("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            out.flush();
        }

        /** A whole stream: the first token after a time, then one each period. */
        void stream(long firstMs, int tokens, long periodMs) throws Exception {
            Thread.sleep(firstMs);
            head();
            for (int i = 0; i < tokens; i++) {
                event(token("w" + i + " "));
                Thread.sleep(periodMs);
            }
            end(tokens);
        }
    }

    interface Answer {
        void to(Work work) throws Exception;
    }

    /** An engine: takes requests one at a time on each connection, and answers probes. */
    final class Engine {
        final String id;
        final ServerSocket server = new ServerSocket(0, 128, LOOPBACK);
        volatile Answer answer;

        Engine(String id, Answer answer) throws IOException {
            this.id = id;
            this.answer = answer;
            daemon(() -> {
                while (true) {
                    Socket socket = server.accept();
                    daemon(() -> serve(socket));
                }
            });
        }

        int port() {
            return server.getLocalPort();
        }

        private void serve(Socket socket) throws Exception {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            while (true) {
                String start = readLine(in);
                Map<String, String> headers = readHeaders(in);
                byte[] body = in.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0")));
                if (start.startsWith("GET ")) {
                    out.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
                    continue;
                }
                Work work = new Work(this, socket, out, headers, new String(body, StandardCharsets.UTF_8));
                log("engine %s takes %s, told %s ms", id, work.id, headers.get("x-budget-ms"));
                try {
                    answer.to(work);
                    log("engine %s has answered %s", id, work.id);
                } catch (IOException e) {
                    log("engine %s lost the connection of %s: %s", id, work.id, e.getMessage());
                    return;
                }
            }
        }
    }

    // ---- Clients --------------------------------------------------------------------------------------

    /** What a client has got for a request. */
    static final class Reply {
        int status;
        Map<String, String> headers = Map.of();
        final StringBuilder body = new StringBuilder();
        /** The whole answer has come, by its framing. */
        boolean whole;
        /** How the connection ended before that; null if it did not. */
        String broken;
        double endedAt;

        int events() {
            return body.toString().split("\n\n", -1).length - 1;
        }

        @Override
        public String toString() {
            return "status " + status + ", " + events() + " events, " + (whole ? "whole" : "not whole: " + broken);
        }
    }

    /** A client's connection. */
    final class Connection implements AutoCloseable {
        final Socket socket = new Socket();
        private final InputStream in;

        Connection(int port) throws IOException {
            socket.connect(new InetSocketAddress(LOOPBACK, port), 2_000);
            socket.setTcpNoDelay(true);
            in = new BufferedInputStream(socket.getInputStream());
        }

        void write(byte[] bytes) throws IOException {
            socket.getOutputStream().write(bytes);
            socket.getOutputStream().flush();
        }

        /** Sends a request of the platform's protocol. */
        void sendChat(String id, String requestClass, String tenant, long budgetMs) throws IOException {
            String body = "{\"model\":\"chat\",\"stream\":true,\"max_tokens\":400,\"messages\":["
                    + "{\"role\":\"user\",\"content\":\"Who won the ten kilometres?\"}]}";
            write(("POST /v1/chat/completions HTTP/1.1\r\nHost: origin.svc\r\nContent-Type: application/json\r\nX-Call-Id: "
                            + id + "\r\nX-Call-Class: " + requestClass + "\r\nX-Caller: " + tenant + "\r\nX-Route-Hash: "
                            + id + "\r\nX-Budget-Ms: " + budgetMs
                            + "\r\nX-Call-Info: prompt_len=512,prefix_len=0,max_out=400\r\nContent-Length: "
                            + body.length() + "\r\n\r\n" + body)
                    .getBytes(StandardCharsets.UTF_8));
        }

        /** Reads one answer; waits for so long at most. */
        Reply readAnswer(long waitMs) {
            Reply reply = new Reply();
            double until = now() + waitMs;
            try {
                readAnswer(reply, until);
                reply.whole = true;
            } catch (SocketTimeoutException e) {
                reply.broken = "no end within " + waitMs + " ms";
            } catch (IOException | RuntimeException e) {
                reply.broken = e.getMessage();
            }
            reply.endedAt = now();
            return reply;
        }

        private void limit(double until) throws IOException {
            long left = (long) (until - now());
            if (left <= 0) {
                throw new SocketTimeoutException("too late");
            }
            socket.setSoTimeout((int) left);
        }

        private void readAnswer(Reply reply, double until) throws IOException {
            limit(until);
            reply.status = Integer.parseInt(readLine(in).split(" ")[1]);
            reply.headers = readHeaders(in);
            if (!"chunked".equalsIgnoreCase(reply.headers.get("transfer-encoding"))) {
                int length = Integer.parseInt(reply.headers.getOrDefault("content-length", "0"));
                reply.body.append(new String(in.readNBytes(length), StandardCharsets.UTF_8));
                return;
            }
            while (true) {
                limit(until);
                int size = Integer.parseInt(readLine(in).split(";")[0].strip(), 16);
                byte[] data = in.readNBytes(size);
                if (data.length < size) {
                    throw new EOFException("end in a chunk");
                }
                reply.body.append(new String(data, StandardCharsets.UTF_8));
                readLine(in);
                if (size == 0) {
                    return;
                }
            }
        }

        @Override
        public void close() {
            try {
                socket.close();
            } catch (IOException e) {
                // It is closed.
            }
        }
    }

    /** A request on a kept connection, and what became of it; times count from SIGTERM. */
    record Sent(String id, double sentMs, double endedMs, Reply reply, boolean sentAgain) {}

    /**
     * Sends a request on a kept connection. If that was closed between two requests, sends it once more on a new connection
     * to another router, as the protocol page says; not if the first router was killed meanwhile.
     */
    Sent ask(Connection kept, Router other, String requestClass, long budgetMs, String id, double term, double killedMs)
            throws IOException {
        double sentMs = now() - term;
        Reply reply = new Reply();
        try {
            kept.sendChat(id, requestClass, "anping-harbour-rc", budgetMs);
            reply = kept.readAnswer(20_000);
        } catch (IOException e) {
            reply.broken = e.getMessage();
        }
        if (reply.status == 0 && now() - term < killedMs) {
            log("request %s: the connection was closed between two requests; it is sent once more", id);
            try (Connection again = new Connection(other.port)) {
                again.sendChat(id, requestClass, "anping-harbour-rc", budgetMs);
                reply = again.readAnswer(20_000);
                return new Sent(id, sentMs, now() - term, reply, true);
            }
        }
        return new Sent(id, sentMs, now() - term, reply, false);
    }

    /** Sends SIGTERM to a router, and SIGKILL some time after unless it has ended. */
    void restart(Router router, long killAfterMs) throws Exception {
        router.signal("TERM");
        daemon(() -> {
            Thread.sleep(killAfterMs);
            if (router.process.isAlive()) {
                router.signal("KILL");
            } else {
                log("router %s has ended by itself", router.name);
            }
        });
    }

    // ---- Settings -------------------------------------------------------------------------------------

    /** One class of the settings. */
    static String requestClass(String name, String effect, long aimMs, long deadlineMs) {
        return "{\"name\":\"" + name + "\",\"effect\":\"" + effect + "\",\"group\":\"all\",\"windowMs\":5000.0,\"stream\":true,"
                + "\"aimMs\":" + aimMs + ".0,\"deadlineMs\":" + deadlineMs + ".0,\"gain\":2.0,\"lateShare\":0.0}";
    }

    /** A router's configuration, with the figures of the first deployment where nothing else is given. */
    static String configuration(
            String name, String discovery, String known, List<String> classes, boolean resume, int routers, int index) {
        return "{\"name\":\"" + name + "\",\"listen\":\"127.0.0.1:1\",\"discovery\":\"" + discovery
                + "\",\"seed\":\"8c1f30d27a5be9" + String.format(Locale.ROOT, "%02x", index)
                + "\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},\"known\":" + known
                + ",\"settings\":{"
                + "\"accounts\":[{\"name\":\"anping-harbour-rc\",\"share\":0.5,\"allowancePerS\":50.0},"
                + "{\"name\":\"north-gate-rc\",\"share\":0.5,\"allowancePerS\":50.0}],"
                + "\"classes\":[" + String.join(",", classes) + "],"
                + "\"clients\":{\"marksRetry\":false},"
                + "\"costs\":{\"connection\":0.0,\"crossZone\":0.03,\"handshake\":0.0,\"lateFail\":0.062,\"probe\":0.002,"
                + "\"waste\":0.2},"
                + "\"domainType\":\"llm\",\"familyInfo\":{\"resume\":" + resume + "},"
                + "\"guarantees\":{\"answerSlackMs\":8.0,\"askWithinMs\":10000.0,\"coldMs\":9000.0,\"fallMs\":1000.0,"
                + "\"overloadFactor\":4.0,\"startCapacity\":0.3,\"stopSendingWithinMs\":2000.0},"
                + "\"instances\":" + routers + ",\"layers\":[\"results-model\"],"
                + "\"limits\":{\"cancel\":true,\"connectTimeoutMs\":250.0,\"idleCloseMs\":30000.0,\"maxRetryAfterMs\":2000.0,"
                + "\"mostHeld\":20000,\"mostTries\":3,\"parallelTries\":false,\"peers\":false,\"probes\":true,"
                + "\"retryAfter\":true,\"streamsPerConn\":1},"
                + "\"machineTypes\":[\"gpu-new\",\"gpu-old\"],\"me\":" + index + ",\"membershipMode\":\"subscribe\","
                + "\"myZone\":0,\"overShareWorth\":0.1,\"telemetry\":{\"fields\":[],\"how\":\"none\"},\"tickMs\":2.0,"
                + "\"tier\":0,\"valueBy\":\"work\",\"weights\":\"rough\",\"zones\":[\"anping\",\"yongkang\",\"rende\"]}}";
    }

    /** The classes of the first deployment. */
    static List<String> usualClasses() {
        return List.of(
                requestClass("results-lookup", "pure", 1200, 6000),
                requestClass("sheet-summary", "pure", 3000, 20000),
                requestClass("desk-chat", "pure", 600, 3000));
    }
}
