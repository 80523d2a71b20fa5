package magpiehub.discovery;

import static java.nio.charset.StandardCharsets.UTF_8;
import static magpiehub.ServeTest.hangUp;
import static magpiehub.ServeTest.until;
import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import java.io.BufferedReader;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.Rule;
import org.junit.Test;
import org.junit.rules.TemporaryFolder;

/** The whole program with a registry of its own: started, moved to another one by SIGHUP, and ended. */
public class ServeRegistryTest {
    @Rule
    public final TemporaryFolder folder = new TemporaryFolder();

    private void registry(FakeRegistry of, String more) throws Exception {
        Path deploy = folder.getRoot().toPath().resolve("deploy");
        Files.createDirectories(deploy);
        Files.writeString(
                deploy.resolve("registry.json"),
                "{\"kind\":\"etcd\",\"endpoints\":[\""
                        + of.addresses().get(0) + "\"],\"prefix\":\"" + FakeRegistry.PREFIX
                        + "\",\"announce\":{\"prefix\":"
                        + "\"routers/\"}" + more + "}");
    }

    private Process start() throws Exception {
        Path config = folder.getRoot().toPath().resolve("config.json");
        Files.writeString(
                config,
                "{\"name\":\"n1\",\"listen\":\"127.0.0.1:0\",\"seed\":\"7\",\"settings\":"
                        + Files.readString(Path.of("src/test/resources/site.json")) + "}");
        StringBuilder path = new StringBuilder();
        for (String p : System.getProperty("java.class.path").split(java.io.File.pathSeparator)) {
            path.append(Path.of(p).toAbsolutePath()).append(java.io.File.pathSeparator);
        }
        ProcessBuilder b = new ProcessBuilder(
                        ProcessHandle.current().info().command().orElse("java"),
                        "-cp",
                        path.toString(),
                        "magpiehub.Main",
                        "serve")
                .directory(folder.getRoot());
        b.environment().put("ROUTER_CONFIG", config.toString());
        b.environment().keySet().removeAll(java.util.List.of("ROUTER_LISTEN", "ROUTER_NAME", "ROUTER_DISCOVERY"));
        return b.redirectErrorStream(true).start();
    }

    @Test
    public void servesByItAndLeavesItInOrder() throws Exception {
        InetAddress loopback = InetAddress.getByName("127.0.0.1");
        try (ServerSocket engine = new ServerSocket(0, 8, loopback);
                FakeRegistry first = new FakeRegistry(1);
                FakeRegistry second = new FakeRegistry(1)) {
            engine.setSoTimeout(30_000);
            first.put("e", "{\"host_port\":\"127.0.0.1:" + engine.getLocalPort() + "\"}");
            second.put("other", RegistryFixtures.entryJson(1, "Terminating"));
            registry(first, "");
            Process p = start();
            try (BufferedReader log = p.inputReader()) {
                // In whatever order.
                StringBuilder seen = new StringBuilder();
                for (String part : new String[] {" started ", " registry-list ", " registry-announced "}) {
                    while (seen.indexOf(part) < 0) {
                        seen.append(until(log, " ")).append('\n');
                    }
                }
                int port = Integer.parseInt(
                        seen.toString().replaceAll("(?s).* started [^\n]*listen=\"127.0.0.1:(\\d+)\".*", "$1"));
                try (Socket client = new Socket(loopback, port)) {
                    client.setSoTimeout(30_000);
                    client.getOutputStream()
                            .write(("POST /v1/chat/completions HTTP/1.1\r\nX-Call-Id: 1\r\n"
                                            + "X-Call-Class: chat\r\nX-Budget-Ms: 60000\r\nContent-Length: 2\r\n\r\n{}")
                                    .getBytes(UTF_8));
                    try (Socket at = engine.accept()) {
                        until(
                                new BufferedReader(new InputStreamReader(at.getInputStream(), StandardCharsets.UTF_8)),
                                "X-Budget-Ms");
                        at.getOutputStream()
                                .write(("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                                                + "9\r\ndata: x\n\n\r\n0\r\n\r\n")
                                        .getBytes(UTF_8));
                        assertEquals(
                                "HTTP/1.1 200 OK",
                                new BufferedReader(
                                                new InputStreamReader(client.getInputStream(), StandardCharsets.UTF_8))
                                        .readLine());
                    }
                }
                registry(second, ",\"tmeout_ms\":5");
                hangUp(p);
                assertTrue(until(log, " reload-failed ").contains("registry.json.tmeout_ms is not known"));
                registry(second, "");
                hangUp(p);
                until(log, " registry-moved ");
                until(log, " registry-list ");
                p.toHandle().destroy();
                until(log, " registry-deregistered ");
                assertTrue(until(log, " stopped ").contains("held=\"0\""));
                assertTrue(p.waitFor(30, TimeUnit.SECONDS));
                synchronized (first) {
                    assertFalse(first.etcd.leases.values().stream().anyMatch(k -> k.contains("routers/n1")));
                }
            } finally {
                p.destroyForcibly();
            }
        }
    }
}
