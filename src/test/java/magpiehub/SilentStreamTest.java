package magpiehub;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import magpiehub.concurrent.MonotonicClock;
import magpiehub.streaming.SchedulingDelay;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against clients that are left waiting for ever by a stream that brings nothing more and does not end, where
 * clients do not resume streams, and against ending a stream that only pauses.
 */
@Timeout(value = 120, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class SilentStreamTest {
    /** The protocol allows 5 s after an engine's last event, and 50 ms more on sockets. */
    private static final long MAX_WAIT_MICROS = 5_050_000;

    private static final long PAUSE_MS = 4_000;
    /** More than the client waits for, so that the engine never ends the connection. */
    private static final long SILENCE_MS = 20_000;

    // The ids of requests, by what becomes of their streams.
    private static final String SPOILT = "spoilt";
    private static final String SILENT = "silent";
    private static final String PAUSED = "paused";
    private static final String RELOADED = "reloaded";

    private static final String HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final String EVENT = "9\r\ndata: x\n\n\r\n";
    /** An event in a chunk whose size says 300 bytes more than come. */
    private static final String SPOILT_EVENT = "135\r\ndata: x\n\n\r\n";

    private static final String LAST_CHUNK = "0\r\n\r\n";

    /** How a stream ended for its client. */
    private record StreamEnd(boolean complete, long endMicros) {}

    @TempDir
    Path folder;

    private final CountDownLatch begun = new CountDownLatch(1);
    private final CountDownLatch reloaded = new CountDownLatch(1);
    private final SchedulingDelay schedulingDelay = new SchedulingDelay();
    /** When the upstream wrote the last event of each request that it leaves silent. */
    private final Map<String, Long> lastEventMicros = new ConcurrentHashMap<>();

    @Test
    void aStreamThatBringsNothingMoreEndsWithin5sWhereItsClientDoesNotResumeIt() throws Exception {
        schedulingDelay.startMeasuring();
        try (RouterProcess router = newRouter()) {
            router.start();
            try (Socket watch = router.acceptWatch()) {
                int port = router.awaitListeningPort();
                router.serveConnections(this::answer);
                Map<String, Future<StreamEnd>> clients = new HashMap<>();
                for (String id : new String[] {SPOILT, SILENT, PAUSED}) {
                    clients.put(id, router.threads.submit(() -> request(port, id)));
                }
                assertTrue(clients.remove(PAUSED).get().complete(), "a stream that paused was cut");
                for (Map.Entry<String, Future<StreamEnd>> client : clients.entrySet()) {
                    assertEndsInTime(client.getKey(), client.getValue().get());
                }
            }
        }
    }

    /**
     * Guards against a stream that is ended early by a reload: whether its client resumes it is known from the settings
     * with which its request was read.
     */
    @Test
    void aStreamThatPausesIsServedWholeThoughAReloadSaysThatClientsResumeStreams() throws Exception {
        try (RouterProcess router = newRouter()) {
            router.start();
            try (Socket watch = router.acceptWatch()) {
                int port = router.awaitListeningPort();
                router.serveConnections(this::answer);
                Future<StreamEnd> client = router.threads.submit(() -> request(port, RELOADED));
                assertTrue(begun.await(SILENCE_MS, TimeUnit.MILLISECONDS), "no stream has begun");
                router.replaceInConfiguration("\"resume\":false", "\"resume\":true");
                router.sendSighup();
                router.awaitLogLine(" reloaded ");
                reloaded.countDown();
                assertTrue(client.get().complete(), "a stream that paused was cut");
            }
        }
    }

    /** A router whose clients do not resume streams. */
    private RouterProcess newRouter() throws IOException {
        RouterProcess router = new RouterProcess(Files.createTempFile(folder, "router", ".json"));
        router.replaceInConfiguration("\"resume\":true", "\"resume\":false");
        return router;
    }

    private void assertEndsInTime(String id, StreamEnd end) {
        assertFalse(end.complete(), "the stream has its last chunk though it is incomplete: " + id);
        long waitMicros = end.endMicros() - lastEventMicros.get(id);
        assertTrue(
                waitMicros <= MAX_WAIT_MICROS + schedulingDelay.maxMicros(),
                "the client of stream " + id + " waited " + waitMicros / 1000 + " ms after the last event, "
                        + schedulingDelay.maxMicros() / 1000 + " ms of scheduling delay on this machine");
    }

    /** Sends a request and reads its stream to the end, or to the end of the connection. */
    private static StreamEnd request(int port, String id) throws IOException {
        try (Socket client = new Socket(RouterProcess.LOOPBACK, port)) {
            BufferedReader answer = ServeTest.reader(client);
            client.setSoTimeout((int) SILENCE_MS);
            ServeTest.send(client, RouterProcess.chatRequest(id, "60000"));
            boolean complete = false;
            for (String line = answer.readLine(); line != null && !complete; line = answer.readLine()) {
                complete = line.equals("0");
            }
            return new StreamEnd(complete, MonotonicClock.SYSTEM.micros());
        }
    }

    /** Answers as the id of the request says. */
    private void answer(Socket upstream) {
        try (upstream) {
            String id = RouterProcess.readRequest(ServeTest.reader(upstream));
            ServeTest.send(upstream, HEAD + EVENT);
            begun.countDown();
            if (id.equals(RELOADED)) {
                reloaded.await();
                ServeTest.send(upstream, EVENT);
            }
            if (id.equals(PAUSED) || id.equals(RELOADED)) {
                Thread.sleep(PAUSE_MS);
                ServeTest.send(upstream, EVENT + LAST_CHUNK);
                return;
            }
            ServeTest.send(upstream, id.equals(SPOILT) ? SPOILT_EVENT : EVENT);
            lastEventMicros.put(id, MonotonicClock.SYSTEM.micros());
            Thread.sleep(SILENCE_MS);
        } catch (IOException e) {
            // The router has closed the connection.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
