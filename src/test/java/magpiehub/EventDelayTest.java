package magpiehub;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.LongAccumulator;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Limits the delay of events through a router that gets a quarter of a core: many streams from one engine, beside a
 * client that reads nothing of a large stream.
 */
@Timeout(value = 120, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class EventDelayTest {
    private static final int STREAMS = 16;
    private static final int EVENTS = 30;
    private static final long EVENT_GAP_MS = 100;
    private static final long MAX_DELAY_NANOS = 300_000_000;
    private static final int LARGE_EVENT_BYTES = 32 * 1024;
    private static final int RECEIVE_BUFFER_BYTES = 4 * 1024;
    /** Stops a process for 75 ms of every 100 ms; prints how long each stop lasted, in milliseconds. */
    private static final String THROTTLE_SCRIPT =
            """
            use Time::HiRes qw(time sleep); $| = 1;
            while (1) {
              my $from = time; kill('STOP', $ARGV[0]) or last;
              sleep 0.075; kill('CONT', $ARGV[0]); printf("%d\n", 1000 * (time - $from)); sleep 0.025;
            }
            """;

    private static final long STOP_MS = 75;
    private static final String RESPONSE_HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final Pattern SEND_TIME = Pattern.compile("\"content\":\"(\\d+)\"");

    @TempDir
    Path folder;

    private final LongAccumulator longestDelay = new LongAccumulator(Math::max, 0);
    /** The machine's scheduling delay, in nanoseconds: how late it wakes a thread of the test, or ends a stop. */
    private final LongAccumulator longestSchedulingDelay = new LongAccumulator(Math::max, 0);

    private final AtomicBoolean finished = new AtomicBoolean();

    @Test
    void eventsArePassedOnInTimeOnAQuarterOfACore() throws Exception {
        measureDelays();
        long maxDelay = MAX_DELAY_NANOS + longestSchedulingDelay.get();
        assertTrue(
                longestDelay.get() <= maxDelay,
                "an event took " + longestDelay.get() / 1_000_000 + " ms, " + longestSchedulingDelay.get() / 1_000_000
                        + " ms of scheduling delay on this machine");
    }

    private void measureDelays() throws Exception {
        try (RouterProcess router = new RouterProcess(Files.createTempFile(folder, "junit", ".tmp"))) {
            router.start();
            try (Socket watch = router.acceptWatch()) {
                int port = router.awaitListeningPort();
                router.serveConnections(EventDelayTest::answerRequest);
                try (Socket unread = openRequest(port, "large")) {
                    List<BufferedReader> answers = new ArrayList<>();
                    for (int i = 0; i < STREAMS; i++) {
                        BufferedReader answer = ServeTest.reader(openRequest(port, "stream" + i));
                        ServeTest.readUntil(answer, "200 OK");
                        answers.add(answer);
                    }
                    Process throttle = new ProcessBuilder(
                                    "perl",
                                    "-e",
                                    THROTTLE_SCRIPT,
                                    Long.toString(router.process().pid()))
                            .start();
                    try {
                        router.threads.execute(this::measureSchedulingDelay);
                        router.threads.execute(() -> measureStops(throttle));
                        assertEquals(EVENTS * STREAMS, countEvents(answers, router.threads));
                    } finally {
                        finished.set(true);
                        throttle.destroyForcibly();
                    }
                }
            }
        }
    }

    private int countEvents(List<BufferedReader> answers, ExecutorService threads) throws Exception {
        List<Future<Integer>> counts = new ArrayList<>();
        for (BufferedReader answer : answers) {
            counts.add(threads.submit(() -> countEvents(answer)));
        }
        int events = 0;
        for (Future<Integer> count : counts) {
            events += count.get();
        }
        return events;
    }

    /** Reads a stream to its last chunk and measures each event's delay; returns the number of events. */
    private int countEvents(BufferedReader answer) throws IOException {
        int events = 0;
        for (String line = answer.readLine(); line != null && !line.equals("0"); line = answer.readLine()) {
            Matcher sendTime = SEND_TIME.matcher(line);
            if (sendTime.find()) {
                longestDelay.accumulate(System.nanoTime() - Long.parseLong(sendTime.group(1)));
                events++;
            }
        }
        return events;
    }

    /** Counts the time by which a stop exceeds its 75 ms as scheduling delay of the machine. */
    private void measureStops(Process throttle) {
        throttle.inputReader()
                .lines()
                .forEach(ms -> longestSchedulingDelay.accumulate((Long.parseLong(ms) - STOP_MS) * 1_000_000));
    }

    private void measureSchedulingDelay() {
        try {
            while (!finished.get()) {
                long wakeTime = System.nanoTime() + 10_000_000;
                Thread.sleep(10);
                longestSchedulingDelay.accumulate(System.nanoTime() - wakeTime);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static Socket openRequest(int port, String id) throws IOException {
        Socket client = new Socket();
        client.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
        client.connect(new InetSocketAddress(RouterProcess.LOOPBACK, port));
        ServeTest.send(client, RouterProcess.chatRequest(id, "60000"));
        return client;
    }

    // ---- Upstream -----------------------------------------------------------------------------------
    private static void answerRequest(Socket connection) {
        try (connection) {
            connection.setTcpNoDelay(true);
            BufferedReader request = ServeTest.reader(connection);
            String id = RouterProcess.readRequest(request);
            ServeTest.send(connection, RESPONSE_HEAD);
            if (id.equals("large")) {
                String padding = "x".repeat(LARGE_EVENT_BYTES);
                while (true) {
                    sendEvent(connection, padding);
                }
            }
            for (int i = 0; i < EVENTS; i++) {
                sendEvent(connection, Long.toString(System.nanoTime()));
                Thread.sleep(EVENT_GAP_MS);
            }
            ServeTest.send(connection, "0\r\n\r\n");
        } catch (IOException e) {
            // The router closed the connection: the large stream ends so when the test is over.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void sendEvent(Socket connection, String content) throws IOException {
        byte[] event = ("data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"" + content
                        + "\"},\"finish_reason\":null}]}\n\n")
                .getBytes(StandardCharsets.UTF_8);
        ServeTest.send(
                connection,
                Integer.toHexString(event.length) + "\r\n" + new String(event, StandardCharsets.UTF_8) + "\r\n");
    }
}
