package magpiehub.http;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class HttpResponsesTest {
    private final HttpWriter writer = new HttpWriter();

    private String take() {
        return new String(writer.take(), UTF_8);
    }

    @Test
    void aResponseHasItsHeadersInOrder() {
        HttpResponses.append(writer, 200, "text/plain", "ok".getBytes(UTF_8), false, "A", "1", "B", "2");
        assertEquals(
                "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 2\r\nA: 1\r\nB: 2\r\n\r\nok", take());
    }

    @Test
    void theLastResponseAnnouncesTheClose() {
        HttpResponses.append(writer, 529, "text/plain", new byte[0], true);
        assertEquals(
                "HTTP/1.1 529 Overloaded\r\nContent-Type: text/plain\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
                take());
    }

    @Test
    void anUnknownStatusHasAGenericReasonPhrase() {
        HttpResponses.append(writer, 418, "text/plain", new byte[0], false);
        assertEquals("HTTP/1.1 418 Status\r\nContent-Type: text/plain\r\nContent-Length: 0\r\n\r\n", take());
    }

    @Test
    void anErrorHasRetryAfterIfTheTimeIsKnown() {
        String head = "HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\nContent-Length: 2\r\n";
        HttpResponses.appendError(writer, 503, "{}", 0, false);
        assertEquals(head + "\r\n{}", take());
        HttpResponses.appendError(writer, 503, "{}", 1, false);
        assertEquals(head + "Retry-After: 0.001\r\n\r\n{}", take());
        HttpResponses.appendError(writer, 503, "{}", 2_050_001, true);
        assertEquals(head + "Retry-After: 2.051\r\nConnection: close\r\n\r\n{}", take());
    }

    @Test
    void anEventStreamIsChunked() {
        String head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nCache-Control: no-cache\r\n"
                + "Transfer-Encoding: chunked\r\n";
        HttpResponses.appendEventStreamHead(writer, false);
        assertEquals(head + "\r\n", take());
        HttpResponses.appendEventStreamHead(writer, true);
        assertEquals(head + "Connection: close\r\n\r\n", take());
    }
}
