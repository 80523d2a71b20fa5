package magpiehub.protocol;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import magpiehub.http.HttpException;
import magpiehub.http.HttpHead;
import magpiehub.http.HttpReader;
import magpiehub.http.HttpWriter;

/** Runs a synthetic exchange of the platform's protocol in memory until its code is JIT-compiled. */
final class PlatformWarmUp {
    /** Enough for the JIT compiler to compile the loops over bytes. */
    private static final int ROUNDS = 60;

    private static final int EVENTS = 20;
    private static final int BODY_LENGTH = 8192;
    /** The prompt length that, with the surrounding JSON, gives a body of {@link #BODY_LENGTH} bytes. */
    private static final int PROMPT_LENGTH = 8163;

    private final PlatformProtocol protocol;
    private final byte[] request;
    private final byte[] response;

    /** Creates a warm-up with requests of a class from the settings. */
    PlatformWarmUp(PlatformProtocol protocol, String className) {
        this.protocol = protocol;
        this.request = createRequest(className);
        this.response = createResponse();
    }

    private static byte[] createRequest(String className) {
        return ("POST " + PlatformProtocol.PATH + " HTTP/1.1\r\nHost: warm\r\nX-Call-Id: 0\r\nX-Call-Class: "
                        + className + "\r\n"
                        + "X-Caller: warm\r\nX-Route-Hash: 7f\r\nX-Budget-Ms: 1\r\n"
                        + "X-Call-Info: prefix=5c,prompt_len=9\r\n"
                        + "Content-Length: " + BODY_LENGTH + "\r\n\r\n{\"stream\":true,\"messages\":\""
                        + "x".repeat(PROMPT_LENGTH) + "\"}")
                .getBytes(StandardCharsets.UTF_8);
    }

    private static byte[] createResponse() {
        String event = "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"oqvh\"}}]}\n\n";
        return ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                        + (Integer.toHexString(event.length()) + "\r\n" + event + "\r\n").repeat(EVENTS)
                        + "0\r\n\r\n")
                .getBytes(StandardCharsets.UTF_8);
    }

    /** Does nothing if the class name can't be sent in a header; no client could send such a request either. */
    void run() throws IOException {
        HttpWriter out = new HttpWriter();
        for (int i = 0; i < ROUNDS; i++) {
            ProtocolExchange exchange;
            try {
                exchange = readRequest();
            } catch (HttpException e) {
                return;
            }
            writeResponse(exchange, out);
        }
    }

    private ProtocolExchange readRequest() throws IOException {
        HttpReader input = new HttpReader(new ByteArrayInputStream(request), () -> 0);
        input.awaitMessage();
        HttpHead head = input.readRequestHead();
        return protocol.readRequest(head, input.readBody(head), 0);
    }

    private void writeResponse(ProtocolExchange exchange, HttpWriter out) throws IOException {
        HttpReader upstream = new HttpReader(new ByteArrayInputStream(response), () -> 0);
        upstream.awaitMessage();
        exchange.writeStart(out, false);
        try {
            upstream.readEvents(upstream.readResponseHead(), event -> exchange.writeEvent(out, event));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        exchange.writeEnd(out, false);
        out.take();
    }
}
