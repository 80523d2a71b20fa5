package magpiehub;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import magpiehub.streaming.SchedulingDelay;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against requests that are sent to an engine after their client has left, and against ids that run twice. */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class LeavingClientTest {
    /** An attempt that begins later than this after its client's close is a fault. */
    private static final long MAX_ATTEMPT_DELAY_NANOS = 100_000_000;

    private static final int ROUNDS = 3;
    private static final long FLOOD_NANOS = 200_000_000;
    private static final int FLOOD_BYTES = 64 * 1024;
    private static final long WAIT_FOR_ATTEMPT_MS = 1_500;
    private static final String WHOLE =
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\ne\r\ndata: [DONE]\n\n\r\n0\r\n\r\n";

    @TempDir
    Path folder;

    private final Map<String, CountDownLatch> closed = new ConcurrentHashMap<>();
    private final Map<String, AtomicInteger> attempts = new ConcurrentHashMap<>();
    private final SchedulingDelay schedulingDelay = new SchedulingDelay();

    /**
     * A client sends much that will not be answered behind its request and closes the connection. Its engine ends the
     * first attempt just after the time within which another one would be allowed.
     */
    @ParameterizedTest(name = "{0}")
    @ValueSource(strings = {"no request", "requests"})
    void noAttemptBeginsBehindTheEndOfUnreadInput(String kind) throws Exception {
        schedulingDelay.startMeasuring();
        List<String> late = new ArrayList<>();
        for (int round = 0; round < ROUNDS; round++) {
            String id = "leaves" + round;
            leaveRouterWithTwoEngines(id, kind);
            if (attempts.get(id).get() > 1) {
                late.add(id);
            }
        }
        assertEquals(List.of(), late, "sent again after their client had left");
    }

    private void leaveRouterWithTwoEngines(String id, String kind) throws Exception {
        try (ServerSocket secondEngine = RouterProcess.listen();
                RouterProcess router = new RouterProcess(Files.createTempFile(folder, "router", ".json"))) {
            router.replaceInConfiguration(
                    "\"members\":[",
                    "\"members\":[{\"id\":\"f\",\"host_port\":\"127.0.0.1:" + secondEngine.getLocalPort()
                            + "\",\"phase\":\"Ready\"},");
            router.start();
            try (Socket watch = router.acceptWatch()) {
                int port = router.awaitListeningPort();
                closed.put(id, new CountDownLatch(1));
                router.serveConnections(this::endFirstAttemptAfterTheClose);
                router.serveConnections(secondEngine, this::endFirstAttemptAfterTheClose);
                leaveBehindUnreadInput(port, id, kind);
                Thread.sleep(WAIT_FOR_ATTEMPT_MS);
            }
        }
    }

    private void leaveBehindUnreadInput(int port, String id, String kind) {
        byte[] input = new byte[FLOOD_BYTES];
        if (kind.equals("requests")) {
            String requests = RouterProcess.chatRequest(id + "-more", "3000").repeat(FLOOD_BYTES / 100);
            input = requests.getBytes(StandardCharsets.UTF_8);
        } else {
            Arrays.fill(input, (byte) '?');
        }
        try (Socket client = new Socket(RouterProcess.LOOPBACK, port)) {
            ServeTest.send(client, RouterProcess.chatRequest(id, "3000"));
            long end = System.nanoTime() + FLOOD_NANOS;
            while (System.nanoTime() < end) {
                client.getOutputStream().write(input);
            }
        } catch (IOException e) {
            // The router has closed the connection.
        }
        closed.get(id).countDown();
    }

    private void endFirstAttemptAfterTheClose(Socket upstream) {
        try (upstream) {
            String id = RouterProcess.readRequest(ServeTest.reader(upstream));
            boolean first =
                    attempts.computeIfAbsent(id, i -> new AtomicInteger()).incrementAndGet() == 1;
            if (first && closed.containsKey(id)) {
                assertTrue(closed.get(id).await(30, TimeUnit.SECONDS));
                TimeUnit.NANOSECONDS.sleep(MAX_ATTEMPT_DELAY_NANOS + schedulingDelay.maxMicros() * 1000);
                upstream.setSoLinger(true, 0);
            }
        } catch (IOException e) {
            // The router has closed the connection.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Test
    void anIdWhoseClientHasLeftIsNotSentAgain() throws Exception {
        try (RouterProcess router = new RouterProcess(Files.createTempFile(folder, "router", ".json"))) {
            router.start();
            try (Socket watch = router.acceptWatch()) {
                int port = router.awaitListeningPort();
                Socket client = new Socket(RouterProcess.LOOPBACK, port);
                ServeTest.send(client, RouterProcess.chatRequest("twice", "3000"));
                try (Socket upstream = router.engine.accept()) {
                    assertEquals("twice", RouterProcess.readRequest(ServeTest.reader(upstream)));
                    client.close();
                    assertEquals(-1, upstream.getInputStream().read(), "the attempt has not been cancelled");
                }
                router.serveConnections(this::answerWhole);
                assertTrue(statusOf(port, "twice").startsWith("HTTP/1.1 504"), "the id has run twice");
                assertEquals("HTTP/1.1 200 OK", statusOf(port, "another"));
                assertEquals(1, attempts.size(), attempts.toString());
            }
        }
    }

    private void answerWhole(Socket upstream) {
        try (upstream) {
            String id = RouterProcess.readRequest(ServeTest.reader(upstream));
            attempts.computeIfAbsent(id, i -> new AtomicInteger()).incrementAndGet();
            ServeTest.send(upstream, WHOLE);
        } catch (IOException e) {
            // The router has closed the connection.
        }
    }

    private static String statusOf(int port, String id) throws IOException {
        try (Socket client = new Socket(RouterProcess.LOOPBACK, port)) {
            ServeTest.send(client, RouterProcess.chatRequest(id, "3000"));
            return ServeTest.reader(client).readLine();
        }
    }
}
