package magpiehub.discovery;

import static java.nio.charset.StandardCharsets.UTF_8;
import static magpiehub.ServeTest.readUntil;
import static magpiehub.ServeTest.sendSighup;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.File;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import magpiehub.concurrent.MonotonicClock;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests the whole program with a registry: starts it, moves it to another registry by SIGHUP, and stops it. */
class ServeRegistryTest {
    private static final int TIMEOUT_MILLIS = 30_000;
    private static final int DEADLINE_MILLIS = 1000;
    private static final long LEASE_MILLIS = 10_000;
    private static final long SHORT_LEASE_MILLIS = 3_000;
    /** SIGKILL comes no sooner than this after the longest deadline. */
    private static final int KILL_AFTER_DEADLINE_MILLIS = 700;

    private static final String REQUEST = "POST /v1/chat/completions HTTP/1.1\r\nX-Call-Id: 1\r\n"
            + "X-Call-Class: chat\r\nX-Budget-Ms: 60000\r\nContent-Length: 2\r\n\r\n{}";
    private static final String RESPONSE =
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + "9\r\ndata: x\n\n\r\n0\r\n\r\n";

    private final InetAddress loopback;

    public ServeRegistryTest() throws Exception {
        loopback = InetAddress.getByName("127.0.0.1");
    }

    @TempDir
    Path folder;

    /** Writes the registry settings; {@code extraMembers} is appended to their members. */
    private void writeRegistrySettings(FakeRegistry registry, String extraMembers) throws Exception {
        writeRegistrySettings(registry, LEASE_MILLIS, extraMembers);
    }

    private void writeRegistrySettings(FakeRegistry registry, long leaseMillis, String extraMembers) throws Exception {
        Path deploy = folder.resolve("deploy");
        Files.createDirectories(deploy);
        Files.writeString(
                deploy.resolve("registry.json"),
                "{\"kind\":\"etcd\",\"endpoints\":[\"" + registry.addresses().get(0) + "\"],\"prefix\":\""
                        + FakeRegistry.PREFIX + "\",\"announce\":{\"prefix\":\"routers/\",\"ttl_ms\":" + leaseMillis
                        + "}" + extraMembers + "}");
    }

    private Process startRouter() throws Exception {
        Path config = folder.resolve("config.json");
        Files.writeString(
                config,
                "{\"name\":\"n1\",\"listen\":\"127.0.0.1:0\",\"seed\":\"7\",\"settings\":"
                        + Files.readString(Path.of("src/test/resources/site.json"))
                                .replace("\"deadlineMs\":4000", "\"deadlineMs\":" + DEADLINE_MILLIS)
                        + "}");
        ProcessBuilder builder = new ProcessBuilder(
                        ProcessHandle.current().info().command().orElse("java"),
                        "-cp",
                        absoluteClassPath(),
                        "magpiehub.Main",
                        "serve")
                .directory(folder.toFile());
        builder.environment().put("ROUTER_CONFIG", config.toString());
        builder.environment().keySet().removeAll(List.of("ROUTER_LISTEN", "ROUTER_NAME", "ROUTER_DISCOVERY"));
        return builder.redirectErrorStream(true).start();
    }

    private static String absoluteClassPath() {
        StringBuilder path = new StringBuilder();
        for (String entry : System.getProperty("java.class.path").split(File.pathSeparator)) {
            path.append(Path.of(entry).toAbsolutePath()).append(File.pathSeparator);
        }
        return path.toString();
    }

    /** Reads the log until the router is ready, in any order of the events; returns the port that it listens on. */
    private static int awaitServing(BufferedReader log) throws Exception {
        StringBuilder seen = new StringBuilder();
        for (String event : List.of(" started ", " registry-list ", " registry-announced ")) {
            while (seen.indexOf(event) < 0) {
                seen.append(readUntil(log, " ")).append('\n');
            }
        }
        return Integer.parseInt(seen.toString().replaceAll("(?s).* started [^\n]*listen=\"127.0.0.1:(\\d+)\".*", "$1"));
    }

