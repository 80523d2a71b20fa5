package magpiehub.streaming;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.BufferedReader;
import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import magpiehub.concurrent.DaemonThreads;
import magpiehub.http.Sockets;

/** Runs the router as a process with the heap size of the platform, and a discovery service without any updates. */
final class RouterUnderTest implements AutoCloseable {
    /** How long a client's socket may accept nothing. */
    static final long CLIENT_STALL_MS = 4_000;
    /** How long an upstream may be silent. */
    private static final long SILENCE_MS = 2_500;

    private static final int START_TIMEOUT_SECONDS = 20;
    private static final int SHUTDOWN_TIMEOUT_SECONDS = 15;
    private static final int LOG_TIMEOUT_SECONDS = 5;
    private static final int READ_TIMEOUT_MS = 10_000;

    private final ServerSocket discovery = new ServerSocket(0, 8, InetAddress.getByName("127.0.0.1"));
    private final CountDownLatch started = new CountDownLatch(1);
    private final CountDownLatch logEnded = new CountDownLatch(1);
    private final Process process;
    private volatile String lastCountersLine = "";
    private volatile int port;

    /** Starts a router with these upstreams as its endpoint list and waits until it listens. */
    RouterUnderTest(Path folder, ScriptedUpstreams upstreams) throws IOException {
        Path configuration = writeConfiguration(folder, upstreams);
        process = launch(folder, configuration);
        // Kills the router if this process is terminated.
        Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
        DaemonThreads.newThread("discovery", this::serveDiscovery).start();
        DaemonThreads.newThread("log", this::readLog).start();
        try {
            if (!started.await(START_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
                throw new IOException("the router did not start within " + START_TIMEOUT_SECONDS + " s");
            }
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }

    /** The port on which the router listens. */
    int port() {
        return port;
    }

    private Path writeConfiguration(Path folder, ScriptedUpstreams upstreams) throws IOException {
        String site = "{\"instances\":1,\"me\":0,\"myZone\":0,\"zones\":[\"a\"],\"machineTypes\":[\"m\"],"
                + "\"membershipMode\":\"subscribe\",\"familyInfo\":{\"resume\":false},\"classes\":[{\"name\":"
                + "\"chat\",\"aimMs\":4000,"
                + "\"deadlineMs\":8000,\"effect\":\"pure\",\"gain\":1,\"stream\":true}],"
                + "\"limits\":{\"mostTries\":2,\"cancel\":true,\"retryAfter\":true,\"connectTimeoutMs\":2000,"
                + "\"idleCloseMs\":30000,\"mostHeld\":2000},\"guarantees\":{\"answerSlackMs\":50,"
                + "\"askWithinMs\":10000,\"coldMs\":0}}";
        Path configuration = folder.resolve("router.json");
        Files.writeString(
                configuration,
                "{\"name\":\"n\",\"listen\":\"127.0.0.1:0\",\"discovery\":\"127.0.0.1:"
                        + discovery.getLocalPort() + "\",\"seed\":\"7\",\"limits\":{\"sockets\":2048},"
                        + "\"settings\":" + site
                        + ",\"known\":{\"revision\":1,\"complete\":true,\"members\":[" + upstreams.endpointsJson()
                        + "]}}");
        Files.createDirectories(folder.resolve("deploy"));
        Files.writeString(
                folder.resolve("deploy/streams.json"),
                "{\"budget_kb\":12000,\"buffer_kb\":1024,"
                        + "\"pause_ms\":" + CLIENT_STALL_MS + ",\"hold_ms\":" + SILENCE_MS + ",\"silence_ms\":"
                        + SILENCE_MS
                        + ",\"comments_ms\":5000,\"send_buffer_kb\":32}");
        return configuration;
    }

    private Process launch(Path folder, Path configuration) throws IOException {
        String classPath = Arrays.stream(System.getProperty("java.class.path").split(File.pathSeparator))
                .map(entry -> Path.of(entry).toAbsolutePath().toString())
                .collect(Collectors.joining(File.pathSeparator));
        List<String> command = List.of(
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
                classPath,
                "magpiehub.Main",
                "serve");
        ProcessBuilder builder =
                new ProcessBuilder(command).directory(folder.toFile()).redirectErrorStream(true);
        builder.environment().put("ROUTER_CONFIG", configuration.toString());
        builder.environment().keySet().removeAll(List.of("ROUTER_LISTEN", "ROUTER_NAME"));
        builder.environment().put("MALLOC_ARENA_MAX", "2");
        builder.environment().put("ROUTER_DISCOVERY", "127.0.0.1:" + discovery.getLocalPort());
        return builder.start();
    }

    private void serveDiscovery() {
        try {
            while (true) {
                Socket socket = discovery.accept();
                socket.getOutputStream().write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes(UTF_8));
                DaemonThreads.newThread("watch", () -> sendHeartbeats(socket)).start();
            }
        } catch (IOException e) {
            // The server socket was closed at the end of the run.
        }
    }

    private static void sendHeartbeats(Socket socket) {
        try {
            while (true) {
                socket.getOutputStream().write("1\r\n\n\r\n".getBytes(UTF_8));
                TimeUnit.SECONDS.sleep(1);
            }
        } catch (IOException | InterruptedException e) {
            Sockets.closeQuietly(socket);
        }
    }

    private void readLog() {
        // Set PROOF_LOG to copy the router's log to standard error.
        boolean echo = System.getenv("PROOF_LOG") != null;
        try (BufferedReader log = process.inputReader()) {
            for (String line = log.readLine(); line != null; line = log.readLine()) {
                if (line.contains(" started ")) {
                    port = Integer.parseInt(line.replaceAll(".*listen=\"127.0.0.1:(\\d+)\".*", "$1"));
                    started.countDown();
                }
                if (line.contains(" counters ")) {
                    lastCountersLine = line;
                }
                if (echo) {
                    System.err.println(line);
                }
            }
        } catch (IOException e) {
            // The process has ended.
        } finally {
            logEnded.countDown();
        }
    }

    /** The peak resident set size of the process. */
    long peakMemoryKb() throws IOException {
        for (String line : Files.readAllLines(Path.of("/proc/" + process.pid() + "/status"))) {
            if (line.startsWith("VmHWM:")) {
                return Long.parseLong(line.replaceAll("\\D", ""));
            }
        }
        return 0;
    }

    /** The current values of {@code /counters}. */
    Map<String, Long> counters() throws IOException {
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.setSoTimeout(READ_TIMEOUT_MS);
            socket.getOutputStream().write("GET /counters HTTP/1.1\r\nConnection: close\r\n\r\n".getBytes(UTF_8));
            String response = new String(socket.getInputStream().readAllBytes(), UTF_8);
            Map<String, Long> counters = new TreeMap<>();
            for (String line :
                    response.substring(response.indexOf("\r\n\r\n") + 4).split("\n")) {
                String[] nameAndValue = line.split(" ");
                if (nameAndValue.length == 2) {
                    counters.put(nameAndValue[0], Long.parseLong(nameAndValue[1]));
                }
            }
            return counters;
        }
    }

    /** Sends SIGTERM; returns false if the process does not exit in time. */
    boolean terminate() throws InterruptedException {
        process.toHandle().destroy();
        return process.waitFor(SHUTDOWN_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    /** The number of streams with an outcome, from the counters that the router logged at its exit. */
    long outcomesAtExit() throws InterruptedException {
        logEnded.await(LOG_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        long sum = 0;
        for (StreamOutcome outcome : StreamOutcome.values()) {
            Matcher matcher =
                    Pattern.compile(" " + outcome.counterName() + "=\"(\\d+)\"").matcher(lastCountersLine);
            sum += matcher.find() ? Long.parseLong(matcher.group(1)) : 0;
        }
        return sum;
    }

    @Override
    public void close() throws IOException {
        discovery.close();
        try {
            process.destroyForcibly().waitFor();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
