package magpiehub;

import java.io.BufferedReader;
import java.io.EOFException;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.Consumer;

/**
 * A router in a separate process, with one upstream and one discovery service whose sockets belong to the test. It is
 * configured before it is started, and killed when it is closed.
 */
final class RouterProcess implements AutoCloseable {
    /**
     * Starts a router from the classes under test, with the platform's options for compilation and memory: the work of
     * a JVM with other options would distort measured times.
     */
    static final List<String> COMMAND = List.of(
            ProcessHandle.current().info().command().orElse("java"),
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
            "-Xms64m",
            "-Xmx64m",
            "-Xmn24m",
            "-cp",
            System.getProperty("java.class.path"),
            "magpiehub.Main",
            "serve");

    /** As {@link #COMMAND}, with all the options by which the platform's command limits memory. */
    static final List<String> PLATFORM_COMMAND = List.of(
            ProcessHandle.current().info().command().orElse("java"),
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
            "-XX:-UsePerfData",
            "-Xms64m",
            "-Xmx64m",
            "-Xmn24m",
            "-XX:MaxMetaspaceSize=32m",
            "-XX:ReservedCodeCacheSize=16m",
            "-Djdk.nio.maxCachedBufferSize=16384",
            "-cp",
            System.getProperty("java.class.path"),
            "magpiehub.Main",
            "serve");

    static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();
    private static final int ACCEPT_TIMEOUT_MS = 30_000;
    private static final int BACKLOG = 64;
    private static final String CALL_ID_HEADER = "X-Call-Id: ";
    private static final String CONTENT_LENGTH_HEADER = "Content-Length: ";

    final ServerSocket engine;
    final ServerSocket discovery;
    final Path config;
    /** Runs the test's background work until the router is closed. */
    final ExecutorService threads = Executors.newCachedThreadPool(work -> {
        Thread thread = new Thread(work);
        thread.setDaemon(true);
        return thread;
    });

    private Path workingDirectory = Path.of("").toAbsolutePath();
    private Process process;
    private BufferedReader log;

    /** Writes the router's configuration to a file; does not start it. */
    RouterProcess(Path config) throws IOException {
        this.config = config;
        engine = listen();
        discovery = listen();
        ServeTest.writeConfiguration(config, discovery, engine);
    }

    /** A server socket of the test, whose calls time out after {@link #ACCEPT_TIMEOUT_MS}. */
    static ServerSocket listen() throws IOException {
        ServerSocket server = new ServerSocket(0, BACKLOG, LOOPBACK);
        server.setSoTimeout(ACCEPT_TIMEOUT_MS);
        return server;
    }

    /** The text of a client's request with a time budget in milliseconds. */
    static String chatRequest(String id, String budgetMs) {
        return "POST /v1/chat/completions HTTP/1.1\r\n" + CALL_ID_HEADER + id + "\r\nX-Call-Class: chat\r\n"
                + "X-Budget-Ms: " + budgetMs + "\r\n" + CONTENT_LENGTH_HEADER + "2\r\n\r\n{}";
    }

    /** Reads one request, head and body, as an upstream does; returns its id. */
    static String readRequest(BufferedReader input) throws IOException {
        String id = "";
        int length = 0;
        for (String line = input.readLine(); line == null || !line.isEmpty(); line = input.readLine()) {
            if (line == null) {
                throw new EOFException("the connection ended in a request");
            }
            id = line.startsWith(CALL_ID_HEADER) ? line.substring(CALL_ID_HEADER.length()) : id;
            length = line.startsWith(CONTENT_LENGTH_HEADER)
                    ? Integer.parseInt(line.substring(CONTENT_LENGTH_HEADER.length()))
                    : length;
        }
        for (int i = 0; i < length; i++) {
            input.read();
        }
        return id;
    }

    /** The current content of the configuration file. */
    String configuration() throws IOException {
        return Files.readString(config);
    }

    /** Replaces a part of the configuration file. */
    void replaceInConfiguration(String part, String replacement) throws IOException {
        Files.writeString(config, configuration().replace(part, replacement));
    }

    /** Sets the folder in which the router is started, and looks for {@code deploy/}. */
    void setWorkingDirectory(Path folder) {
        workingDirectory = folder;
    }

    void start() throws IOException {
        start(COMMAND);
    }

    /** Starts the router by a command; like the platform, sets discovery's address in an environment variable too. */
    void start(List<String> command) throws IOException {
        ProcessBuilder builder = new ProcessBuilder(command).directory(workingDirectory.toFile());
        builder.environment().put("MALLOC_ARENA_MAX", "2");
        builder.environment().put("ROUTER_CONFIG", config.toString());
        builder.environment().keySet().removeAll(List.of("ROUTER_LISTEN", "ROUTER_NAME"));
        builder.environment().put("ROUTER_DISCOVERY", "127.0.0.1:" + discovery.getLocalPort());
        process = builder.redirectErrorStream(true).start();
        log = process.inputReader();
    }

    Process process() {
        return process;
    }

    /** Waits for a log line that contains {@code part}, and returns it. */
    String awaitLogLine(String part) throws IOException {
        return ServeTest.readUntil(log, part);
    }

    /** Accepts the router's watch of the endpoint list and answers it with a heartbeat. */
    Socket acceptWatch() throws IOException {
        Socket watch = discovery.accept();
        ServeTest.send(watch, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n");
        return watch;
    }

    /** Waits until the router has started; returns the port it listens at. */
    int awaitListeningPort() throws IOException {
        return Integer.parseInt(awaitLogLine(" started ").replaceAll(".*listen=\"127.0.0.1:(\\d+)\".*", "$1"));
    }

    /** Handles each upstream connection on a thread of its own, for as long as the upstream's socket is open. */
    void serveConnections(Consumer<Socket> handler) {
        serveConnections(engine, handler);
    }

    /** Handles each connection to an upstream of the test on a thread of its own. */
    void serveConnections(ServerSocket upstream, Consumer<Socket> handler) {
        threads.execute(() -> {
            try {
                while (true) {
                    Socket connection = upstream.accept();
                    threads.execute(() -> handler.accept(connection));
                }
            } catch (IOException e) {
                // The test is over.
            }
        });
    }

    void sendSighup() throws Exception {
        ServeTest.sendSighup(process);
    }

    @Override
    public void close() throws IOException {
        if (process != null) {
            process.destroyForcibly();
            log.close();
        }
        engine.close();
        discovery.close();
        threads.shutdownNow();
    }
}
