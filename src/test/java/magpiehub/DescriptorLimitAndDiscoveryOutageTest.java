package magpiehub;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import magpiehub.concurrent.DaemonThreads;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * A router process that runs out of file descriptors while discovery is down, or starts while discovery fails: it must
 * still serve clients and reach discovery again. The descriptor limit is the operating system's ({@code ulimit -n}).
 */
@Timeout(value = 120, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class DescriptorLimitAndDiscoveryOutageTest {
    private static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();
    private static final String REQUEST_BODY = "{\"stream\":true}";

    private static final String CHUNKED_RESPONSE_HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

    private static final int SLOW_DISCOVERY_MILLIS = 3_000;

    /** How long a router may take from its start until it is ready. */
    private static final long MAX_START_NANOS = 10_000_000_000L;

    /** How long the router may take to watch discovery and serve a new client once discovery is back. */
    private static final int RECOVERY_MILLIS = 6_000;

    private static final long RECOVERY_NANOS = RECOVERY_MILLIS * 1_000_000L;

    /** How discovery behaves while a router starts. */
    private enum DiscoveryFault {
        REFUSES,
        NEVER_ANSWERS,
        ANSWERS_503,
        CLOSES_MID_CHUNK,
        ANSWERS_LATE
    }

    @TempDir
    Path folder;

    private Process start(String name, int sockets, int discoveryPort, String knownList) throws IOException {
        Path config = Files.createTempFile(folder, "junit", ".tmp");
        Files.writeString(
                config,
                "{\"name\":\"" + name + "\",\"listen\":\"127.0.0.1:0\","
                        + "\"discovery\":\"127.0.0.1:" + discoveryPort + "\",\"seed\":\"7\","
                        + "\"limits\":{\"sockets\":" + sockets + "},\"settings\":"
                        + Files.readString(Path.of("src/test/resources/site.json")) + knownList + "}");
        ProcessBuilder builder = new ProcessBuilder(
                "sh",
                "-c",
                "ulimit -n " + sockets + " && exec \"$0\" -Xmx64m -Xss512k -cp \"$1\" magpiehub.Main serve",
                ProcessHandle.current().info().command().orElse("java"),
                System.getProperty("java.class.path"));
        builder.environment().keySet().removeAll(List.of("ROUTER_LISTEN", "ROUTER_NAME", "ROUTER_DISCOVERY"));
        builder.environment().putAll(Map.of("ROUTER_CONFIG", config.toString()));
        return builder.redirectErrorStream(true).start();
    }

    private static String listOf(ServerSocket engine) {
        return "{\"revision\":1,\"complete\":true,\"members\":[{\"id\":\"e\",\"host_port\":\"127.0.0.1:"
                + engine.getLocalPort() + "\",\"phase\":\"Ready\"}]}";
    }

    private static String knownListSetting(ServerSocket engine) {
        return ",\"known\":" + listOf(engine);
    }

    private static int awaitListeningPort(BufferedReader log) throws IOException {
        return Integer.parseInt(
                ServeTest.readUntil(log, " started ").replaceAll(".*listen=\"127.0.0.1:(\\d+)\".*", "$1"));
    }

    /** Reads the log on a thread of its own: a full pipe would block the router. */
    private static void collectInBackground(BufferedReader log, StringBuffer lines) {
        DaemonThreads.newThread("log", () -> {
                    try {
                        for (String line = log.readLine(); line != null; line = log.readLine()) {
                            lines.append(line).append('\n');
                        }
                    } catch (IOException e) {
                        // The test is over.
                    }
                })
                .start();
    }

    private static void sendRequest(Socket client, String id) throws IOException {
        ServeTest.send(
                client,
                "POST /v1/chat/completions HTTP/1.1\r\nX-Call-Id: " + id
                        + "\r\nX-Call-Class: chat\r\nX-Budget-Ms: 20000\r\nContent-Length: " + REQUEST_BODY.length()
                        + "\r\n\r\n" + REQUEST_BODY);
    }

    /** An upstream that answers each request at once. */
    private static void serveInBackground(ServerSocket engine) {
        DaemonThreads.newThread("engine", () -> {
                    while (!engine.isClosed()) {
                        try {
                            Socket connection = engine.accept();
                            DaemonThreads.newThread("connection", () -> answerAll(connection))
                                    .start();
                        } catch (IOException e) {
                            return;
                        }
                    }
                })
                .start();
    }

    private static void answerAll(Socket connection) {
        try (connection;
                BufferedReader in = ServeTest.reader(connection)) {
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                if (line.isEmpty()) {
                    in.read(new char[REQUEST_BODY.length()]);
                    ServeTest.send(connection, CHUNKED_RESPONSE_HEAD + "e\r\ndata: [DONE]\n\n\r\n0\r\n\r\n");
                }
            }
        } catch (IOException e) {
            // The router closed the connection.
        }
    }

    private static String readStatusLine(Socket client) throws IOException {
        return ServeTest.reader(client).readLine();
    }

    @SuppressWarnings("JdkObsolete") // StringBuffer: written by one thread and read by another.
    private void assertRecoversBesideIdleClients(int sockets) throws Exception {
        List<Socket> idleClients = new ArrayList<>();
        StringBuffer logged = new StringBuffer();
        ServerSocket discovery = new ServerSocket(0, 8, LOOPBACK);
        int discoveryPort = discovery.getLocalPort();
        try (ServerSocket engine = new ServerSocket(0, 512, LOOPBACK);
                Socket servedClient = new Socket()) {
            serveInBackground(engine);
            Process router = start("idle-clients", sockets, discoveryPort, knownListSetting(engine));
            try (BufferedReader log = router.inputReader()) {
                int port = awaitListeningPort(log);
                Socket watch = discovery.accept();
                ServeTest.send(watch, CHUNKED_RESPONSE_HEAD + "1\r\n\n\r\n");
                ServeTest.readUntil(log, " list-confirmed ");
                collectInBackground(log, logged);
                stopDiscovery(discovery, watch);
                servedClient.connect(new InetSocketAddress(LOOPBACK, port));
                sendRequest(servedClient, "first");
                assertEquals("HTTP/1.1 200 OK", readStatusLine(servedClient));
                connectIdleClients(sockets + 200, port, idleClients);
                assertOpenDescriptorsAtMost(sockets, router);
                assertRecoversInTime(discoveryPort, port);
                assertFalse(logged.indexOf("accept-failure") >= 0, logged.toString());
                assertTrue(logged.indexOf("discovery-failed") >= 0, "the log is still written");
            } finally {
                router.destroyForcibly();
                for (Socket client : idleClients) {
                    client.close();
                }
            }
        }
    }

    /** Ends the router's watch; further connections to discovery are refused. */
    private static void stopDiscovery(ServerSocket discovery, Socket watch) throws IOException {
        discovery.close();
        watch.close();
    }

    /** Opens connections that stay open after an answer, stop in the middle of a request, or send nothing. */
    private static void connectIdleClients(int count, int port, List<Socket> opened) {
        for (int i = 0; i < count; i++) {
            Socket client = new Socket();
            opened.add(client);
            try {
                client.connect(new InetSocketAddress(LOOPBACK, port), 20);
                if (i % 3 == 0) {
                    ServeTest.send(client, "GET /up HTTP/1.1\r\n\r\n");
                } else if (i % 3 == 1) {
                    ServeTest.send(client, "GET /up HT");
                }
            } catch (IOException e) {
                // The router accepts no more, or closed the connection to free its descriptor.
            }
        }
    }

    private static void assertOpenDescriptorsAtMost(int limit, Process router) throws IOException {
        long openDescriptors;
        try (var descriptors = Files.list(Path.of("/proc/" + router.pid() + "/fd"))) {
            openDescriptors = descriptors.count();
        }
        assertTrue(openDescriptors <= limit, openDescriptors + " descriptors of " + limit);
    }

    /** Discovery comes back: within {@link #RECOVERY_NANOS} it is watched again, and a new client is served. */
    private static void assertRecoversInTime(int discoveryPort, int port) throws Exception {
        long startNanos = System.nanoTime();
        try (ServerSocket discovery = new ServerSocket(discoveryPort, 8, LOOPBACK)) {
            discovery.setSoTimeout(RECOVERY_MILLIS);
            try (Socket watch = discovery.accept()) {
                assertTrue(ServeTest.readUntil(ServeTest.reader(watch), "GET ").contains("follow=1"));
                ServeTest.send(watch, CHUNKED_RESPONSE_HEAD + "1\r\n\n\r\n");
                assertTrue(System.nanoTime() - startNanos < RECOVERY_NANOS, "discovery was not watched again in time");
                assertNewClientIsServed(port, startNanos);
            }
        }
    }

    /**
     * A client that retries after being rejected is accepted, and an upstream connection can be opened for it: the
     * router closes connections that have been idle for 2 s to free their descriptors.
     */
    private static void assertNewClientIsServed(int port, long startNanos) throws Exception {
        String status = "";
        for (int i = 0; !"HTTP/1.1 200 OK".equals(status); i++) {
            assertTrue(System.nanoTime() - startNanos < RECOVERY_NANOS, "not served in time: " + status);
            try (Socket client = new Socket(LOOPBACK, port)) {
                sendRequest(client, "again" + i);
                status = readStatusLine(client);
            }
            Thread.sleep(50);
        }
    }

    @Test
    void recoversWhenIdleClientsExhaust256Descriptors() throws Exception {
        assertRecoversBesideIdleClients(256);
    }

    @Test
    void recoversWhenIdleClientsExhaust1024Descriptors() throws Exception {
        assertRecoversBesideIdleClients(1024);
    }

    /** With a list in its configuration whatever discovery does; without one, once slow discovery has sent it. */
    @Test
    void routerIsReadyInTimeWhateverDiscoveryDoes() throws Exception {
        List<Process> routers = new ArrayList<>();
        List<ServerSocket> servers = new ArrayList<>();
        try (ServerSocket engine = new ServerSocket(0, 512, LOOPBACK)) {
            serveInBackground(engine);
            for (DiscoveryFault fault : DiscoveryFault.values()) {
                ServerSocket discovery = new ServerSocket(0, 64, LOOPBACK);
                servers.add(discovery);
                serveFaulty(discovery, fault, listOf(engine) + "\n");
                long startNanos = System.nanoTime();
                String knownList = fault == DiscoveryFault.ANSWERS_LATE ? "" : knownListSetting(engine);
                Process router = start(fault.name(), 256, discovery.getLocalPort(), knownList);
                routers.add(router);
                assertReadyInTime(router, fault, startNanos);
            }
        } finally {
            routers.forEach(Process::destroyForcibly);
            for (ServerSocket server : servers) {
                server.close();
            }
        }
    }

    @SuppressWarnings("JdkObsolete") // StringBuffer: written by one thread and read by another.
    private static void assertReadyInTime(Process router, DiscoveryFault fault, long startNanos) throws Exception {
        BufferedReader log = router.inputReader();
        int port = awaitListeningPort(log);
        collectInBackground(log, new StringBuffer());
        String status = "";
        for (int i = 0; !status.contains(" 200 "); i++) {
            assertTrue(System.nanoTime() - startNanos < MAX_START_NANOS, fault + ": not ready in time");
            // Clients send requests before the router is ready.
            try (Socket earlyClient = new Socket(LOOPBACK, port);
                    Socket healthCheck = new Socket(LOOPBACK, port)) {
                sendRequest(earlyClient, "early" + i);
                ServeTest.send(healthCheck, "GET /up HTTP/1.1\r\n\r\n");
                status = readStatusLine(healthCheck);
            }
            Thread.sleep(20);
        }
        try (Socket client = new Socket(LOOPBACK, port)) {
            sendRequest(client, "served");
            assertEquals(
                    "HTTP/1.1 200 OK", readStatusLine(client), fault + ": not served although the health check passed");
        }
    }

    private static void serveFaulty(ServerSocket discovery, DiscoveryFault fault, String list) throws IOException {
        if (fault == DiscoveryFault.REFUSES) {
            discovery.close();
            return;
        }
        @SuppressWarnings("ModifiedButNotUsed") // Keeps the sockets reachable, and so open.
        List<Socket> open = new ArrayList<>();
        DaemonThreads.newThread("discovery", () -> {
                    while (!discovery.isClosed()) {
                        try {
                            Socket watch = discovery.accept();
                            open.add(watch);
                            answerFaultily(watch, fault, list);
                        } catch (IOException | InterruptedException e) {
                            // This watch has ended; accepts the next.
                        }
                    }
                })
                .start();
    }

    private static void answerFaultily(Socket watch, DiscoveryFault fault, String list)
            throws IOException, InterruptedException {
        switch (fault) {
            case ANSWERS_503 -> ServeTest.send(watch, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
            case CLOSES_MID_CHUNK -> {
                ServeTest.send(watch, CHUNKED_RESPONSE_HEAD + "20\r\n{\"revision\":3,");
                watch.close();
            }
            case ANSWERS_LATE -> {
                Thread.sleep(SLOW_DISCOVERY_MILLIS);
                ServeTest.send(
                        watch, CHUNKED_RESPONSE_HEAD + Integer.toHexString(list.length()) + "\r\n" + list + "\r\n");
            }
            default -> {
                // No answer.
            }
        }
    }
}
