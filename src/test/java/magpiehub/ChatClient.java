package magpiehub;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.IOException;
import java.net.Socket;
import magpiehub.concurrent.DaemonThreads;

/**
 * Sends the chat requests of a recorded exchange in either client protocol. One thread per request reads the answer and
 * records when it began, how it ended and when.
 */
final class ChatClient {
    /** One event in a chunk of 32 KiB. */
    private static final String LARGE_EVENT_CHUNK = "8000\r\ndata:" + "x".repeat(0x7ff9) + "\n\n\r\n";

    private static final String LAST_CHUNK = "0\r\n\r\n";

    private final ManualClock clock;
    private int requestCount;

    ChatClient(ManualClock clock) {
        this.clock = clock;
    }

    /** Sends a request whose prompt is {@code text}; equal prompts have equal route hashes. */
    void send(String clientName, ExchangePeer peer, String text, boolean useMessagesProtocol) throws IOException {
        String maxTokens = useMessagesProtocol ? "\"max_tokens\":9," : "";
        String body = "{\"model\":\"m\"," + maxTokens + "\"stream\":true,\"messages\":["
                + "{\"role\":\"user\",\"content\":\"" + text + "\"}]}";
        String head = "POST /v1/" + (useMessagesProtocol ? "messages" : "chat/completions")
                + " HTTP/1.1\r\nX-Call-Id: " + clientName + requestCount++
                + "\r\nX-Call-Class: chat\r\nX-Route-Hash: "
                + Integer.toHexString(text.hashCode()) + "\r\nX-Budget-Ms: 4000\r\nContent-Length: "
                + body.length() + "\r\n\r\n";
        peer.socket().getOutputStream().write((head + body).getBytes(UTF_8));
        peer.expectAnswer();
        DaemonThreads.newThread("answer", () -> awaitAnswer(peer)).start();
    }

    private void awaitAnswer(ExchangePeer peer) {
        try {
            peer.outcome().complete(readAnswer(peer) + " at " + clock.elapsedMillis());
        } catch (IOException | RuntimeException | AssertionError e) {
            peer.outcome().completeExceptionally(e);
        }
    }

    /** Reads an answer; it counts as served only with its last chunk, and as broken if the stream ends before that. */
    private String readAnswer(ExchangePeer peer) throws IOException {
        String status = peer.readLine().split(" ")[1];
        int length = peer.readContentLength();
        if (!status.equals("200")) {
            peer.readText(length);
            return status.equals("503") || status.equals("529") ? "refused" : "failed";
        }
        peer.begun().complete(Long.toString(clock.elapsedMillis()));
        try {
            peer.readAllChunks();
            return "served";
        } catch (IOException | AssertionError e) {
            return "broken";
        }
    }

    /** Sends at least {@code bytes} of events and the last chunk, on a thread of its own since writes may block. */
    static void sendEventsInBackground(Socket socket, int bytes) {
        DaemonThreads.newThread("event-sender", () -> sendEvents(socket, bytes)).start();
    }

    private static void sendEvents(Socket socket, int bytes) {
        byte[] chunk = LARGE_EVENT_CHUNK.getBytes(UTF_8);
        try {
            for (int sent = 0; sent < bytes; sent += chunk.length) {
                socket.getOutputStream().write(chunk);
            }
            socket.getOutputStream().write(LAST_CHUNK.getBytes(UTF_8));
        } catch (IOException e) {
            // The connection has ended; later steps of the exchange check for that.
        }
    }
}
