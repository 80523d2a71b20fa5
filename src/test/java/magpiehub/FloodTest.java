package magpiehub;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
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

/** A router as a process whose clients send much at once and go, or whose engine's answers never end. */
@Timeout(value = 120, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class FloodTest {
    private static final int CLIENTS = 40;
    private static final int REQUESTS = 60;
    /** An attempt that begins so long after its client's close is a fault; the platform allows two a day. */
    private static final long GONE_NANOS = 100_000_000;

    private static final int ATTEMPTS_ALLOWED = 2;
    /** The id of the request whose answer never ends. */
    private static final String SPOILT = "spoilt";

    private static final String WHOLE_ANSWER =
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + "e\r\ndata: [DONE]\n\n\r\n0\r\n\r\n";

    /** What an engine says first, and what it then says again and again. */
    private record Endless(String first, String again) {}

    private static final List<Endless> ENDLESS_ANSWERS = List.of(
            new Endless("HTTP/1.1 200 OK\r\n", "X-Filling: " + "x".repeat(1000) + "\r\n"),
            new Endless("HTTP/1.1 200 OK\r\nX-Filling: ", "x".repeat(1000)),
            new Endless("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0".repeat(1000)),
            new Endless("HTTP/1.1 500 No\r\nTransfer-Encoding: chunked\r\n\r\n", "3e8\r\n" + "x".repeat(1000) + "\r\n"),
            new Endless("", "HTTP/1.1 100 Continue\r\n\r\n"));

    @TempDir
    Path folder;
    /** When the client of each request closed its connection (ns). */
    private final Map<String, Long> closedAt = new ConcurrentHashMap<>();
    /** When each request reached the engine (ns). */
    private final Map<String, Long> attemptAt = new ConcurrentHashMap<>();

    private final LongAccumulator longestOversleep = new LongAccumulator(Math::max, 0);

    /** Many requests in one write, and a reset right after it: next to nothing of it is sent on once they
     *  have gone, and who stays is served. */
    @Test
    void clientsThatSendMuchAtOnceAndGoKeepNobodyFromBeingServed() throws Exception {
        try (RouterProcess router = new RouterProcess(Files.createTempFile(folder, "junit", ".tmp"))) {
            router.start();
            try (Socket watch = router.watched()) {
                int port = router.port();
                router.serve(this::answer);
                List<Future<?>> floods = new ArrayList<>();
                for (int i = 0; i < CLIENTS; i++) {
                    String name = "flood" + i;
                    floods.add(router.threads.submit(() -> flood(port, name)));
                }
                for (Future<?> flood : floods) {
                    flood.get();
                }
                assertEquals("HTTP/1.1 200 OK", answerTo(port, "stays", "60000"));
                assertTrue(router.process().isAlive());
            }
        }
        long bound = GONE_NANOS + longestOversleep.get();
        List<String> late = new ArrayList<>();
        attemptAt.forEach((id, at) -> {
            if (closedAt.containsKey(id) && at - closedAt.get(id) > bound) {
                late.add(id);
            }
        });
        assertTrue(late.size() <= ATTEMPTS_ALLOWED, "sent on after their clients had gone: " + late);
    }

    /** Each endless answer costs its attempt and nothing else: the client gets one final answer that is not
     *  200, and the next request is served. */
    @Test
    void answersThatNeverEndAreGivenUp() throws Exception {
        for (Endless endless : ENDLESS_ANSWERS) {
            try (RouterProcess router = new RouterProcess(Files.createTempFile(folder, "junit", ".tmp"))) {
                router.start();
                try (Socket watch = router.watched()) {
                    int port = router.port();
                    router.serve(connection -> spoil(connection, endless));
                    String answer = answerTo(port, SPOILT, "3000");
                    assertFalse(answer.contains(" 200 "), endless.first + answer);
                    assertEquals("HTTP/1.1 200 OK", answerTo(port, "next", "3000"));
                    assertTrue(router.process().isAlive());
                    assertTrue(get(port, "/up").startsWith("HTTP/1.1 200 OK"));
                }
            }
        }
    }

    private Void flood(int port, String name) throws IOException, InterruptedException {
        List<String> ids = new ArrayList<>();
        StringBuilder all = new StringBuilder();
        for (int i = 0; i < REQUESTS; i++) {
            ids.add(name + "-" + i);
            all.append(RouterProcess.ask(name + "-" + i, "60000"));
        }
        Socket client = new Socket(RouterProcess.LOOPBACK, port);
        ServeTest.say(client, all.toString());
        client.setSoLinger(true, 0);
        client.close();
        long now = System.nanoTime();
        ids.forEach(id -> closedAt.put(id, now));
        long until = System.nanoTime() + 10_000_000;
        Thread.sleep(10);
        longestOversleep.accumulate(System.nanoTime() - until);
        return null;
    }

    /** The status line of the answer to one request. */
    private static String answerTo(int port, String id, String budgetMs) throws IOException {
        try (Socket client = new Socket(RouterProcess.LOOPBACK, port)) {
            ServeTest.say(client, RouterProcess.ask(id, budgetMs));
            return ServeTest.reader(client).readLine();
        }
    }

    private static String get(int port, String path) throws IOException {
        try (Socket client = new Socket(RouterProcess.LOOPBACK, port)) {
            ServeTest.say(client, "GET " + path + " HTTP/1.1\r\nConnection: close\r\n\r\n");
            return new String(client.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    // ---- The engine -----------------------------------------------------------------------------------
    private void answer(Socket connection) {
        try (connection;
                BufferedReader requests = ServeTest.reader(connection)) {
            while (true) {
                attemptAt.put(RouterProcess.request(requests), System.nanoTime());
                ServeTest.say(connection, WHOLE_ANSWER);
            }
        } catch (IOException e) {
            // The router has closed it.
        }
    }

    /** Answers one request without end, until the router closes the connection, and all others at once. */
    private void spoil(Socket connection, Endless endless) {
        try (connection;
                BufferedReader requests = ServeTest.reader(connection)) {
            while (!RouterProcess.request(requests).equals(SPOILT)) {
                ServeTest.say(connection, WHOLE_ANSWER);
            }
            ServeTest.say(connection, endless.first);
            while (true) {
                ServeTest.say(connection, endless.again);
            }
        } catch (IOException e) {
            // The router has given it up.
        }
    }
}
