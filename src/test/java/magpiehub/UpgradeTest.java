package magpiehub;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import magpiehub.concurrent.DaemonThreads;
import magpiehub.concurrent.MonotonicClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Upgrades between router processes as operators run them: two versions share one listening socket, and an operator's
 * command to one applies to the other. A launcher holds the socket, as the platform does, and starts each process with
 * it as descriptor 0. The time limits make a test fail, rather than hang, where an expected line never comes.
 */
@Timeout(value = 120, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class UpgradeTest {
    /** Prints the socket's port, then starts a router for each input line, which gives the router's console port. */
    private static final String LAUNCHER =
            """
            use Socket; $| = 1; $SIG{CHLD} = 'IGNORE';
            socket(my $s, PF_INET, SOCK_STREAM, 0) or die; bind($s, sockaddr_in(0, INADDR_LOOPBACK)) or die;
            listen($s, 64) or die; print((sockaddr_in(getsockname($s)))[0], "\\n");
            my $port = (sockaddr_in(getsockname($s)))[0];
            while (my $console = <STDIN>) {
              chomp $console;
              my $pid = fork();
              if ($pid == 0) {
                open(STDIN, "<&", $s) or die;
                $ENV{ROUTER_FD} = 0; $ENV{ROUTER_CONSOLE} = "127.0.0.1:$console";
                $ENV{ROUTER_LISTEN} = "127.0.0.1:$port";
                exec(@ARGV) or die;
              }
              print "pid $pid\\n";
            }
            kill 'KILL', 0;
            """;

    private static final int KEPT_CONNECTIONS = 20;

    private static final String BUDGET_MS = "60000";
    private static final String RESPONSE = "HTTP/1.1 200 OK\r\nConnection: close\r\n"
            + "Transfer-Encoding: chunked\r\n\r\n9\r\ndata: x\n\n\r\n0\r\n\r\n";

    @TempDir
    Path folder;

    private final InetAddress loopback = InetAddress.getLoopbackAddress();
    private Path config;
    private ServerSocket engine;
    private ServerSocket discovery;
    private Process launcher;
    private BufferedReader launcherOutput;
    private int port;

    @BeforeEach
    @Timeout(value = 120, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
    void launch() throws IOException {
        engine = new ServerSocket(0, 64, loopback);
        engine.setSoTimeout(30_000);
        discovery = new ServerSocket(0, 8, loopback);
        FakeDiscovery.serve(discovery);
        config = Files.createTempFile(folder, "junit", ".tmp");
        ServeTest.writeConfiguration(config, discovery, engine);
        ProcessBuilder builder = new ProcessBuilder(
                "perl",
                "-e",
                LAUNCHER,
                ProcessHandle.current().info().command().orElse("java"),
                "-cp",
                System.getProperty("java.class.path"),
                "magpiehub.Main",
                "serve");
        builder.environment().put("ROUTER_CONFIG", config.toString());
        builder.environment().put("TMPDIR", folder.toString());
        builder.environment().put("ROUTER_DISCOVERY", "127.0.0.1:" + discovery.getLocalPort());
        launcher = builder.redirectErrorStream(true).start();
        launcherOutput = launcher.inputReader();
        port = Integer.parseInt(launcherOutput.readLine());
    }

    @AfterEach
    @Timeout(value = 120, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
    void killProcesses() throws IOException {
        launcher.descendants().forEach(ProcessHandle::destroyForcibly);
        launcher.destroyForcibly();
        engine.close();
        discovery.close();
    }

    /** Starts a router process; returns its console port. */
    private int startVersion() throws IOException {
        int console;
        try (ServerSocket free = new ServerSocket(0, 1, loopback)) {
            console = free.getLocalPort();
        }
        launcher.outputWriter().write(console + "\n");
        launcher.outputWriter().flush();
        ServeTest.readUntil(launcherOutput, " started ");
        return console;
    }

    private String callConsole(int console, String line) throws IOException {
        try (Socket socket = new Socket(loopback, console)) {
            socket.setSoTimeout(30_000);
            socket.getOutputStream().write((line + "\n").getBytes(StandardCharsets.US_ASCII));
            return new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII))
                    .readLine();
        }
    }

    private Socket sendRequest(String id) throws IOException {
        Socket socket = new Socket(loopback, port);
        socket.setSoTimeout(30_000);
        socket.getOutputStream().write(RouterProcess.chatRequest(id, BUDGET_MS).getBytes(StandardCharsets.US_ASCII));
        return socket;
    }

    /**
     * Accepts a connection and reads its whole request: bytes that an upstream sends before it has been asked
     * anything count as a malformed response.
     */
    private Socket acceptRequest() throws IOException {
        Socket socket = engine.accept();
        socket.setSoTimeout(30_000);
        BufferedReader in =
                new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
        ServeTest.readUntil(in, "X-Budget-Ms");
        assertEquals("", in.readLine());
        assertEquals('{', in.read());
        assertEquals('}', in.read());
        return socket;
    }

    private static String readStatusLine(Socket socket) throws IOException {
        return new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII)).readLine();
    }

    /** The process that was started first; its id need not be the lowest, since ids begin anew. */
    private long oldestProcessId() {
        return launcher.children()
                .min(Comparator.comparing(
                        process -> process.info().startInstant().orElseThrow()))
                .orElseThrow()
                .pid();
    }

    /** Requests before, during and after an upgrade get exactly one answer each, and only the old process ends. */
    @Test
    void newVersionTakesOverTheSocketWithoutLosingRequests() throws Exception {
        int first = startVersion();
        assertTrue(callConsole(first, "status").startsWith("SUCCESS active"));
        List<Socket> clients = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            clients.add(sendRequest("a" + i));
        }
        List<Socket> held = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            held.add(acceptRequest());
        }
        int second = startVersion();
        assertTrue(callConsole(second, "status").startsWith("SUCCESS active"));
        ProcessHandle oldProcess = ProcessHandle.of(oldestProcessId()).orElseThrow();
        oldProcess.destroy();
        assertTrue(ServeTest.readUntil(launcherOutput, " stopping ").contains("succeeded=\"true\""));
        // The old process accepts no more: these requests go to the new one, and are not mixed up with those that the
        // old one still holds.
        for (int i = 0; i < 4; i++) {
            clients.add(sendRequest("b" + i));
            held.add(acceptRequest());
        }
        for (Socket socket : held) {
            socket.getOutputStream().write(RESPONSE.getBytes(StandardCharsets.US_ASCII));
        }
        for (Socket c : clients) {
            assertEquals("HTTP/1.1 200 OK", readStatusLine(c));
            c.close();
        }
        assertTrue(ServeTest.readUntil(launcherOutput, " stopped ").contains("held=\"0\""));
        oldProcess.onExit().get(30, TimeUnit.SECONDS);
        assertTrue(callConsole(second, "status").startsWith("SUCCESS"));
        try (Socket c = sendRequest("c")) {
            acceptRequest().getOutputStream().write(RESPONSE.getBytes(StandardCharsets.US_ASCII));
            assertEquals("HTTP/1.1 200 OK", readStatusLine(c));
        }
    }

    /** Guards against an id that runs twice: its client leaves the old process and sends it to the new one. */
    @Test
    void anIdOfTheOldProcessIsNotSentByTheNewOne() throws Exception {
        int first = startVersion();
        assertTrue(callConsole(first, "status").startsWith("SUCCESS active"));
        Socket leaving = sendRequest("left");
        Socket staying = sendRequest("open");
        try (Socket one = acceptRequest();
                Socket other = acceptRequest()) {
            leaving.close();
            startVersion();
            ProcessHandle.of(oldestProcessId()).orElseThrow().destroy();
            ServeTest.readUntil(launcherOutput, " stopping ");
            for (String id : List.of("left", "open")) {
                try (Socket again = sendRequest(id)) {
                    assertTrue(readStatusLine(again).startsWith("HTTP/1.1 504 "), "the id has run twice: " + id);
                }
            }
            try (Socket another = sendRequest("another")) {
                acceptRequest().getOutputStream().write(RESPONSE.getBytes(StandardCharsets.US_ASCII));
                assertEquals("HTTP/1.1 200 OK", readStatusLine(another));
            }
        }
        staying.close();
    }

    /** Guards against streams that SIGKILL cuts: the old process takes none late that can't be resumed elsewhere. */
    @Test
    void noStreamThatCannotBeResumedBeginsLateInAnUpgrade() throws Exception {
        Files.writeString(config, Files.readString(config).replace("\"resume\":true", "\"resume\":false"));
        int first = startVersion();
        assertTrue(callConsole(first, "status").startsWith("SUCCESS active"));
        DaemonThreads.newThread("engine", this::streamToAll).start();
        // Idle connections are closed one after the other; with many, some are left late in the time for that.
        List<Socket> clients = new ArrayList<>();
        List<BufferedReader> answers = new ArrayList<>();
        for (int i = 0; i < KEPT_CONNECTIONS; i++) {
            Socket client = new Socket(loopback, port);
            clients.add(client);
            answers.add(ServeTest.reader(client));
            ServeTest.send(client, "GET /up HTTP/1.1\r\nHost: x\r\n\r\n");
            ServeTest.readUntil(answers.get(i), "up");
        }
        startVersion();
        ProcessHandle.of(oldestProcessId()).orElseThrow().destroy();
        MonotonicClock.SYSTEM.sleepUntil(
                MonotonicClock.SYSTEM.micros() + PlannedRestartTest.REQUEST_AFTER_SIGTERM_MICROS);
        for (int i = 0; i < KEPT_CONNECTIONS; i++) {
            String answer = ServeTest.answerOrEnd(
                    clients.get(i), answers.get(i), RouterProcess.chatRequest("a" + i, BUDGET_MS));
            assertTrue(answer.isEmpty() || answer.startsWith("HTTP/1.1 503 "), answer);
            clients.get(i).close();
        }
    }

    /** Answers each request with a stream without an end, until the engine's socket is closed. */
    private void streamToAll() {
        try {
            while (true) {
                Socket upstream = engine.accept();
                DaemonThreads.newThread("stream", () -> PlannedRestartTest.streamForever(upstream))
                        .start();
            }
        } catch (IOException e) {
            // The test is over.
        }
    }

    @Test
    void operatorCommandsApplyToBothProcessesAndSurviveTheUpgrade() throws Exception {
        int first = startVersion();
        assertEquals("FAILURE no engine of that id was ever listed", callConsole(first, "maint-on x"));
        assertEquals("SUCCESS out e", callConsole(first, "maint-on e"));
        assertEquals("SUCCESS out e", callConsole(first, "maint-on e"));
        try (Socket c = sendRequest("a")) {
            assertEquals("HTTP/1.1 503 Service Unavailable", readStatusLine(c));
        }
        int second = startVersion();
        assertEquals("SUCCESS active out=1", callConsole(second, "status"));
        assertEquals("SUCCESS standby", callConsole(second, "standby"));
        ServeTest.readUntil(launcherOutput, " standby ");
        ServeTest.readUntil(launcherOutput, " standby "); // Each process logs it.
        try (Socket up = new Socket(loopback, port)) {
            up.getOutputStream().write("GET /up HTTP/1.1\r\nHost: x\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            assertEquals("HTTP/1.1 503 Service Unavailable", readStatusLine(up));
        }
        ProcessHandle oldProcess = ProcessHandle.of(oldestProcessId()).orElseThrow();
        oldProcess.destroy(); // SIGTERM during standby.
        oldProcess.onExit().get(30, TimeUnit.SECONDS);
        assertEquals("SUCCESS active", callConsole(second, "active"));
        assertEquals("SUCCESS back e", callConsole(second, "maint-off e"));
        try (Socket c = sendRequest("b")) {
            acceptRequest().getOutputStream().write(RESPONSE.getBytes(StandardCharsets.US_ASCII));
            assertEquals("HTTP/1.1 200 OK", readStatusLine(c));
        }
    }

    /** A truncated state file is logged, and the router starts without it. */
    @Test
    void truncatedStateFileDoesNotPreventAStart() throws Exception {
        Files.writeString(folder.resolve("magpiehub-n.operators"), "{\"form\":\"magpie");
        launcher.outputWriter().write("0\n");
        launcher.outputWriter().flush();
        ServeTest.readUntil(launcherOutput, " operators-file-unreadable ");
        ServeTest.readUntil(launcherOutput, " started ");
    }
}
