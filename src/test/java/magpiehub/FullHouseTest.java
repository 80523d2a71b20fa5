package magpiehub;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

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
import org.junit.Rule;
import org.junit.Test;
import org.junit.rules.TemporaryFolder;
import org.junit.rules.Timeout;

/** The program as a process that is short of descriptors, or starts while discovery fails: what it must be
 *  able to do all the same. The limit on descriptors is the system's own. */
public class FullHouseTest {
    private static final InetAddress HERE = InetAddress.getLoopbackAddress();
    private static final String CONTENT = "{\"stream\":true}";

    /** How discovery fails while a router starts. */
    private enum Fails {
        REFUSES,
        NEVER_ANSWERS,
        SAYS_503,
        CUTS,
        SLOW
    }

    @Rule
    public final Timeout patience = Timeout.seconds(120);

    @Rule
    public final TemporaryFolder folder = new TemporaryFolder();

    private Process start(String name, int sockets, int discovery, String known) throws IOException {
        Path config = folder.newFile().toPath();
        Files.writeString(
                config,
                "{\"name\":\"" + name + "\",\"listen\":\"127.0.0.1:0\","
                        + "\"discovery\":\"127.0.0.1:" + discovery + "\",\"seed\":\"7\","
                        + "\"limits\":{\"sockets\":" + sockets + "},\"settings\":"
                        + Files.readString(Path.of("src/test/resources/site.json")) + known + "}");
        ProcessBuilder b = new ProcessBuilder(
                "sh",
                "-c",
                "ulimit -n " + sockets + " && exec \"$0\" -Xmx64m -Xss512k -cp \"$1\" magpiehub.Main serve",
                ProcessHandle.current().info().command().orElse("java"),
                System.getProperty("java.class.path"));
        b.environment().keySet().removeAll(List.of("ROUTER_LISTEN", "ROUTER_NAME", "ROUTER_DISCOVERY"));
        b.environment().putAll(Map.of("ROUTER_CONFIG", config.toString()));
        return b.redirectErrorStream(true).start();
    }

    private static String list(ServerSocket engine) {
        return "{\"revision\":1,\"complete\":true,\"members\":[{\"id\":\"e\",\"host_port\":\"127.0.0.1:"
                + engine.getLocalPort() + "\",\"phase\":\"Ready\"}]}";
    }

    private static String known(ServerSocket engine) {
        return ",\"known\":" + list(engine);
    }

    private static int port(BufferedReader log) throws IOException {
        return Integer.parseInt(ServeTest.until(log, " started ").replaceAll(".*listen=\"127.0.0.1:(\\d+)\".*", "$1"));
    }

    /** Nothing that a test does not wait for may fill a pipe. */
    private static void drain(BufferedReader log, StringBuffer to) {
        Thread t = new Thread(() -> {
            try {
                for (String l = log.readLine(); l != null; l = log.readLine()) {
                    to.append(l).append('\n');
                }
            } catch (IOException e) {
                // The test is over.
            }
        });
        t.setDaemon(true);
        t.start();
    }

    private static void ask(Socket s, String id) throws IOException {
        ServeTest.say(
                s,
                "POST /v1/chat/completions HTTP/1.1\r\nX-Call-Id: " + id
                        + "\r\nX-Call-Class: chat\r\nX-Budget-Ms: 20000\r\nContent-Length: " + CONTENT.length()
                        + "\r\n\r\n" + CONTENT);
    }

    /** An engine that answers each request at once. */
    private static void serve(ServerSocket engine) {
        Thread t = new Thread(() -> {
            while (!engine.isClosed()) {
                try {
                    Socket s = engine.accept();
                    Thread one = new Thread(() -> answer(s));
                    one.setDaemon(true);
                    one.start();
                } catch (IOException e) {
                    return;
                }
            }
        });
        t.setDaemon(true);
        t.start();
    }

    private static void answer(Socket s) {
        try (s;
                BufferedReader in = ServeTest.reader(s)) {
            for (String l = in.readLine(); l != null; l = in.readLine()) {
                if (l.isEmpty()) {
                    in.read(new char[CONTENT.length()]);
                    ServeTest.say(
                            s,
                            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                                    + "e\r\ndata: [DONE]\n\n\r\n0\r\n\r\n");
                }
            }
        } catch (IOException e) {
            // The router has closed it.
        }
    }

    private static String answered(Socket s) throws IOException {
        return ServeTest.reader(s).readLine();
    }

