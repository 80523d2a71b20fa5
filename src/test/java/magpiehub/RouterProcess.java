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
 * A router as a process of its own, with one engine and one discovery whose sockets the test holds. It is
 * configured before it is started, and killed when it is closed.
 */
final class RouterProcess implements AutoCloseable {
    /** The command that starts a router from the classes under test, with what the platform's command says of
     *  compilation and memory: another JVM's own work would show in how long things take. */
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

    static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();
    private static final int ACCEPT_TIMEOUT_MS = 30_000;
    private static final int BACKLOG = 64;
    private static final String CALL_ID_HEADER = "X-Call-Id: ";
    private static final String CONTENT_LENGTH_HEADER = "Content-Length: ";

    final ServerSocket engine;
    final ServerSocket discovery;
    final Path config;
    /** For what the test does beside the router; ended with it. */
    final ExecutorService threads = Executors.newCachedThreadPool(work -> {
        Thread thread = new Thread(work);
        thread.setDaemon(true);
        return thread;
    });

    private Process process;
    private BufferedReader log;

    /** A router that has not been started; its configuration is written to the file. */
    RouterProcess(Path config) throws IOException {
        this.config = config;
        engine = listen();
        discovery = listen();
        ServeTest.writeConfiguration(config, discovery, engine);
    }

    /** A socket of the test's own whose calls end after a while. */
    static ServerSocket listen() throws IOException {
        ServerSocket server = new ServerSocket(0, BACKLOG, LOOPBACK);
        server.setSoTimeout(ACCEPT_TIMEOUT_MS);
        return server;
    }

    /** A client's request; the time that it waits is in milliseconds. */
    static String chatRequest(String id, String budgetMs) {
        return "POST /v1/chat/completions HTTP/1.1\r\n" + CALL_ID_HEADER + id + "\r\nX-Call-Class: chat\r\n"
                + "X-Budget-Ms: " + budgetMs + "\r\n" + CONTENT_LENGTH_HEADER + "2\r\n\r\n{}";
    }

    /** Reads one request as an engine does, head and body; returns its id. */
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

    /** The configuration as it stands. */
    String configuration() throws IOException {
        return Files.readString(config);
    }

    /** Replaces a part of the configuration. */
    void replaceInConfiguration(String part, String replacement) throws IOException {
        Files.writeString(config, configuration().replace(part, replacement));
    }

    void start() throws IOException {
        start(COMMAND);
    }

    /** Starts it by a command; discovery is named by the variable too, as the platform does. */
    void start(List<String> command) throws IOException {
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().put("ROUTER_CONFIG", config.toString());
        builder.environment().keySet().removeAll(List.of("ROUTER_LISTEN", "ROUTER_NAME"));
        builder.environment().put("ROUTER_DISCOVERY", "127.0.0.1:" + discovery.getLocalPort());
        process = builder.redirectErrorStream(true).start();
        log = process.inputReader();
    }

    Process process() {
        return process;
    }

    /** The first line of its log with a part. */
    String awaitLogLine(String part) throws IOException {
        return ServeTest.readUntil(log, part);
    }

    /** Takes its watch of the list and answers it with a heartbeat. */
    Socket acceptWatch() throws IOException {
        Socket watch = discovery.accept();
        ServeTest.send(watch, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n");
        return watch;
    }

    /** Waits for its start; returns the port that it serves at. */
    int awaitListeningPort() throws IOException {
        return Integer.parseInt(awaitLogLine(" started ").replaceAll(".*listen=\"127.0.0.1:(\\d+)\".*", "$1"));
    }

    /** Lets the engine answer each connection on a thread of its own, for as long as its socket is open. */
    void serveConnections(Consumer<Socket> answer) {
        threads.execute(() -> {
            try {
                while (true) {
                    Socket connection = engine.accept();
                    threads.execute(() -> answer.accept(connection));
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
