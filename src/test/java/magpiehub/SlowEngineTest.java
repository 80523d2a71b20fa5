package magpiehub;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against cutting off an answer that its engine is still writing. */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class SlowEngineTest {
    private static final String DONE = "data: [DONE]\n\n";
    /** Longer than a stream may be silent, whether or not its client asks for the rest. */
    private static final long EVENT_DURATION_MS = 7_000;

    private static final long PAUSE_MS = 100;

    @TempDir
    Path folder;

    @ParameterizedTest(name = "clients resume streams: {0}")
    @ValueSource(booleans = {true, false})
    void anEventThatIsWrittenSlowlyIsPassedOn(boolean resume) throws Exception {
        try (RouterProcess router = new RouterProcess(Files.createTempFile(folder, "router", ".json"))) {
            router.replaceInConfiguration("\"resume\":true", "\"resume\":" + resume);
            router.start();
            try (Socket watch = router.acceptWatch()) {
                int port = router.awaitListeningPort();
                router.serveConnections(SlowEngineTest::answerSlowly);
                try (Socket client = new Socket(RouterProcess.LOOPBACK, port)) {
                    BufferedReader answer = ServeTest.reader(client);
                    ServeTest.send(client, RouterProcess.chatRequest("slow", "4000"));
                    ServeTest.readUntil(answer, "data: " + "x".repeat(500));
                    ServeTest.readUntil(answer, DONE.strip());
                    assertTrue(ServeTest.readUntil(answer, "0").equals("0"), "the stream has its last chunk");
                }
            }
        }
    }

    private static void answerSlowly(Socket upstream) {
        try (upstream) {
            RouterProcess.readRequest(ServeTest.reader(upstream));
            ServeTest.send(
                    upstream, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk("data: first\n\n"));
            byte[] slow = chunk("data: " + "x".repeat(500) + "\n\n").getBytes(StandardCharsets.UTF_8);
            int step = (int) (slow.length / (EVENT_DURATION_MS / PAUSE_MS));
            for (int i = 0; i < slow.length; i += step) {
                upstream.getOutputStream().write(slow, i, Math.min(step, slow.length - i));
                Thread.sleep(PAUSE_MS);
            }
            ServeTest.send(upstream, chunk(DONE) + "0\r\n\r\n");
        } catch (IOException e) {
            // The router has closed the connection.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static String chunk(String event) {
        return Integer.toHexString(event.length()) + "\r\n" + event + "\r\n";
    }
}
