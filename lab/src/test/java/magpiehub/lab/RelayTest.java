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

/** Tests network paths and their faults with real sockets. */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class RelayTest {
    private final List<String> observed = new ArrayList<>();
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
                record("began " + call);
            }

            @Override
            public void onRequestEnded(String call, long when) {
                record("over " + call);
            }
        });
    }

    @AfterEach
    @Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
    void close() throws IOException {
        relay.close();
        target.close();
    }

    private synchronized void record(String what) {
        observed.add(what);
        notifyAll();
    }

    private synchronized void await(String... all) throws InterruptedException {
        while (observed.size() < all.length) {
            wait();
        }
        assertEquals(List.of(all), observed);
    }

    private Socket client() throws IOException {
        Socket s = new Socket();
        s.connect(at, 5_000);
        s.setSoTimeout(30_000);
        return s;
    }

    private static void send(Socket s, String text) throws IOException {
        s.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    private static String receive(Socket s, int bytes) throws IOException {
        return new String(s.getInputStream().readNBytes(bytes), StandardCharsets.US_ASCII);
    }

    @Test
    void dataHeldOnACutPathArrivesAfterHealing() throws Exception {
        try (Socket c = client();
                Socket t = target.accept()) {
            send(c, "one");
            assertEquals("one", receive(t, 3));
            path.cut(true, false);
            send(c, "two");
            send(t, "back");
            assertEquals("back", receive(c, 4), "the other direction is open");
            c.shutdownOutput();
            t.setSoTimeout(50);
            assertThrows(SocketTimeoutException.class, () -> t.getInputStream().read());
            path.heal(0, 0);
            t.setSoTimeout(30_000);
            assertEquals("two", receive(t, 3));
            assertEquals(-1, t.getInputStream().read(), "the end follows the data");
        }
    }

    @Test
    void cutPathPreventsConnectionsUntilHealed() throws Exception {
        path.cut(false, true);
        assertThrows(SocketTimeoutException.class, () -> {
            try (Socket s = new Socket()) {
                s.connect(at, 200);
            }
        });
        path.heal(0, 0);
        try (Socket c = client();
                Socket t = target.accept()) {
            send(c, "x");
            assertEquals("x", receive(t, 1));
        }
    }

    @Test
    void blackHoleAcceptsConnectionsAndDeliversNothing() throws Exception {
        path.blackHole();
        try (Socket c = client();
                Socket t = target.accept()) {
            send(c, "x");
            t.setSoTimeout(50);
            assertThrows(SocketTimeoutException.class, () -> t.getInputStream().read());
            path.heal(0, 0);
            t.setSoTimeout(30_000);
            assertEquals("x", receive(t, 1));
        }
    }

    @Test
    void resetClosesConnectionsOnBothSides() throws Exception {
        try (Socket c = client();
                Socket t = target.accept()) {
            send(c, "x");
            assertEquals("x", receive(t, 1));
            path.reset();
            assertThrows(IOException.class, () -> c.getInputStream().read());
            assertThrows(IOException.class, () -> t.getInputStream().read());
        }
    }

    @Test
    void connectionsAreRefusedUntilTargetListensAgain() throws Exception {
        InetSocketAddress was = (InetSocketAddress) target.getLocalSocketAddress();
        target.close();
        relay.markTargetDown();
        assertThrows(ConnectException.class, this::client);
        target = new ServerSocket();
        target.setReuseAddress(true);
        target.bind(was, 16);
        target.accept().close(); // The relay's own connection attempt.
        while (true) {
            try (Socket c = client();
                    Socket t = target.accept()) {
                send(c, "x");
                assertEquals("x", receive(t, 1));
                return;
            } catch (ConnectException e) {
                Thread.onSpinWait(); // The relay has reached the target but does not listen yet.
            }
        }
    }

    @Test
    void slowPathDelaysDataAndKeepsItsOrder() throws Exception {
        path.slow(30_000, 0, 0);
        try (Socket c = client();
                Socket t = target.accept()) {
            long from = EngineSiteProcess.nowMicros();
            for (int i = 0; i < 50; i++) {
                send(c, i % 10 + "");
            }
            assertEquals("01234567890123456789012345678901234567890123456789", receive(t, 50));
            assertTrue(EngineSiteProcess.nowMicros() - from >= 30_000);
        }
    }

    @Test
    void requestIsObservedFromItsFirstByteToTheLastChunkOfTheResponse() throws Exception {
        try (Socket c = client();
                Socket t = target.accept()) {
            send(c, "POST /x HTTP/1.1\r\nX-Call-Id: 7\r\nContent-Length: 2\r\n\r\n{}");
            receive(t, 20);
            await("began 7");
            send(t, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\n0\r\n\r\n");
            receive(c, 55);
            // The chunk's data looks like the last chunk; it has been forwarded, and the request goes on.
            await("began 7");
            send(t, "0\r\n\r\n");
            await("began 7", "over 7");
            send(c, "POST /x HTTP/1.1\r\nx-call-id: 8\r\nContent-Length: 2\r\n\r\n{}");
            await("began 7", "over 7", "began 8");
            send(t, "HTTP/1.1 503 x\r\nContent-Length: 3\r\n\r\nabc");
            await("began 7", "over 7", "began 8", "over 8");
            send(c, "POST /x HTTP/1.1\r\nX-Call-Id: 9\r\nContent-Length: 2\r\n\r\n{}");
            await("began 7", "over 7", "began 8", "over 8", "began 9");
            path.cut(true, true);
            c.close(); // The client gives up: the request has ended for it, whatever the path still holds.
            await("began 7", "over 7", "began 8", "over 8", "began 9", "over 9");
        }
    }
}
