package magpiehub.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import magpiehub.concurrent.DaemonThreads;
import magpiehub.http.HttpHead;
import magpiehub.http.HttpReader;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests the classification of responses over sockets, with a fake router that misbehaves in one way per case. */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class LoadGeneratorTest {
    private static final String HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

    private LoadGenerator generator;

    /** The fake router's response to a request, given its id and the number of tokens requested. */
    private interface FakeRouter {
        String respond(String requestId, int tokens);
    }

    private static String event(String text) {
        String e = "data: " + text + "\n\n";
        return Integer.toHexString(e.length()) + "\r\n" + e + "\r\n";
    }

    private static String tokens(String call, int from, int to) {
        return event("{\"choices\":[{\"delta\":{\"content\":\"" + call + " " + from + " " + to + ";\"}}]}");
    }

    private static String completeStream(String call, int n) {
        return HEAD + tokens(call, 0, 1) + tokens(call, 1, n) + event("[DONE]") + "0\r\n\r\n";
    }

    /** A null response closes the connection; one that ends in "|" is sent and then closes it. */
    private static void serve(Socket socket, FakeRouter fakeRouter) {
        try (socket) {
            HttpReader in = new HttpReader(socket.getInputStream(), EngineSiteProcess::nowMicros);
            while (in.awaitMessage()) {
                HttpHead head = in.readRequestHead();
                String body = new String(in.readBody(head), StandardCharsets.UTF_8);
                String response = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
                if (head.method().equals("POST")) {
                    response = fakeRouter.respond(
                            head.headers().get("X-Call-Id"),
                            Integer.parseInt(body.replaceAll(".*\"max_tokens\":(\\d+).*", "$1")));
                }
                if (response == null) {
                    return;
                }
                socket.getOutputStream().write(response.replace("|", "").getBytes(StandardCharsets.UTF_8));
                if (response.endsWith("|")) {
                    return;
                }
            }
        } catch (IOException e) {
            return; // The client has disconnected.
        }
    }

    private Set<LoadGenerator.RequestOutcome> outcomesWith(FakeRouter fakeRouter) throws Exception {
        String json = Files.readString(Path.of("scenarios/zone-cut.json"))
                .replaceFirst("\"seconds\": \\d+", "\"seconds\": 1")
                .replaceFirst(
                        "(?s)\"sites\": \\[.*?\\],",
                        "\"sites\": [{\"name\": \"north\", \"routers\": 1," + " \"engines\": 1, \"rate\": 30}],")
                .replaceFirst("(?s)\"faults\": \\[.*", "\"faults\": []}");
        try (ServerSocket router = new ServerSocket(0, 128, InetAddress.getLoopbackAddress())) {
            DaemonThreads.newThread("router", () -> {
                        while (true) {
                            try {
                                Socket s = router.accept();
                                DaemonThreads.newThread("call", () -> serve(s, fakeRouter))
                                        .start();
                            } catch (IOException e) {
                                return;
                            }
                        }
                    })
                    .start();
            generator = new LoadGenerator(
                    Scenario.read(json, 1),
                    List.of(new LoadGenerator.RouterTarget(0, 0, "north-1")),
                    (from, r) -> (InetSocketAddress) router.getLocalSocketAddress(),
                    new LoadGenerator.RouterHealth() {
                        @Override
                        public boolean isHealthySince(int site, int r, long since) {
                            return true;
                        }

                        @Override
                        public void onUnanswered(int r, String call) {}
                    });
            assertTrue(generator.awaitRouters(30_000_000));
            for (Thread t : generator.startArrivals(EngineSiteProcess.nowMicros())) {
                t.join();
            }
            List<LoadGenerator.RequestRecord> all = generator.awaitResults(30_000_000);
            assertEquals(0, generator.pendingRequests());
            assertTrue(all.size() > 5);
            assertEquals(
                    0, all.stream().filter(LoadGenerator.RequestRecord::excused).count(), "no request is excused");
            return all.stream().map(LoadGenerator.RequestRecord::outcome).collect(Collectors.toSet());
        }
    }

    @Test
    void completeStreamIsServed() throws Exception {
        assertEquals(Set.of(LoadGenerator.RequestOutcome.SERVED), outcomesWith(LoadGeneratorTest::completeStream));
        assertEquals(0, generator.duplicateResponses());
    }

    @Test
    void secondResponseOnAConnectionIsCounted() throws Exception {
        outcomesWith((call, n) -> completeStream(call, n) + "HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n|");
        assertTrue(generator.duplicateResponses() > 0);
    }

    @Test
    void connectionClosedWithoutResponseIsNone() throws Exception {
        assertEquals(Set.of(LoadGenerator.RequestOutcome.NONE), outcomesWith((call, n) -> null));
    }

    @Test
    void streamWithMissingOrForeignTokensIsSpoilt() throws Exception {
        assertEquals(
                Set.of(LoadGenerator.RequestOutcome.SPOILT),
                outcomesWith(
                        (call, n) -> HEAD + tokens(call, 0, 1) + tokens(call, 2, n) + event("[DONE]") + "0\r\n\r\n"));
        assertEquals(
                Set.of(LoadGenerator.RequestOutcome.SPOILT),
                outcomesWith((call, n) -> completeStream("0" + call.substring(1) + "x", n)));
        assertEquals(
                Set.of(LoadGenerator.RequestOutcome.SPOILT),
                outcomesWith((call, n) -> HEAD + tokens(call, 0, n) + "0\r\n\r\n"),
                "the stream ends normally without its final event");
    }

    @Test
    void interruptedStreamIsBroken() throws Exception {
        assertEquals(
                Set.of(LoadGenerator.RequestOutcome.BROKEN),
                outcomesWith((call, n) -> HEAD + tokens(call, 0, 1) + "|"));
    }

    @Test
    void refusedAndFailedAreDistinguished() throws Exception {
        assertEquals(
                Set.of(LoadGenerator.RequestOutcome.REFUSED),
                outcomesWith((call, n) -> "HTTP/1.1 503 x\r\nRetry-After: 0.05\r\nContent-Length: 0\r\n\r\n"));
        assertEquals(
                Set.of(LoadGenerator.RequestOutcome.FAILED),
                outcomesWith((call, n) -> "HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n"));
    }
}