    /** Sends a request to the router, responds as the engine, and checks that the client receives the response. */
    private void assertServes(int port, ServerSocket engine) throws Exception {
        try (Socket client = new Socket(loopback, port)) {
            client.setSoTimeout(TIMEOUT_MILLIS);
            client.getOutputStream().write(REQUEST.getBytes(UTF_8));
            try (Socket upstream = engine.accept()) {
                readUntil(reader(upstream.getInputStream()), "X-Budget-Ms");
                upstream.getOutputStream().write(RESPONSE.getBytes(UTF_8));
                assertEquals("HTTP/1.1 200 OK", reader(client.getInputStream()).readLine());
            }
        }
    }

    private static BufferedReader reader(InputStream in) {
        return new BufferedReader(new InputStreamReader(in, UTF_8));
    }

    /** Guards against requests without an answer at SIGKILL: the times of a shutdown count from the signal. */
    @Test
    void aRequestIsAnsweredBeforeTheKillAlthoughTheRegistryDoesNotAnswer() throws Exception {
        try (ServerSocket engine = new ServerSocket(0, 8, loopback);
                FakeRegistry registry = new FakeRegistry(1)) {
            engine.setSoTimeout(TIMEOUT_MILLIS);
            registry.put("e", "{\"host_port\":\"127.0.0.1:" + engine.getLocalPort() + "\"}");
            writeRegistrySettings(registry, SHORT_LEASE_MILLIS, "");
            Process router = startRouter();
            try (BufferedReader log = router.inputReader();
                    Socket client = new Socket(loopback, awaitServing(log))) {
                client.getOutputStream().write(REQUEST.getBytes(UTF_8));
                try (Socket upstream = engine.accept()) {
                    readUntil(reader(upstream.getInputStream()), "X-Budget-Ms");
                    // The registry answers nothing while another thread holds its lock, not even a renewal in progress.
                    synchronized (registry) {
                        MonotonicClock.SYSTEM.sleepUntil(
                                MonotonicClock.SYSTEM.micros() + SHORT_LEASE_MILLIS * 1000 / 2);
                        router.toHandle().destroy();
                        client.setSoTimeout(DEADLINE_MILLIS + KILL_AFTER_DEADLINE_MILLIS);
                        assertEquals(
                                "HTTP/1.1 503 Service Unavailable",
                                reader(client.getInputStream()).readLine());
                    }
                }
            } finally {
                router.destroyForcibly();
            }
        }
    }

    @Test
    void servesMovesAndDeregisters() throws Exception {
        try (ServerSocket engine = new ServerSocket(0, 8, loopback);
                FakeRegistry first = new FakeRegistry(1);
                FakeRegistry second = new FakeRegistry(1)) {
            engine.setSoTimeout(TIMEOUT_MILLIS);
            first.put("e", "{\"host_port\":\"127.0.0.1:" + engine.getLocalPort() + "\"}");
            second.put("other", RegistryFixtures.entryJson(1, "Terminating"));
            writeRegistrySettings(first, "");
            Process router = startRouter();
            try (BufferedReader log = router.inputReader()) {
                assertServes(awaitServing(log), engine);
                writeRegistrySettings(second, ",\"tmeout_ms\":5");
                sendSighup(router);
                assertTrue(readUntil(log, " reload-failed ").contains("registry.json.tmeout_ms is not known"));
                writeRegistrySettings(second, "");
                sendSighup(router);
                readUntil(log, " registry-moved ");
                readUntil(log, " registry-list ");
                router.toHandle().destroy();
                readUntil(log, " registry-deregistered ");
                assertTrue(readUntil(log, " stopped ").contains("held=\"0\""));
                assertTrue(router.waitFor(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
                synchronized (first) {
                    assertFalse(first.etcd.leases.values().stream().anyMatch(k -> k.contains("routers/n1")));
                }
            } finally {
                router.destroyForcibly();
            }
        }
    }
}
