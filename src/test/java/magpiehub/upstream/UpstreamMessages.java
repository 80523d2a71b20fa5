package magpiehub.upstream;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import magpiehub.concurrent.MonotonicClock;
import magpiehub.http.HttpReader;

/** What an upstream that is played by a test reads and writes. */
final class UpstreamMessages {
    static final String RESPONSE_HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

    private UpstreamMessages() {}

    /** Reads one request, head and body. */
    static void readRequest(Socket connection) throws IOException {
        HttpReader input = new HttpReader(connection.getInputStream(), MonotonicClock.SYSTEM);
        assertTrue(input.awaitMessage());
        input.readBody(input.readRequestHead());
    }

    /** An event whose content is the given text. */
    static String event(String text) {
        return "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"" + text + "\"}}]}\n\n";
    }

    /** A chunk that holds such an event. */
    static String chunk(String text) {
        return Integer.toHexString(event(text).length()) + "\r\n" + event(text) + "\r\n";
    }

    /** A complete stream of one such event. */
    static byte[] response(String text) {
        return (RESPONSE_HEAD + chunk(text) + "0\r\n\r\n").getBytes(UTF_8);
    }
}
