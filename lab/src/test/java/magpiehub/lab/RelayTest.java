package magpiehub.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Paths and their faults, on real sockets. */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class RelayTest {
    private final List<String> seen = new ArrayList<>();
    private ServerSocket target;
    private Relay relay;
    private Relay.NetworkPath path;
    private InetSocketAddress at;

    @BeforeEach
    @Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
    void open() throws IOException {
        target = new ServerSocket(0, 16, InetAddress.getLoopbackAddress());
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            at = new InetSocketAddress(free.getInetAddress(), free.getLocalPort());
        }
        path = new Relay.NetworkPath("engines-0-1", 0, 1, 0, 0, 1);
        relay = new Relay(path, at, (InetSocketAddress) target.getLocalSocketAddress(), new Relay.RequestObserver() {
            @Override
            public void onRequestStarted(String call, long when) {
                note("began " + call);
            }

            @Override
            public void onRequestEnded(String call, long when) {
                note("over " + call);
            }
        });
    }

    @AfterEach
    @Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
    void close() throws IOException {
        relay.close();
        target.close();
    }

    private synchronized void note(String what) {
        seen.add(what);
        notifyAll();
    }

    private synchronized void await(String... all) throws InterruptedException {
        while (seen.size() < all.length) {
            wait();
        }
        assertEquals(List.of(all), seen);
    }

    private Socket client() throws IOException {
        Socket s = new Socket();
        s.connect(at, 5_000);
        s.setSoTimeout(30_000);
        return s;
    }

    private static void say(Socket s, String text) throws IOException {
        s.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    private static String hear(Socket s, int bytes) throws IOException {
        return new String(s.getInputStream().readNBytes(bytes), StandardCharsets.US_ASCII);
    }

    @Test
    void whatACutPathHoldsBackComesOnceItIsHealedAndNoneIsLost() throws Exception {
        try (Socket c = client();
                Socket t = target.accept()) {
            say(c, "one");
            assertEquals("one", hear(t, 3));
            path.cut(true, false);
            say(c, "two");
            say(t, "back");
            assertEquals("back", hear(c, 4), "the other way is open");
            c.shutdownOutput();
            t.setSoTimeout(50);
            assertThrows(SocketTimeoutException.class, () -> t.getInputStream().read());
            path.heal(0, 0);
            t.setSoTimeout(30_000);
            assertEquals("two", hear(t, 3));
            assertEquals(-1, t.getInputStream().read(), "the end comes behind it");
        }
    }

    @Test
    void aNewConnectionDoesNotComeUpOverACutPathAndDoesOnceItIsHealed() throws Exception {
        path.cut(false, true);
        assertThrows(SocketTimeoutException.class, () -> {
            try (Socket s = new Socket()) {
                s.connect(at, 200);
            }
        });
        path.heal(0, 0);
        try (Socket c = client();
                Socket t = target.accept()) {
            say(c, "x");
            assertEquals("x", hear(t, 1));
        }
    }

    @Test
    void aBlackHoleTakesConnectionsAndSaysNothing() throws Exception {
        path.blackHole();
        try (Socket c = client();
                Socket t = target.accept()) {
            say(c, "x");
            t.setSoTimeout(50);
            assertThrows(SocketTimeoutException.class, () -> t.getInputStream().read());
            path.heal(0, 0);
            t.setSoTimeout(30_000);
            assertEquals("x", hear(t, 1));
        }
    }

    @Test
    void aResetEndsWhatIsOpenAtBothSides() throws Exception {
        try (Socket c = client();
                Socket t = target.accept()) {
            say(c, "x");
            assertEquals("x", hear(t, 1));
            path.reset();
            assertThrows(IOException.class, () -> c.getInputStream().read());
            assertThrows(IOException.class, () -> t.getInputStream().read());
        }
    }

    @Test
    void anEndedProcessRefusesAndIsThereAgainOnceItListens() throws Exception {
        InetSocketAddress was = (InetSocketAddress) target.getLocalSocketAddress();
        target.close();
        relay.markTargetDown();
        assertThrows(ConnectException.class, this::client);
        target = new ServerSocket();
        target.setReuseAddress(true);
        target.bind(was, 16);
        target.accept().close(); // The relay's own look.
        while (true) {
            try (Socket c = client();
                    Socket t = target.accept()) {
                say(c, "x");
                assertEquals("x", hear(t, 1));
                return;
            } catch (ConnectException e) {
                Thread.onSpinWait(); // It has looked, and does not listen yet.
            }
        }
    }

    @Test
    void aSlowPathTakesItsTimeAndKeepsTheOrder() throws Exception {
        path.slow(30_000, 0, 0);
        try (Socket c = client();
                Socket t = target.accept()) {
            long from = EngineSiteProcess.nowMicros();
            for (int i = 0; i < 50; i++) {
                say(c, i % 10 + "");
            }
            assertEquals("01234567890123456789012345678901234567890123456789", hear(t, 50));
            assertTrue(EngineSiteProcess.nowMicros() - from >= 30_000);
        }
    }

    @Test
    void aRequestIsSeenFromItsFirstByteToTheLastChunkOfItsAnswer() throws Exception {
        try (Socket c = client();
                Socket t = target.accept()) {
            say(c, "POST /x HTTP/1.1\r\nX-Call-Id: 7\r\nContent-Length: 2\r\n\r\n{}");
            hear(t, 20);
            await("began 7");
            say(t, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\n0\r\n\r\n");
            hear(c, 55); // What is in a chunk may look like the last one: it has passed, and nothing is over.
            await("began 7");
            say(t, "0\r\n\r\n");
            await("began 7", "over 7");
            say(c, "POST /x HTTP/1.1\r\nx-call-id: 8\r\nContent-Length: 2\r\n\r\n{}");
            await("began 7", "over 7", "began 8");
            say(t, "HTTP/1.1 503 x\r\nContent-Length: 3\r\n\r\nabc");
            await("began 7", "over 7", "began 8", "over 8");
            say(c, "POST /x HTTP/1.1\r\nX-Call-Id: 9\r\nContent-Length: 2\r\n\r\n{}");
            await("began 7", "over 7", "began 8", "over 8", "began 9");
            path.cut(true, true);
            c.close(); // Given up by its caller: over for it, whatever the path still holds.
            await("began 7", "over 7", "began 8", "over 8", "began 9", "over 9");
        }
    }
}
