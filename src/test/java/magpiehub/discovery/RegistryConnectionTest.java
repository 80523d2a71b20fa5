package magpiehub.discovery;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicLong;
import magpiehub.concurrent.MonotonicClock;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests the bounds of {@code Retry-After}, and when a connection may be used for another request. */
class RegistryConnectionTest {
    private static final long SECOND_MICROS = 1_000_000;
    private static final String RESPONSE = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";

    /** A registry that requests a wait of a minute is still called again early enough for changes to arrive in time. */
    @Test
    void retryAfterIsBounded() {
        assertEquals(0, RegistryConnection.parseRetryAfterMicros(null));
        assertEquals(SECOND_MICROS / 5, RegistryConnection.parseRetryAfterMicros("0.2"));
        assertEquals(2 * SECOND_MICROS, RegistryConnection.parseRetryAfterMicros("60"));
        assertEquals(0, RegistryConnection.parseRetryAfterMicros("-1"));
        assertEquals(0, RegistryConnection.parseRetryAfterMicros("Wed, 21 Oct 2026 07:28:00 GMT"));
    }

    /** Guards against an answer being taken for that of the next call where a registry answers twice. */
    @Test
    @Timeout(60)
    void aConnectionWithBytesBehindTheResponseIsNotReused() throws Exception {
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                RegistryConnection connection = connect(server);
                Socket accepted = server.accept()) {
            assertTrue(connection.isReusable());
            write(accepted, RESPONSE);
            connection.discardBody(connection.send("GET", "/", null, 0));
            assertTrue(connection.isReusable());
            write(accepted, RESPONSE);
            while (connection.isReusable()) {
                Thread.sleep(1); // Until the bytes have arrived; the test's timeout ends this where they are ignored.
            }
            connection.close();
            assertFalse(connection.isReusable());
        }
    }

    @Test
    void aConnectionWithASecondResponseInItsBufferIsNotReused() throws Exception {
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                RegistryConnection connection = connect(server);
                Socket accepted = server.accept()) {
            write(accepted, RESPONSE + RESPONSE);
            connection.discardBody(connection.send("GET", "/", null, 0));
            assertFalse(connection.isReusable());
        }
    }

    private static RegistryConnection connect(ServerSocket server) throws IOException {
        String address = "127.0.0.1:" + server.getLocalPort();
        RegistryConnection connection = new RegistryConnection(address, null, MonotonicClock.SYSTEM, new AtomicLong());
        connection.connect(30_000);
        return connection;
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(UTF_8));
    }
}
