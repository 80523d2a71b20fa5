package magpiehub.http;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static magpiehub.http.HttpAssertions.assertFails;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The reader as a whole, on the complete input of a connection. */
class HttpReaderTest {
    private static final String CHUNKED_HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

    /** Reads a body in one of several ways. */
    private interface BodyReader {
        void read(HttpReader reader, HttpHead head, List<String> parts) throws Exception;
    }

    private static List<String> readResponses(HttpReader reader, BodyReader bodyReader) throws Exception {
        List<String> parts = new ArrayList<>();
        while (reader.awaitMessage()) {
            bodyReader.read(reader, reader.readResponseHead(), parts);
            parts.add("end");
        }
        return parts;
    }

    private static void readBody(HttpReader reader, HttpHead head, List<String> parts) throws Exception {
        parts.add(new String(reader.readBody(head), ISO_8859_1));
    }

    private static void readEvents(HttpReader reader, HttpHead head, List<String> parts) throws Exception {
        reader.readEvents(head, event -> parts.add(new String(event, ISO_8859_1)));
    }

    private static void readLines(HttpReader reader, HttpHead head, List<String> parts) throws Exception {
        reader.readLines(head, line -> parts.add(new String(line, ISO_8859_1)), 100);
    }

    private static void assertReads(List<String> expected, String input, BodyReader bodyReader) throws Exception {
        for (int split = 1; split < input.length(); split++) {
            assertEquals(expected, readResponses(PiecewiseInputStream.reader(input, split), bodyReader));
        }
    }

    @Test
    void readsConsecutiveBodies() throws Exception {
        String input = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"
                + CHUNKED_HEAD + "2\r\nch\r\n5\r\nunked\r\n0\r\n\r\n"
                + "HTTP/1.1 204 No Content\r\n\r\n";
        assertReads(List.of("body", "end", "chunked", "end", "", "end"), input, HttpReaderTest::readBody);
    }

    @Test
    void readsEventsAcrossChunks() throws Exception {
        String input = CHUNKED_HEAD + "9\r\ndata: 1\n\n\r\n7\r\ndata: 2\r\n2\r\n\n\n\r\n0\r\n\r\n"
                + "HTTP/1.1 200 OK\r\nContent-Length: 16\r\n\r\ndata: 3\n\ndata: 4";
        assertReads(
                List.of("data: 1\n\n", "data: 2\n\n", "end", "data: 3\n\n", "data: 4", "end"),
                input,
                HttpReaderTest::readEvents);
    }

    @Test
    void readsLinesAcrossChunksAndDropsAnUnterminatedLastLine() throws Exception {
        String input = CHUNKED_HEAD + "3\r\na\nb\r\n4\r\nc\n\nd\r\n0\r\n\r\n"
                + "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nx\ny";
        assertReads(List.of("a", "bc", "", "end", "x\ny", "end"), input, HttpReaderTest::readLines);
    }

    @Test
    void rejectsAStreamWithoutFraming() {
        assertFails(
                502,
                "stream without framing",
                () -> readResponses(
                        PiecewiseInputStream.reader("HTTP/1.1 200 OK\r\n\r\n"), HttpReaderTest::readEvents));
    }

    @Test
    void rejectsAChunkedBodyOverTheLimit() {
        String half = Integer.toHexString(HttpLimits.MAX_BODY_BYTES / 2);
        String chunk = half + "\r\n" + "x".repeat(HttpLimits.MAX_BODY_BYTES / 2) + "\r\n";
        HttpReader reader = PiecewiseInputStream.reader(CHUNKED_HEAD + chunk + chunk + "1\r\n");
        assertFails(413, "body too large", () -> readResponses(reader, HttpReaderTest::readBody));
    }

    @Test
    void reportsWhetherBytesFollowTheMessage() throws Exception {
        String message = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx";
        HttpReader reader = PiecewiseInputStream.reader(message + message);
        reader.awaitMessage();
        reader.readBody(reader.readResponseHead());
        assertFalse(reader.isBufferEmpty());
        reader.readBody(reader.readResponseHead());
        assertTrue(reader.isBufferEmpty());
    }
}
