package magpiehub.admin;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import magpiehub.telemetry.EventLog;
import org.junit.Before;
import org.junit.Test;

/** The console's form: one whole line a connection, and nobody waits for anybody else. */
public class AdminServerTest {
    private final EventLog silent = new EventLog() {
        @Override
        public void count(String name) {}

        @Override
        public void log(String what, String... namesAndValues) {}
    };
    private final InetAddress loopback = InetAddress.getLoopbackAddress();
    private AdminServer console;

    @Before
    public void listen() throws IOException {
        console = new AdminServer(new InetSocketAddress(loopback, 0), l -> "SUCCESS " + l, silent);
        console.start();
    }

    private Socket connect() throws IOException {
        Socket s = new Socket(loopback, console.port());
        s.setSoTimeout(60_000);
        return s;
    }

    private static String answer(Socket s) throws IOException {
        return new String(s.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    }

    private String said(String text, boolean end) throws IOException {
        try (Socket s = connect()) {
            s.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
            if (end) {
                s.shutdownOutput();
            }
            return answer(s);
        }
    }

    @Test
    public void oneWholeLineIsACall() throws IOException {
        assertEquals("SUCCESS status\n", said("status\n", false));
        assertEquals("SUCCESS maint-on e1\n", said("maint-on e1\r\n", false));
    }

    @Test
    public void whatIsNoCallIsToldWhy() throws IOException {
        assertEquals("FAILURE the line has no end\n", said("stat", true));
        assertEquals("FAILURE no line\n", said("", true));
        assertEquals("FAILURE one line to a connection\n", said("status\nstatus\n", false));
        assertEquals("FAILURE the line is no printable ASCII\n", said("st\u00e4tus\u0001\n", false));
        assertEquals("FAILURE the line is longer than 512 bytes\n", said("x".repeat(2000), true));
    }

    /** More callers than there is room for say nothing: the next one is answered all the same. */
    @Test
    public void callersWithoutALineDelayNobody() throws IOException {
        List<Socket> silentOnes = new ArrayList<>();
        try {
            for (int i = 0; i < 2 * AdminServer.MOST; i++) {
                Socket s = connect();
                s.getOutputStream().write("sta".getBytes(StandardCharsets.US_ASCII));
                silentOnes.add(s);
            }
            assertEquals("SUCCESS status\n", said("status\n", false));
            // The first ones had to go; the last ones have been left alone.
            assertTrue(gone(silentOnes.get(0)));
            Socket last = silentOnes.get(silentOnes.size() - 1);
            last.getOutputStream().write("tus\n".getBytes(StandardCharsets.US_ASCII));
            assertEquals("SUCCESS status\n", answer(last));
        } finally {
            for (Socket s : silentOnes) {
                s.close();
            }
        }
    }

    private static boolean gone(Socket s) {
        try {
            return s.getInputStream().read() < 0;
        } catch (IOException e) {
            return true;
        }
    }

    @Test
    public void aCallThatFailsInsideIsAnswered() throws IOException {
        AdminServer broken = new AdminServer(
                new InetSocketAddress(loopback, 0),
                l -> {
                    throw new IllegalStateException("x");
                },
                silent);
        broken.start();
        try (Socket s = new Socket(loopback, broken.port())) {
            s.getOutputStream().write('\n');
            String a = answer(s);
            assertEquals("FAILURE internal error\n", a);
            assertFalse(a.contains("IllegalState"));
        }
    }
}
