package magpiehub.http;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static magpiehub.http.HttpAssertions.assertFails;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class HttpHeadersTest {
    private final HttpHeaders headers = new HttpHeaders();

    @Test
    void getReturnsTheFirstOfSeveral() {
        headers.add("X-A", "first");
        headers.add("x-a", "second");
        assertEquals("first", headers.get("X-a"));
        assertNull(headers.get("X-B"));
    }

    @Test
    void getSingleRejectsDuplicates() throws HttpException {
        headers.add("X-A", "first");
        assertEquals("first", headers.getSingle("x-a"));
        assertNull(headers.getSingle("X-B"));
        headers.add("x-A", "first");
        assertFails(400, "X-A stands twice", () -> headers.getSingle("X-A"));
    }

    @Test
    void containsTokenSearchesEveryHeaderOfTheName() {
        headers.add("Connection", "a ,b");
        headers.add("connection", " Close");
        assertTrue(headers.containsToken("CONNECTION", "B"));
        assertTrue(headers.containsToken("Connection", "close"));
        assertFalse(headers.containsToken("Connection", "c"));
        assertFalse(headers.containsToken("Other", "a"));
    }

    @Test
    void endToEndLinesOmitHopByHopHeaders() {
        headers.add("Host", "router");
        headers.add("Content-Length", "5");
        headers.add("Transfer-Encoding", "chunked");
        headers.add("Connection", "keep-alive, X-Hop");
        headers.add("X-Hop", "dropped");
        headers.add("X-Name", "v\u00e9");
        headers.add("x-name", "");
        headers.add("X-Filtered", "dropped");
        List<String> testedNames = new ArrayList<>();
        byte[] lines = headers.endToEndLines(name -> {
            testedNames.add(name);
            return !name.equals("x-filtered");
        });
        assertEquals("X-Name: v\u00e9\r\nx-name: \r\n", new String(lines, ISO_8859_1));
        assertEquals(List.of("x-name", "x-name", "x-filtered"), testedNames);
    }
}