    @SuppressWarnings("JdkObsolete") // StringBuffer: written by one thread and read by another.
    private void idleClientsFill(int sockets) throws Exception {
        List<Socket> idle = new ArrayList<>();
        StringBuffer seen = new StringBuffer();
        ServerSocket discovery = new ServerSocket(0, 8, HERE);
        int at = discovery.getLocalPort();
        try (ServerSocket engine = new ServerSocket(0, 512, HERE);
                Socket served = new Socket()) {
            serve(engine);
            Process p = start("full", sockets, at, known(engine));
            try (BufferedReader log = p.inputReader()) {
                int port = port(log);
                drain(log, seen);
                Socket watch = discovery.accept();
                discovery.close();
                watch.close(); // Down from here on: connections are refused.
                served.connect(new InetSocketAddress(HERE, port));
                ask(served, "first");
                assertEquals("HTTP/1.1 200 OK", answered(served));
                for (int i = 0; i < sockets + 200; i++) {
                    Socket s = new Socket();
                    idle.add(s);
                    try {
                        s.connect(new InetSocketAddress(HERE, port), 20);
                        if (i % 3 == 0) {
                            ServeTest.say(s, "GET /up HTTP/1.1\r\n\r\n");
                        } else if (i % 3 == 1) {
                            ServeTest.say(s, "GET /up HT");
                        }
                    } catch (IOException e) {
                        // No more are let in, or it was closed to make room.
                    }
                }
                long files;
                try (var descriptors = Files.list(Path.of("/proc/" + p.pid() + "/fd"))) {
                    files = descriptors.count();
                }
                assertTrue(files + " descriptors of " + sockets, files <= sockets);
                long back = System.nanoTime();
                try (ServerSocket again = new ServerSocket(at, 8, HERE)) {
                    again.setSoTimeout(6_000);
                    try (Socket w = again.accept()) {
                        assertTrue(ServeTest.until(ServeTest.reader(w), "GET ").contains("follow=1"));
                        ServeTest.say(w, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n");
                        assertTrue("in time", System.nanoTime() - back < 6_000_000_000L);
                        // An engine's connection is to be had as well, and one who comes again after being
                        // refused is let in: room is made from those who have rested for 2 s.
                        String got = "";
                        for (int i = 0; !"HTTP/1.1 200 OK".equals(got); i++) {
                            assertTrue("turned away: " + got, System.nanoTime() - back < 6_000_000_000L);
                            try (Socket fresh = new Socket(HERE, port)) {
                                ask(fresh, "again" + i);
                                got = answered(fresh);
                            }
                            Thread.sleep(50);
                        }
                    }
                }
                assertFalse(seen.toString(), seen.indexOf("accept-failure") >= 0);
                assertTrue("the log is written still", seen.indexOf("discovery-failed") >= 0);
            } finally {
                p.destroyForcibly();
                for (Socket s : idle) {
                    s.close();
                }
            }
        }
    }

    @Test
    public void idleClientsFillFewDescriptorsWhileDiscoveryIsDown() throws Exception {
        idleClientsFill(256);
    }

    @Test
    public void idleClientsFillManyDescriptorsWhileDiscoveryIsDown() throws Exception {
        idleClientsFill(1024);
    }

    /** With a list of its own, whatever discovery does; without one, as soon as a slow one has told it. */
    @SuppressWarnings("JdkObsolete") // StringBuffer: written by one thread and read by another.
    @Test
    public void aRestartedRouterIsReadyInTime() throws Exception {
        List<Process> all = new ArrayList<>();
        List<ServerSocket> servers = new ArrayList<>();
        try (ServerSocket engine = new ServerSocket(0, 512, HERE)) {
            serve(engine);
            for (Fails f : Fails.values()) {
                ServerSocket d = new ServerSocket(0, 64, HERE);
                servers.add(d);
                discovery(d, f, list(engine) + "\n");
                long begun = System.nanoTime();
                Process p = start(f.name(), 256, d.getLocalPort(), f == Fails.SLOW ? "" : known(engine));
                all.add(p);
                BufferedReader log = p.inputReader();
                int port = port(log);
                drain(log, new StringBuffer());
                String up = "";
                for (int i = 0; !up.contains(" 200 "); i++) {
                    assertTrue(f + ": not ready in time", System.nanoTime() - begun < 10_000_000_000L);
                    // Clients knock already.
                    try (Socket early = new Socket(HERE, port);
                            Socket s = new Socket(HERE, port)) {
                        ask(early, "early" + i);
                        ServeTest.say(s, "GET /up HTTP/1.1\r\n\r\n");
                        up = answered(s);
                    }
                    Thread.sleep(20);
                }
                try (Socket s = new Socket(HERE, port)) {
                    ask(s, "served");
                    assertEquals(f + ": it said that it can serve", "HTTP/1.1 200 OK", answered(s));
                }
            }
        } finally {
            all.forEach(Process::destroyForcibly);
            for (ServerSocket s : servers) {
                s.close();
            }
        }
    }

    private static void discovery(ServerSocket d, Fails how, String list) throws IOException {
        if (how == Fails.REFUSES) {
            d.close();
            return;
        }
        @SuppressWarnings("ModifiedButNotUsed") // Keeps the sockets reachable, and so open.
        List<Socket> open = new ArrayList<>();
        Thread t = new Thread(() -> {
            while (!d.isClosed()) {
                try {
                    Socket s = d.accept();
                    open.add(s);
                    if (how == Fails.SAYS_503) {
                        ServeTest.say(s, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
                    } else if (how == Fails.CUTS) {
                        ServeTest.say(
                                s, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + "20\r\n{\"revision\":3,");
                        s.close();
                    } else if (how == Fails.SLOW) {
                        Thread.sleep(3_000);
                        ServeTest.say(
                                s,
                                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                                        + Integer.toHexString(list.length()) + "\r\n" + list + "\r\n");
                    }
                } catch (IOException | InterruptedException e) {
                    // The next one.
                }
            }
        });
        t.setDaemon(true);
        t.start();
    }
}
