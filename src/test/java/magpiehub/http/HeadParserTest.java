package magpiehub.http;

import static magpiehub.http.HttpAssertions.assertFails;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.EOFException;
import java.io.IOException;
import org.junit.jupiter.api.Test;

class HeadParserTest {
    private static final String REQUEST =
            "POST /v1/generate?x=1 HTTP/1.1\r\nHost: router\r\nX-Caller:  alice \r\nx-caller: bob\r\n\r\n";

    private static HttpHead request(String input, int... pieceEnds) throws IOException {
        return new HeadParser(PiecewiseInputStream.buffer(input, pieceEnds)).readRequestHead();
    }

    private static HttpHead response(String input) throws IOException {
        return new HeadParser(PiecewiseInputStream.buffer(input)).readResponseHead();
    }

    private static HttpHead requestWith(String headers) throws IOException {
        return request("GET / HTTP/1.1\r\n" + headers + "\r\n");
    }

    @Test
    void readsARequestSplitAtAnyPosition() throws IOException {
        for (int split = 1; split < REQUEST.length(); split++) {
            HttpHead head = request(REQUEST, split);
            assertEquals("POST", head.method());
            assertEquals("/v1/generate?x=1", head.target());
            assertEquals("router", head.headers().get("host"));
            assertEquals("alice", head.headers().get("X-CALLER"));
            assertEquals(2, head.headers().count("X-Caller"));
        }
    }

    @Test
    void readsARequestByteByByte() throws IOException {
        int[] everyPosition = new int[REQUEST.length()];
        for (int i = 0; i < everyPosition.length; i++) {
            everyPosition[i] = i + 1;
        }
        assertEquals("alice", request(REQUEST, everyPosition).headers().get("X-Caller"));
    }

    @Test
    void readsLinesThatEndWithALineFeedAlone() throws IOException {
        assertEquals("b", request("GET / HTTP/1.1\na: b\n\n").headers().get("a"));
    }

    @Test
    void readsResponsesWithAndWithoutAReasonPhrase() throws IOException {
        assertEquals(503, response("HTTP/1.1 503 Not right now\r\n\r\n").status());
        assertEquals(204, response("HTTP/1.0 204\r\n\r\n").status());
    }

    @Test
    void skipsTwoEmptyLinesBeforeAMessageButNotThree() throws IOException {
        assertEquals("GET", request("\r\n\r\nGET / HTTP/1.1\r\n\r\n").method());
        assertFails(400, "malformed request line", () -> request("\r\n\r\n\r\nGET / HTTP/1.1\r\n\r\n"));
    }

    @Test
    void rejectsMalformedStartLines() {
        for (String line : new String[] {
            "GET /",
            "GET  / HTTP/1.1",
            "GET / HTTP/1.1 ",
            "G(T / HTTP/1.1",
            " / HTTP/1.1",
            "GET / HTTP/2",
            "GET / http/1.1"
        }) {
            assertFails(400, "malformed request line", () -> request(line + "\r\n\r\n"));
        }
        for (String line :
                new String[] {"HTTP/1.1", "HTTP/1.1 20 x", "HTTP/1.1 2000 x", "HTTP/1.1 2x0 x", "HTTP/2 200 x"}) {
            assertFails(502, "malformed status line", () -> response(line + "\r\n\r\n"));
        }
    }

    @Test
    void rejectsFoldedHeaders() {
        assertFails(400, "malformed header", () -> requestWith("a: b\r\n folded: c\r\n"));
        assertFails(400, "malformed header", () -> requestWith("a: b\r\n\tfolded\r\n"));
    }

    @Test
    void rejectsMalformedHeaderNames() {
        for (String header : new String[] {"a : b", ": b", "no colon", "a\u00e9: b", "a@b: c"}) {
            assertFails(400, "malformed header", () -> requestWith(header + "\r\n"));
        }
    }

    @Test
    void rejectsControlCharactersInRequestsAndAcceptsThemInResponses() throws IOException {
        for (char c : new char[] {0, 1, '\r', 0x1f, 0x7f}) {
            assertFails(400, "control character in header", () -> requestWith("a: x" + c + "y\r\n"));
            assertEquals(
                    "x" + c + "y",
                    response("HTTP/1.1 200 OK\r\na: x" + c + "y\r\n\r\n")
                            .headers()
                            .get("a"));
        }
        assertFails(400, "control character in start line", () -> response("HTTP/1.1 200 O\u0001K\r\n\r\n"));
        assertEquals("x\ty", requestWith("a: x\ty\r\n").headers().get("a"));
    }

    @Test
    void acceptsUpToAHundredHeaders() throws IOException {
        String header = "a: b\r\n";
        assertEquals(100, requestWith(header.repeat(100)).headers().count("a"));
        assertFails(431, "headers too large", () -> requestWith(header.repeat(101)));
    }

    @Test
    void rejectsLargeHeads() throws IOException {
        int startLine = "GET / HTTP/1.1".length();
        int fits = HttpLimits.MAX_HEAD_BYTES - startLine - "a: ".length() - "\r\n".length() - 1;
        assertEquals(
                fits,
                requestWith("a: " + "x".repeat(fits) + "\r\n")
                        .headers()
                        .get("a")
                        .length());
        assertFails(431, "headers too large", () -> requestWith("a: " + "x".repeat(fits + 1) + "\r\n"));
        assertFails(431, "header too long", () -> requestWith("a: " + "x".repeat(HttpLimits.MAX_HEAD_BYTES) + "\r\n"));
        assertFails(
                431,
                "start line too long",
                () -> request("GET /" + "x".repeat(HttpLimits.MAX_HEAD_BYTES) + " HTTP/1.1\r\n\r\n"));
    }

    @Test
    void aTruncatedHeadThrowsEofException() {
        for (int length = 1; length < REQUEST.length(); length++) {
            String part = REQUEST.substring(0, length);
            assertThrows(EOFException.class, () -> request(part));
        }
    }

    @Test
    void closesConnectionDependsOnVersionAndConnectionHeader() throws IOException {
        assertFalse(request("GET / HTTP/1.1\r\n\r\n").closesConnection());
        assertTrue(request("GET / HTTP/1.1\r\nConnection: x, Close\r\n\r\n").closesConnection());
        assertTrue(request("GET / HTTP/1.0\r\n\r\n").closesConnection());
        assertFalse(request("GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n").closesConnection());
        assertTrue(response("HTTP/1.0 200 OK\r\n\r\n").closesConnection());
        assertFalse(response("HTTP/1.1 200 OK\r\n\r\n").closesConnection());
    }
}
