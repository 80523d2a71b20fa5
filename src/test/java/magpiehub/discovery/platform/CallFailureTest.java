package magpiehub.discovery.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.BindException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.NoRouteToHostException;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import org.junit.jupiter.api.Test;

/** Tests the classification of failed calls and its effect on the lease of the endpoint list. */
class CallFailureTest {
    private static final long STOP_SENDING_WITHIN_MICROS = 2_000_000;
    private static final long NOW_MICROS = 100_000_000;

    @Test
    void refusedConnectionIsRecognizedByTheSystemsMessage() throws IOException {
        ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        InetSocketAddress address = (InetSocketAddress) server.getLocalSocketAddress();
        server.close();
        try (Socket socket = new Socket()) {
            IOException failure = assertThrows(IOException.class, () -> socket.connect(address, 1_000));
            assertEquals(CallFailure.REFUSED, CallFailure.ofConnect(failure));
        }
    }

    @Test
    void localFailuresSayNothingAboutDiscovery() {
        assertEquals(CallFailure.UNANSWERED, CallFailure.ofConnect(new SocketTimeoutException("Connect timed out")));
        assertEquals(CallFailure.UNANSWERED, CallFailure.ofConnect(new ConnectException("Connection timed out")));
        assertEquals(CallFailure.UNANSWERED, CallFailure.ofConnect(new NoRouteToHostException("No route to host")));
        assertEquals(CallFailure.LOCAL, CallFailure.ofConnect(new BindException("Cannot assign requested address")));
        assertEquals(CallFailure.LOCAL, CallFailure.ofConnect(new SocketException("No buffer space available")));
        assertEquals(CallFailure.LOCAL, CallFailure.ofConnect(new SocketException("Network is unreachable")));
        assertEquals(CallFailure.LOCAL, CallFailure.ofConnect(new SocketException("Too many open files")));
    }

    @Test
    void discoveryIsDownAfterOneRefusalOrTwoUnansweredCalls() {
        EndpointListLease lease = new EndpointListLease();
        for (int failure = 0; failure < 9; failure++) {
            lease.recordCallFailed(NOW_MICROS, CallFailure.LOCAL);
        }
        lease.recordCallFailed(NOW_MICROS, CallFailure.UNANSWERED);
        assertFalse(
                lease.validUntilMicros(STOP_SENDING_WITHIN_MICROS) > NOW_MICROS,
                "a single unanswered call may have waited in discovery's queue");
        lease.recordCallFailed(NOW_MICROS, CallFailure.LOCAL);
        assertFalse(lease.validUntilMicros(STOP_SENDING_WITHIN_MICROS) > NOW_MICROS);
        lease.recordCallFailed(NOW_MICROS, CallFailure.UNANSWERED);
        assertTrue(lease.validUntilMicros(STOP_SENDING_WITHIN_MICROS) > NOW_MICROS);

        EndpointListLease refused = new EndpointListLease();
        refused.recordCallFailed(NOW_MICROS, CallFailure.REFUSED);
        assertTrue(refused.validUntilMicros(STOP_SENDING_WITHIN_MICROS) > NOW_MICROS);
    }
}
