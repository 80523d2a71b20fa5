package magpiehub.upstream;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import org.junit.jupiter.api.Test;

class UpstreamAttemptTest {
    private final UpstreamAttempt attempt = new UpstreamAttempt(null);

    @Test
    void abortClosesTheSocketBeforeItReturns() throws IOException {
        try (Socket socket = new Socket()) {
            assertTrue(attempt.attachSocket(socket));
            attempt.abort();
            assertTrue(socket.isClosed());
            assertTrue(attempt.isAborted());
        }
    }

    @Test
    void anAbortedAttemptAcceptsNoSocket() throws IOException {
        attempt.abort();
        try (Socket socket = new Socket()) {
            assertFalse(attempt.attachSocket(socket));
            assertFalse(attempt.detachSocket());
        }
    }

    @Test
    void abortLeavesADetachedSocketOpen() throws IOException {
        try (Socket socket = new Socket()) {
            assertTrue(attempt.attachSocket(socket));
            assertTrue(attempt.detachSocket());
            attempt.abort();
            assertFalse(socket.isClosed());
        }
    }
}
