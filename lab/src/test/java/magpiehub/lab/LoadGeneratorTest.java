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

/** The verdict on each answer, on sockets: a router that does wrong in one way, and the word that the rig
 *  has for
 *  it. This is how each bound on answers was seen to fail. */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class LoadGeneratorTest {
    private static final String HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

    private LoadGenerator clients;

    /** What a router says to a request: its id, and how many tokens are asked for. */
    private interface Answer {
        String to(String call, int tokens);
    }

    private static String event(String text) {
        String e = "data: " + text + "\n\n";
        return Integer.toHexString(e.length()) + "\r\n" + e + "\r\n";
    }

    private static String tokens(String call, int from, int to) {
        return event("{\"choices\":[{\"delta\":{\"content\":\"" + call + " " + from + " " + to + ";\"}}]}");
    }

    private static String whole(String call, int n) {
        return HEAD + tokens(call, 0, 1) + tokens(call, 1, n) + event("[DONE]") + "0\r\n\r\n";
    }

    /** An answer of null ends the connection; one that ends in "|" ends it behind what was said. */
    private static void serve(Socket s, Answer answer) {
        try (s) {
            HttpReader in = new HttpReader(s.getInputStream(), EngineSiteProcess::nowMicros);
            while (in.awaitMessage()) {
                HttpHead h = in.readRequestHead();
                String body = new String(in.readBody(h), StandardCharsets.UTF_8);
                String say = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
                if (h.method().equals("POST")) {
                    say = answer.to(
                            h.headers().get("X-Call-Id"),
                            Integer.parseInt(body.replaceAll(".*\"max_tokens\":(\\d+).*", "$1")));
                }
                if (say == null) {
                    return;
                }
                s.getOutputStream().write(say.replace("|", "").getBytes(StandardCharsets.UTF_8));
                if (say.endsWith("|")) {
                    return;
                }
            }
        } catch (IOException e) {
            return; // The client has gone.
        }
    }

    private Set<LoadGenerator.RequestOutcome> ends(Answer answer) throws Exception {
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
                                DaemonThreads.newThread("call", () -> serve(s, answer))
                                        .start();
                            } catch (IOException e) {
                                return;
                            }
                        }
                    })
                    .start();
            clients = new LoadGenerator(
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
            assertTrue(clients.awaitRouters(30_000_000));
            for (Thread t : clients.startArrivals(EngineSiteProcess.nowMicros())) {
                t.join();
            }
            List<LoadGenerator.RequestRecord> all = clients.awaitResults(30_000_000);
            assertEquals(0, clients.pendingRequests());
            assertTrue(all.size() > 5);
            assertEquals(
                    0, all.stream().filter(LoadGenerator.RequestRecord::excused).count(), "none is excused");
            return all.stream().map(LoadGenerator.RequestRecord::outcome).collect(Collectors.toSet());
        }
    }

    @Test
    void aWholeStreamIsServed() throws Exception {
        assertEquals(Set.of(LoadGenerator.RequestOutcome.SERVED), ends(LoadGeneratorTest::whole));
        assertEquals(0, clients.duplicateResponses());
    }

    @Test
    void aSecondAnswerBehindTheFirstIsCounted() throws Exception {
        ends((call, n) -> whole(call, n) + "HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n|");
        assertTrue(clients.duplicateResponses() > 0);
    }

    @Test
    void aConnectionThatEndsWithoutAWordIsNone() throws Exception {
        assertEquals(Set.of(LoadGenerator.RequestOutcome.NONE), ends((call, n) -> null));
    }

    @Test
    void aStreamThatLacksTokensOrHasAnothersIsSpoilt() throws Exception {
        assertEquals(
                Set.of(LoadGenerator.RequestOutcome.SPOILT),
                ends((call, n) -> HEAD + tokens(call, 0, 1) + tokens(call, 2, n) + event("[DONE]") + "0\r\n\r\n"));
        assertEquals(
                Set.of(LoadGenerator.RequestOutcome.SPOILT),
                ends((call, n) -> whole("0" + call.substring(1) + "x", n)));
        assertEquals(
                Set.of(LoadGenerator.RequestOutcome.SPOILT),
                ends((call, n) -> HEAD + tokens(call, 0, n) + "0\r\n\r\n"),
                "an end in order that is none");
    }

    @Test
    void aStreamThatBreaksOffIsBroken() throws Exception {
        assertEquals(Set.of(LoadGenerator.RequestOutcome.BROKEN), ends((call, n) -> HEAD + tokens(call, 0, 1) + "|"));
    }

    @Test
    void refusedAndFailedAreToldApart() throws Exception {
        assertEquals(
                Set.of(LoadGenerator.RequestOutcome.REFUSED),
                ends((call, n) -> "HTTP/1.1 503 x\r\nRetry-After: 0.05\r\nContent-Length: 0\r\n\r\n"));
        assertEquals(
                Set.of(LoadGenerator.RequestOutcome.FAILED),
                ends((call, n) -> "HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n"));
    }
}
