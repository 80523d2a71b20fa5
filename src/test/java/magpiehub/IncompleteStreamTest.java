package magpiehub;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.BufferedReader;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.EnumMap;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Guards against ending a stream with the last chunk though its engine has not sent a whole answer. */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class IncompleteStreamTest {
    private static final String HEAD = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n";
    private static final String TEXT =
            "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"oqvh\"},\"finish_reason\":null}]}\n\n";
    private static final String FINISH =
            "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"e\"},\"finish_reason\":\"stop\"}]}\n\n";
    private static final String USAGE = "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":5,"
            + "\"completion_tokens\":2,\"prompt_tokens_details\":{\"cached_tokens\":4}}}\n\n";
    private static final String DONE = "data: [DONE]\n\n";
    private static final String JSON = "{\"choices\":[{\"message\":{\"content\":\"a\"},\"finish_reason\":\"stop\"}]}";
    private static final String LAST_CHUNK = "0\r\n\r\n";
    private static final String WHOLE = chunked(TEXT, TEXT, FINISH, USAGE, DONE) + LAST_CHUNK;
    /** More streams than an engine has to end with the marker before it is expected. */
    private static final int USUAL_STREAMS = 12;

    /** What reaches the client, apart from events. */
    private enum Outcome {
        /** The stream with its last chunk. */
        COMPLETE,
        /** The end of the connection without the last chunk. */
        CUT,
        /** A final answer other than 200. */
        NO_STREAM
    }

    /** Answers that are not whole, of an engine whose streams have not been seen before. */
    private enum Incomplete {
        LAST_CHUNK_AFTER_SOME_EVENTS(chunked(TEXT, TEXT) + LAST_CHUNK),
        LAST_CHUNK_WITH_TRAILERS(chunked(TEXT, TEXT) + "0\r\nX-Checksum: 1\r\n\r\n"),
        LAST_CHUNK_INSIDE_AN_EVENT(chunked(TEXT, TEXT.substring(0, 30)) + LAST_CHUNK),
        LAST_CHUNK_INSIDE_THE_USAGE(chunked(TEXT, FINISH, USAGE.substring(0, 40)) + LAST_CHUNK),
        LAST_CHUNK_INSIDE_THE_MARKER(chunked(TEXT, DONE.substring(0, 9)) + LAST_CHUNK),
        CHUNK_SIZE_READS_ZERO(chunked(TEXT) + "0\r\n" + TEXT + "\r\n" + chunked(FINISH, USAGE, DONE) + LAST_CHUNK),
        CONTENT_LENGTH_TOO_SHORT("Content-Length: " + TEXT.length() + "\r\n\r\n" + TEXT + FINISH + USAGE + DONE),
        CONTENT_LENGTH_OF_A_CUT_ANSWER("Content-Length: " + 2 * TEXT.length() + "\r\n\r\n" + TEXT + TEXT),
        ONLY_A_COMMENT(chunked(": processing\n\n") + LAST_CHUNK),
        CONNECTION_ENDS(chunked(TEXT, TEXT));

        private final String answer;

        Incomplete(String answer) {
            this.answer = answer;
        }
    }

    /** Whole answers of unusual engines. */
    private enum Unusual {
        NO_MARKER(chunked(TEXT, FINISH, USAGE) + LAST_CHUNK),
        NO_MARKER_AND_NO_USAGE(chunked(TEXT, FINISH) + LAST_CHUNK),
        NO_FINISH_REASON(chunked(TEXT, TEXT, DONE) + LAST_CHUNK),
        MARKER_WITHOUT_SPACE(chunked(TEXT, FINISH, "data:[DONE]\n\n") + LAST_CHUNK),
        MARKER_WITHOUT_BLANK_LINE(chunked(TEXT, FINISH, "data: [DONE]") + LAST_CHUNK),
        CARRIAGE_RETURNS(chunked((TEXT + DONE).replace("\n", "\r\n")) + LAST_CHUNK),
        ONLY_CARRIAGE_RETURNS(chunked((TEXT + DONE).replace('\n', '\r')) + LAST_CHUNK),
        COMMENT_BEHIND_THE_MARKER(chunked(TEXT, DONE, ": X-Load-Report: {}\n\n") + LAST_CHUNK),
        CONTENT_LENGTH("Content-Length: " + (TEXT + FINISH + DONE).length() + "\r\n\r\n" + TEXT + FINISH + DONE),
        ONE_BYTE_A_CHUNK(chunked((TEXT + FINISH + DONE).split("")) + LAST_CHUNK),
        TRAILERS(chunked(TEXT, FINISH, DONE) + "0\r\nX-Checksum: 1\r\n\r\n"),
        ANOTHER_PROTOCOL(chunked("data: {\"seal\":\"q\"}\n\n") + LAST_CHUNK),
        A_JSON_BODY("Content-Length: " + JSON.length() + "\r\n\r\n" + JSON);

        private final String answer;

        Unusual(String answer) {
            this.answer = answer;
        }
    }

    @TempDir
    Path folder;

    /** What the engine answers from now on: the bytes behind the first lines of the head. */
    private volatile String answer = WHOLE;

    @ParameterizedTest(name = "{0}")
    @EnumSource
    void aStreamThatIsNotWholeHasNoLastChunk(Incomplete incomplete) throws Exception {
        assertEquals(Map.of(Outcome.CUT, 1), outcomesOf(1, incomplete.answer));
    }

    /** An engine that ends its streams with the marker has not ended one without it, whatever else it has sent. */
    @ParameterizedTest(name = "{0}")
    @EnumSource(names = {"NO_MARKER", "NO_MARKER_AND_NO_USAGE", "ANOTHER_PROTOCOL"})
    void aStreamWithoutTheUsualMarkerHasNoLastChunk(Unusual incomplete) throws Exception {
        assertEquals(
                Map.of(Outcome.COMPLETE, USUAL_STREAMS, Outcome.CUT, 1),
                outcomesOf(USUAL_STREAMS + 1, incomplete.answer));
    }

    @Test
    void anAnswerWithoutEventsIsNoStream() throws Exception {
        assertEquals(Map.of(Outcome.NO_STREAM, 1), outcomesOf(1, chunked() + LAST_CHUNK));
    }

    @ParameterizedTest(name = "{0}")
    @EnumSource
    void aWholeStreamOfAnUnusualEngineIsServedWhole(Unusual unusual) throws Exception {
        assertEquals(Map.of(Outcome.COMPLETE, 1), outcomesOf(1, unusual.answer));
    }

    /** What becomes of some requests of which the engine answers all but the last with a whole stream. */
    private Map<Outcome, Integer> outcomesOf(int requests, String lastAnswer) throws Exception {
        Map<Outcome, Integer> outcomes = new EnumMap<>(Outcome.class);
        try (RouterProcess router = new RouterProcess(Files.createTempFile(folder, "router", ".json"))) {
            router.start();
            try (Socket watch = router.acceptWatch()) {
                int port = router.awaitListeningPort();
                router.serveConnections(this::answerRequest);
                for (int i = 0; i < requests; i++) {
                    answer = i == requests - 1 ? lastAnswer : WHOLE;
                    outcomes.merge(request(port, "stream" + i), 1, Integer::sum);
                }
            }
        }
        return outcomes;
    }

    private static Outcome request(int port, String id) throws IOException {
        try (Socket client = new Socket(RouterProcess.LOOPBACK, port)) {
            BufferedReader response = ServeTest.reader(client);
            ServeTest.send(client, RouterProcess.chatRequest(id, "3000"));
            if (!response.readLine().equals("HTTP/1.1 200 OK")) {
                return Outcome.NO_STREAM;
            }
            for (String line = response.readLine(); line != null; line = response.readLine()) {
                if (line.equals("0")) {
                    return Outcome.COMPLETE;
                }
            }
            return Outcome.CUT;
        }
    }

    /** Answers one request, and closes the connection only once the router has read the answer. */
    private void answerRequest(Socket upstream) {
        try (upstream) {
            RouterProcess.readRequest(ServeTest.reader(upstream));
            ServeTest.send(upstream, HEAD + answer);
            upstream.shutdownOutput();
            upstream.getInputStream().readAllBytes();
        } catch (IOException e) {
            // The router has closed the connection.
        }
    }

    /** The rest of the head and the body, each event a chunk of its own; without the last chunk. */
    private static String chunked(String... events) {
        StringBuilder body = new StringBuilder("Transfer-Encoding: chunked\r\n\r\n");
        for (String event : events) {
            body.append(Integer.toHexString(event.getBytes(StandardCharsets.UTF_8).length))
                    .append("\r\n")
                    .append(event)
                    .append("\r\n");
        }
        return body.toString();
    }
}
