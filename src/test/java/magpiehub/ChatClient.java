package magpiehub;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.IOException;
import java.net.Socket;
import magpiehub.concurrent.DaemonThreads;

/**
 * Sends a recorded exchange's chat requests in one client protocol. A thread of each request's own reads the answer
 * and notes when it began, and how and when it ended.
 */
final class ChatClient {
    /** A chunk of 32 KiB that holds one event. */
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

    /** Served only with the last chunk; a head alone, or events without it, is a broken stream. */
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

    /** Sends events of at least so many bytes in all, and the last chunk, by a thread: it may have to wait. */
    static void sendEventsInBackground(Socket socket, int bytes) {
        DaemonThreads.newThread("sends", () -> sendEvents(socket, bytes)).start();
    }

    private static void sendEvents(Socket socket, int bytes) {
        byte[] chunk = LARGE_EVENT_CHUNK.getBytes(UTF_8);
        try {
            for (int sent = 0; sent < bytes; sent += chunk.length) {
                socket.getOutputStream().write(chunk);
            }
            socket.getOutputStream().write(LAST_CHUNK.getBytes(UTF_8));
        } catch (IOException e) {
            // The connection has ended, which the next steps of the exchange look at.
        }
    }
}
