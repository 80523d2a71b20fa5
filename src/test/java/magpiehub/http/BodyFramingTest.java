package magpiehub.http;

import static magpiehub.http.HttpAssertions.assertFails;
import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class BodyFramingTest {
    private static HttpHead head(String... namesAndValues) {
        HttpHeaders headers = new HttpHeaders();
        for (int i = 0; i < namesAndValues.length; i += 2) {
            headers.add(namesAndValues[i], namesAndValues[i + 1]);
        }
        return new HttpHead(new RequestLine("POST", "/", "HTTP/1.1"), headers);
    }

    private static int length(String... namesAndValues) throws HttpException {
        return BodyFraming.contentLength(head(namesAndValues), 1000);
    }

    @Test
    void readsTheBodyLengthFromTheHead() throws HttpException {
        assertEquals(0, length());
        assertEquals(0, length("Content-Length", "0"));
        assertEquals(12, length("content-length", "0012"));
        assertEquals(BodyFraming.CHUNKED, length("Transfer-Encoding", "Chunked"));
    }

    @Test
    void rejectsAmbiguousFraming() {
        String message = "ambiguous framing";
        assertFails(400, message, () -> length("Transfer-Encoding", "chunked", "Content-Length", "5"));
        assertFails(400, message, () -> length("Transfer-Encoding", "chunked", "transfer-encoding", "chunked"));
        assertFails(400, message, () -> length("Transfer-Encoding", "gzip, chunked"));
        assertFails(400, message, () -> length("Transfer-Encoding", "identity"));
    }

    @Test
    void rejectsMalformedLengths() {
        for (String value : new String[] {"", "-1", "+1", "0x1", "1 2", "5,5", "\uff11", "1234567890123456"}) {
            assertFails(400, "malformed Content-Length", () -> length("Content-Length", value));
        }
        assertFails(400, "malformed Content-Length", () -> length("Content-Length", "5", "Content-Length", "5"));
    }

    @Test
    void rejectsBodiesOverTheLimit() throws HttpException {
        assertEquals(1000, length("Content-Length", "1000"));
        assertFails(413, "body too large", () -> length("Content-Length", "1001"));
        assertFails(413, "body too large", () -> length("Content-Length", "999999999999999"));
    }

    @Test
    void theMaximumOfAChunkedBodyIsTheLimit() throws HttpException {
        assertEquals(7, BodyFraming.maxBodyBytes(head("Content-Length", "7")));
        assertEquals(HttpLimits.MAX_BODY_BYTES, BodyFraming.maxBodyBytes(head("Transfer-Encoding", "chunked")));
        assertEquals(0, BodyFraming.maxBodyBytes(head()));
    }
}
