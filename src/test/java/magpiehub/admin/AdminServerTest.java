package magpiehub.admin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import magpiehub.telemetry.EventLog;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests that each connection sends one line, and that clients don't delay each other. */
class AdminServerTest {
    private final EventLog noLog = new EventLog() {
        @Override
        public void count(String name) {}

        @Override
        public void log(String what, String... namesAndValues) {}
    };
    private final InetAddress loopback = InetAddress.getLoopbackAddress();
    private AdminServer server;

    @BeforeEach
    void listen() throws IOException {
        server = new AdminServer(new InetSocketAddress(loopback, 0), line -> "SUCCESS " + line, noLog);
        server.start();
    }

    private Socket connect() throws IOException {
        Socket s = new Socket(loopback, server.port());
        s.setSoTimeout(60_000);
        return s;
    }

    private static String readResponse(Socket s) throws IOException {
        return new String(s.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    }

    private String send(String text, boolean closeOutput) throws IOException {
        try (Socket s = connect()) {
            s.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
            if (closeOutput) {
                s.shutdownOutput();
            }
            return readResponse(s);
        }
    }

    @Test
    void oneCompleteLineIsACommand() throws IOException {
        assertEquals("SUCCESS status\n", send("status\n", false));
        assertEquals("SUCCESS maint-on e1\n", send("maint-on e1\r\n", false));
    }

    @Test
    void malformedInputIsAnsweredWithTheReason() throws IOException {
        assertEquals("FAILURE the line has no end\n", send("stat", true));
        assertEquals("FAILURE no line\n", send("", true));
        assertEquals("FAILURE one line to a connection\n", send("status\nstatus\n", false));
        assertEquals("FAILURE the line is no printable ASCII\n", send("st\u00e4tus\u0001\n", false));
        assertEquals("FAILURE the line is longer than 512 bytes\n", send("x".repeat(2000), true));
    }

    /** More connections than the limit send no complete line; the next one still gets a response. */
    @Test
    void idleConnectionsDelayNoOther() throws IOException {
        List<Socket> idleConnections = new ArrayList<>();
        try {
            for (int i = 0; i < 2 * AdminServer.MAX_CONNECTIONS; i++) {
                Socket s = connect();
                s.getOutputStream().write("sta".getBytes(StandardCharsets.US_ASCII));
                idleConnections.add(s);
            }
            assertEquals("SUCCESS status\n", send("status\n", false));
            // The oldest ones were closed; the newest ones are still open.
            assertTrue(isClosed(idleConnections.get(0)));
            Socket last = idleConnections.get(idleConnections.size() - 1);
            last.getOutputStream().write("tus\n".getBytes(StandardCharsets.US_ASCII));
            assertEquals("SUCCESS status\n", readResponse(last));
        } finally {
            for (Socket s : idleConnections) {
                s.close();
            }
        }
    }

    private static boolean isClosed(Socket s) {
        try {
            return s.getInputStream().read() < 0;
        } catch (IOException e) {
            return true;
        }
    }

    @Test
    void anExceptionIsAnsweredAsAnInternalError() throws IOException {
        AdminServer broken = new AdminServer(
                new InetSocketAddress(loopback, 0),
                line -> {
                    throw new IllegalStateException("x");
                },
                noLog);
        broken.start();
        try (Socket s = new Socket(loopback, broken.port())) {
            s.getOutputStream().write('\n');
            String response = readResponse(s);
            assertEquals("FAILURE internal error\n", response);
            assertFalse(response.contains("IllegalState"));
        }
    }
}
