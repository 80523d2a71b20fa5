package magpiehub;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import magpiehub.concurrent.MonotonicClock;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against streams that are cut by SIGKILL at a planned restart: a request that comes more than 0.7 s after
 * SIGTERM must be answered completely by then, unless its client requests the rest elsewhere.
 */
@Timeout(value = 120, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class PlannedRestartTest {
    /** By then a request that is taken must be answered completely before SIGKILL. */
    static final long REQUEST_AFTER_SIGTERM_MICROS = 800_000;

    private static final String MESSAGES_BODY = "{\"model\":\"m\",\"max_tokens\":9,\"stream\":true,"
            + "\"messages\":[{\"role\":\"user\",\"content\":\"x\"}]}";
    private static final String MESSAGES_REQUEST =
            "POST /v1/messages HTTP/1.1\r\nContent-Length: " + MESSAGES_BODY.length() + "\r\n\r\n" + MESSAGES_BODY;

    @TempDir
    Path folder;

    @Test
    void noStreamThatCannotBeResumedBeginsLateInAPlannedRestart() throws Exception {
        try (RouterProcess router = newRouter()) {
            router.replaceInConfiguration("\"resume\":true", "\"resume\":false");
            router.start();
            try (Socket watch = router.acceptWatch()) {
                assertNotServedLate(router, router.awaitListeningPort(), RouterProcess.chatRequest("1", "4000"));
            }
        }
    }

    /** Clients of the messages API can't resume a stream, even if those of the platform can. */
    @Test
    void noStreamOfTheMessagesListenerBeginsLateInAPlannedRestart() throws Exception {
        int port;
        try (ServerSocket free = RouterProcess.listen()) {
            port = free.getLocalPort();
        }
        Files.createDirectories(folder.resolve("deploy"));
        Files.writeString(
                folder.resolve("deploy/messages.json"), "{\"listen\":\"127.0.0.1:" + port + "\",\"class\":\"chat\"}");
        try (RouterProcess router = newRouter()) {
            router.setWorkingDirectory(folder);
            router.start();
            try (Socket watch = router.acceptWatch()) {
                router.awaitListeningPort();
                assertNotServedLate(router, port, MESSAGES_REQUEST);
            }
        }
    }

    private RouterProcess newRouter() throws IOException {
        return new RouterProcess(Files.createTempFile(folder, "router", ".json"));
    }

    /** Sends a request on a kept connection late after SIGTERM; it may be refused, or its connection closed. */
    private static void assertNotServedLate(RouterProcess router, int port, String request) throws Exception {
        router.serveConnections(PlannedRestartTest::streamForever);
        try (Socket client = new Socket(RouterProcess.LOOPBACK, port)) {
            BufferedReader answers = ServeTest.reader(client);
            ServeTest.send(client, "GET /up HTTP/1.1\r\n\r\n");
            ServeTest.readUntil(answers, "up");
            router.process().toHandle().destroy();
            MonotonicClock.SYSTEM.sleepUntil(MonotonicClock.SYSTEM.micros() + REQUEST_AFTER_SIGTERM_MICROS);
            String answer = ServeTest.answerOrEnd(client, answers, request);
            assertFalse(answer.startsWith("HTTP/1.1 200 "), "a stream has begun that can't end before SIGKILL");
        }
    }

    /** Answers a request with an event each 50 ms until the connection ends. */
    static void streamForever(Socket upstream) {
        try (upstream) {
            RouterProcess.readRequest(new BufferedReader(new InputStreamReader(upstream.getInputStream(), UTF_8)));
            ServeTest.send(upstream, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            while (true) {
                ServeTest.send(upstream, "9\r\ndata: x\n\n\r\n");
                MonotonicClock.SYSTEM.sleepUntil(MonotonicClock.SYSTEM.micros() + 50_000);
            }
        } catch (IOException e) {
            // The router has closed the connection.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
