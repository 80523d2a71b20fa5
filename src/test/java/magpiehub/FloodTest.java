package magpiehub;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.LongAccumulator;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** A router process whose clients pipeline many requests and disconnect, or whose engine sends endless responses. */
@Timeout(value = 120, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class FloodTest {
    private static final int CLIENTS = 40;
    private static final int REQUESTS_PER_CLIENT = 60;
    /** An attempt that begins later than this after its client's close is a fault; the platform allows two a day. */
    private static final long MAX_ATTEMPT_DELAY_NANOS = 100_000_000;

    private static final int MAX_LATE_ATTEMPTS = 2;
    /** How long a client floods the router. */
    private static final long FLOOD_NANOS = 5_000_000_000L;
    /** The time that the other clients give the router. */
    private static final long MAX_WAIT_NANOS = 2_000_000_000L;
    /** The id of the request whose response never ends. */
    private static final String ENDLESS_ID = "endless";

    private static final String COMPLETE_RESPONSE =
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + "e\r\ndata: [DONE]\n\n\r\n0\r\n\r\n";

    /** What an engine sends first, and what it then repeats without end. */
    private record EndlessResponse(String start, String repeated) {}

    private static final List<EndlessResponse> ENDLESS_RESPONSES = List.of(
            new EndlessResponse("HTTP/1.1 200 OK\r\n", "X-Padding: " + "x".repeat(1000) + "\r\n"),
            new EndlessResponse("HTTP/1.1 200 OK\r\nX-Padding: ", "x".repeat(1000)),
            new EndlessResponse("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0".repeat(1000)),
            new EndlessResponse(
                    "HTTP/1.1 500 No\r\nTransfer-Encoding: chunked\r\n\r\n", "3e8\r\n" + "x".repeat(1000) + "\r\n"),
            new EndlessResponse("", "HTTP/1.1 100 Continue\r\n\r\n"));

    @TempDir
    Path folder;
    /** When the client of each request closed its connection (ns). */
    private final Map<String, Long> closeNanosById = new ConcurrentHashMap<>();
    /** When each request reached the engine (ns). */
    private final Map<String, Long> attemptNanosById = new ConcurrentHashMap<>();

    private final LongAccumulator longestSchedulingDelay = new LongAccumulator(Math::max, 0);

    /**
     * Clients write many requests at once and reset the connection: at most two of the requests are forwarded more than
     * 100 ms after that, and a client that stays connected is served.
     */
    @Test
    void requestsOfDisconnectedClientsAreNotForwarded() throws Exception {
        try (RouterProcess router = new RouterProcess(Files.createTempFile(folder, "junit", ".tmp"))) {
            router.start();
            try (Socket watch = router.acceptWatch()) {
                int port = router.awaitListeningPort();
                router.serveConnections(this::answerRequests);
                List<Future<?>> floods = new ArrayList<>();
                for (int i = 0; i < CLIENTS; i++) {
                    String name = "flood" + i;
                    floods.add(router.threads.submit(() -> flood(port, name)));
                }
                for (Future<?> flood : floods) {
                    flood.get();
                }
                assertEquals("HTTP/1.1 200 OK", requestStatusLine(port, "stays", "60000"));
                assertTrue(router.process().isAlive());
            }
        }
        long maxDelay = MAX_ATTEMPT_DELAY_NANOS + longestSchedulingDelay.get();
        List<String> late = new ArrayList<>();
        attemptNanosById.forEach((id, at) -> {
            if (closeNanosById.containsKey(id) && at - closeNanosById.get(id) > maxDelay) {
                late.add(id);
            }
        });
        assertTrue(late.size() <= MAX_LATE_ATTEMPTS, "forwarded after their clients had disconnected: " + late);
    }

    /**
     * A client sends small requests on one connection without pause and reads the answers, or none of them: the others
     * are answered in time, and nothing in the router fails for want of memory.
     */
    @ParameterizedTest(name = "{0}, reads: {1}")
    @CsvSource({"/up, true", "/up, false", "/counters, true", "/counters, false"})
    void smallRequestsWithoutPauseDelayNoOtherClient(String path, boolean reads) throws Exception {
        try (RouterProcess router = new RouterProcess(Files.createTempFile(folder, "junit", ".tmp"))) {
            router.start();
            try (Socket watch = router.acceptWatch()) {
                int port = router.awaitListeningPort();
                router.serveConnections(this::answerRequests);
                long end = System.nanoTime() + FLOOD_NANOS;
                try (Socket flooding = new Socket(RouterProcess.LOOPBACK, port)) {
                    router.threads.execute(() -> floodWithoutPause(flooding, path));
                    if (reads) {
                        router.threads.execute(() -> readToEnd(flooding));
                    }
                    for (int i = 0; System.nanoTime() < end; i++) {
                        long begin = System.nanoTime();
                        assertEquals("HTTP/1.1 200 OK", requestStatusLine(port, "other" + i, "2000"));
                        long waited = System.nanoTime() - begin;
                        assertTrue(waited <= MAX_WAIT_NANOS, "answered after " + waited / 1_000_000 + " ms");
                        Thread.sleep(20);
                    }
                }
                String counters = get(port, "/counters");
                assertFalse(counters.contains("_exceptions"), counters);
            }
        }
    }

    private static void floodWithoutPause(Socket client, String path) {
        byte[] requests = ("GET " + path + " HTTP/1.1\r\n\r\n").repeat(100).getBytes(StandardCharsets.UTF_8);
        try {
            while (true) {
                client.getOutputStream().write(requests);
            }
        } catch (IOException e) {
            // The test is over.
        }
    }

    private static void readToEnd(Socket client) {
        try {
            client.getInputStream().transferTo(OutputStream.nullOutputStream());
        } catch (IOException e) {
            // The test is over.
        }
    }

    /**
     * An endless response fails its attempt and nothing else: the client gets one final answer that is not 200, and the
     * next request is served.
     */
    @Test
    void endlessResponsesAreAborted() throws Exception {
        for (EndlessResponse endless : ENDLESS_RESPONSES) {
            try (RouterProcess router = new RouterProcess(Files.createTempFile(folder, "junit", ".tmp"))) {
                router.start();
                try (Socket watch = router.acceptWatch()) {
                    int port = router.awaitListeningPort();
                    router.serveConnections(connection -> sendEndlessResponse(connection, endless));
                    String answer = requestStatusLine(port, ENDLESS_ID, "3000");
                    assertFalse(answer.contains(" 200 "), endless.start + answer);
                    assertEquals("HTTP/1.1 200 OK", requestStatusLine(port, "next", "3000"));
                    assertTrue(router.process().isAlive());
                    assertTrue(get(port, "/up").startsWith("HTTP/1.1 200 OK"));
                }
            }
        }
    }

    private Void flood(int port, String name) throws IOException, InterruptedException {
        List<String> ids = new ArrayList<>();
        StringBuilder pipelined = new StringBuilder();
        for (int i = 0; i < REQUESTS_PER_CLIENT; i++) {
            ids.add(name + "-" + i);
            pipelined.append(RouterProcess.chatRequest(name + "-" + i, "60000"));
        }
        Socket client = new Socket(RouterProcess.LOOPBACK, port);
        ServeTest.send(client, pipelined.toString());
        client.setSoLinger(true, 0);
        client.close();
        long now = System.nanoTime();
        ids.forEach(id -> closeNanosById.put(id, now));
        // How late the machine wakes this thread is added to the bound.
        long wakeTime = System.nanoTime() + 10_000_000;
        Thread.sleep(10);
        longestSchedulingDelay.accumulate(System.nanoTime() - wakeTime);
        return null;
    }

    /** Sends a request on a new connection; returns the status line of its answer. */
    private static String requestStatusLine(int port, String id, String budgetMs) throws IOException {
        try (Socket client = new Socket(RouterProcess.LOOPBACK, port)) {
            ServeTest.send(client, RouterProcess.chatRequest(id, budgetMs));
            return ServeTest.reader(client).readLine();
        }
    }

    private static String get(int port, String path) throws IOException {
        try (Socket client = new Socket(RouterProcess.LOOPBACK, port)) {
            ServeTest.send(client, "GET " + path + " HTTP/1.1\r\nConnection: close\r\n\r\n");
            return new String(client.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    // ---- Upstream -----------------------------------------------------------------------------------
    private void answerRequests(Socket connection) {
        try (connection;
                BufferedReader requests = ServeTest.reader(connection)) {
            while (true) {
                attemptNanosById.put(RouterProcess.readRequest(requests), System.nanoTime());
                ServeTest.send(connection, COMPLETE_RESPONSE);
            }
        } catch (IOException e) {
            // The router closed the connection.
        }
    }

    /** Answers one request without end until the router closes the connection, and all others at once. */
    private void sendEndlessResponse(Socket connection, EndlessResponse endless) {
        try (connection;
                BufferedReader requests = ServeTest.reader(connection)) {
            while (!RouterProcess.readRequest(requests).equals(ENDLESS_ID)) {
                ServeTest.send(connection, COMPLETE_RESPONSE);
            }
            ServeTest.send(connection, endless.start);
            while (true) {
                ServeTest.send(connection, endless.repeated);
            }
        } catch (IOException e) {
            // The router aborted the attempt.
        }
    }
}
