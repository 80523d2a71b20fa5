package magpiehub;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.BufferedReader;
import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** A router process must not send requests to servers that have left, although its endpoint list is out of date. */
@Timeout(value = 120, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class StaleEndpointListTest {
    private static final String REJECTED = "HTTP/1.1 503 Service Unavailable";
    private static final String SERVED = "HTTP/1.1 200 OK";
    private static final String STREAM_RESPONSE =
            SERVED + "\r\nTransfer-Encoding: chunked\r\n\r\n9\r\ndata: x\n\n\r\n0\r\n\r\n";
    private static final String BUDGET_MS = "3000";

    /** How long the test waits for a request that must not reach the server. */
    private static final int NO_REQUEST_WAIT_MS = 500;

    /** A list change counts as received 6 s after discovery had it; nothing may be sent 2 s and 0.05 s after that. */
    private static final long SEND_CUTOFF_MS = 8_050;

    /** How long discovery delays its answer 503 to each call while it is down. */
    private static final long REJECTION_DELAY_MS = 2_000;

    private static final int SECONDS_DOWN = 12;

    @TempDir
    Path folder;

    private RouterProcess router;

    @BeforeEach
    void configure() throws IOException {
        router = new RouterProcess(Files.createTempFile(folder, "junit", ".tmp"));
    }

    @AfterEach
    void close() throws IOException {
        router.close();
    }

    @Test
    void restartedRouterSendsNothingToAServerThatLeftWhileItWasDown() throws Exception {
        router.start();
        int port = router.awaitListeningPort();
        assertEquals(REJECTED, sendRequest(port, "1"), "while discovery has not answered");
        try (Socket watch = router.discovery.accept()) {
            String removal = "{\"revision\":2,\"complete\":false,\"members\":[{\"id\":\"e\",\"phase\":\"Gone\"}]}\n";
            ServeTest.send(
                    watch,
                    SERVED + "\r\nTransfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(removal.length()) + "\r\n"
                            + removal + "\r\n");
            router.awaitLogLine(" list ");
            assertEquals(REJECTED, sendRequest(port, "2"), "after the update that the server has left");
        }
        assertNothingWasSent();
    }

    @Test
    void restartedRouterServesOnceDiscoveryHasConfirmedItsList() throws Exception {
        router.serveConnections(StaleEndpointListTest::serveStreams);
        router.start();
        int port = router.awaitListeningPort();
        try (Socket watch = router.acceptWatch()) {
            awaitReady(port);
            assertEquals(SERVED, sendRequest(port, "1"));
        }
    }

    @Test
    void routerSendsNothingOnAListThatDiscoveryNoLongerConfirms() throws Exception {
        router.start();
        int port = router.awaitListeningPort();
        try (Socket watch = router.acceptWatch()) {
            awaitReady(port);
            // From here on discovery accepts connections but never answers.
            TimeUnit.MILLISECONDS.sleep(SEND_CUTOFF_MS);
            assertEquals(REJECTED, sendRequest(port, "1"));
        }
        assertNothingWasSent();
    }

    @Test
    void routerServesOnItsLastListWhileDiscoveryIsDown() throws Exception {
        router.serveConnections(StaleEndpointListTest::serveStreams);
        router.start();
        int port = router.awaitListeningPort();
        try (Socket watch = router.acceptWatch()) {
            awaitReady(port);
        }
        router.threads.execute(this::rejectCalls);
        for (int second = 1; second <= SECONDS_DOWN; second++) {
            TimeUnit.SECONDS.sleep(1);
            assertEquals(SERVED, sendRequest(port, Integer.toString(second)), "after " + second + " s");
        }
    }

    /** Answers calls with a late 503, as the platform's discovery does while it is down. */
    private void rejectCalls() {
        try (ServerSocket discovery = router.discovery) {
            while (true) {
                Socket call = discovery.accept();
                router.threads.execute(() -> rejectLate(call));
            }
        } catch (IOException e) {
            // The test is over.
        }
    }

    private static void rejectLate(Socket call) {
        try (call) {
            TimeUnit.MILLISECONDS.sleep(REJECTION_DELAY_MS);
            ServeTest.send(call, REJECTED + "\r\nContent-Length: 0\r\n\r\n");
        } catch (IOException | InterruptedException e) {
            // The router aborted the call, or the test is over.
        }
    }

    /** Serves requests on a connection until the router closes it. */
    private static void serveStreams(Socket connection) {
        try (connection) {
            BufferedReader requests = ServeTest.reader(connection);
            while (true) {
                RouterProcess.readRequest(requests);
                ServeTest.send(connection, STREAM_RESPONSE);
            }
        } catch (IOException e) {
            // The router closed the connection, or the test is over.
        }
    }

    /** Sends a request on a new connection; returns the status line of the answer. */
    private static String sendRequest(int port, String id) throws IOException {
        try (Socket client = new Socket(RouterProcess.LOOPBACK, port)) {
            ServeTest.send(client, RouterProcess.chatRequest(id, BUDGET_MS));
            return ServeTest.reader(client).readLine();
        }
    }

    private static void awaitReady(int port) throws IOException, InterruptedException {
        while (!isReady(port)) {
            TimeUnit.MILLISECONDS.sleep(10);
        }
    }

    private static boolean isReady(int port) throws IOException {
        try (Socket client = new Socket(RouterProcess.LOOPBACK, port)) {
            ServeTest.send(client, "GET /up HTTP/1.1\r\nConnection: close\r\n\r\n");
            return ServeTest.reader(client).readLine().equals(SERVED);
        }
    }

    private void assertNothingWasSent() throws IOException {
        router.engine.setSoTimeout(NO_REQUEST_WAIT_MS);
        assertThrows(SocketTimeoutException.class, () -> router.engine.accept().close(), "a request was sent");
    }
}
