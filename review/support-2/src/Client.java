import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.concurrent.atomic.AtomicLong;

/** One client connection that is kept between requests. */
final class Client {
    private static final AtomicLong IDS = new AtomicLong(System.nanoTime() & 0xffffffffL);

    /** How a request ended, as its client sees it. */
    static final class Answer {
        String id;
        /** When the last byte of the request was written. */
        double sentAt;
        /** When the answer or the connection ended. */
        double endedAt;
        /** The status of the answer; 0 if none has come. */
        int status;
        /** Whether the answer came whole, to its last chunk or its last byte. */
        boolean whole;
        /** Whether the router said that the connection ends with this answer. */
        boolean closes;
        int events;
        String end = "";
        String body = "";

        @Override
        public String toString() {
            return id + " sent " + Math.round(sentAt) + " status " + status + (whole ? " whole" : " not whole") + ", " + events
                    + " events, ended " + Math.round(endedAt) + (end.isEmpty() ? "" : " (" + end + ")");
        }
    }

    private final Rig rig;
    private final Socket socket = new Socket();
    private final InputStream in;

    Client(Rig rig, int port) throws IOException {
        this.rig = rig;
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress(Rig.LOOPBACK, port), 2000);
        in = new BufferedInputStream(socket.getInputStream());
    }

    static String newId() {
        return String.format(Locale.ROOT, "%016x", IDS.incrementAndGet());
    }

    /** Sends a request of the platform's protocol and reads its answer. */
    Answer request(String className, int budgetMillis, int timeoutMillis) throws IOException {
        return request(newId(), className, budgetMillis, timeoutMillis);
    }

    /** Sends a request with an id of the caller's choice and reads its answer. */
    Answer request(String id, String className, int budgetMillis, int timeoutMillis) throws IOException {
        return exchange(id, platformRequest(id, className, budgetMillis), timeoutMillis);
    }

    /** A request of the platform's protocol as it is written to the connection. */
    static String platformRequest(String id, String className, int budgetMillis) {
        String body = "{\"model\":\"chat\",\"stream\":true,\"max_tokens\":400,\"messages\":[{\"role\":\"user\",\"content\":\"times of "
                + id + "\"}]}";
        String head = "POST /v1/chat/completions HTTP/1.1\r\nHost: origin.svc\r\nX-Call-Id: " + id + "\r\nX-Call-Class: "
                + className + "\r\nX-Caller: anping-harbour-rc\r\nX-Route-Hash: " + id + "\r\nX-Budget-Ms: " + budgetMillis
                + "\r\nX-Call-Info: prompt_len=100,prefix_len=0,max_out=400\r\nContent-Type: application/json\r\nContent-Length: "
                + body.length() + "\r\n\r\n";
        return head + body;
    }

    /** Sends a request of the messages API, not streamed, and reads its answer. */
    Answer message(String model, int timeoutMillis) throws IOException {
        String id = newId();
        String body = "{\"model\":\"" + model + "\",\"max_tokens\":100,\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}]}";
        String head = "POST /v1/messages HTTP/1.1\r\nHost: origin.svc\r\nX-Call-Id: " + id
                + "\r\nContent-Type: application/json\r\nContent-Length: " + body.length() + "\r\n\r\n";
        return exchange(id, head + body, timeoutMillis);
    }

    private Answer exchange(String id, String request, int timeoutMillis) throws IOException {
        Answer answer = new Answer();
        answer.id = id;
        try {
            socket.setSoTimeout(timeoutMillis);
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            answer.sentAt = rig.now();
            read(answer);
        } catch (SocketTimeoutException e) {
            answer.end = "no answer for " + timeoutMillis + " ms";
        } catch (IOException e) {
            answer.end = String.valueOf(e.getMessage());
        }
        answer.endedAt = rig.now();
        return answer;
    }

    private void read(Answer answer) throws IOException {
        String start = Rig.readLine(in);
        if (start == null) {
            answer.end = "connection closed without an answer";
            return;
        }
        answer.status = Integer.parseInt(start.split(" ")[1]);
        int length = -1;
        for (String line = Rig.readLine(in); line != null && !line.isEmpty(); line = Rig.readLine(in)) {
            String lower = line.toLowerCase(Locale.ROOT);
            length = lower.startsWith("content-length:") ? Integer.parseInt(lower.substring(15).strip()) : length;
            answer.closes |= lower.startsWith("connection:") && lower.contains("close");
        }
        if (length >= 0) {
            byte[] body = in.readNBytes(length);
            answer.body = new String(body, StandardCharsets.UTF_8);
            answer.whole = body.length == length;
            return;
        }
        while (true) {
            String size = Rig.readLine(in);
            if (size == null) {
                answer.end = "connection ended within the stream";
                return;
            }
            int bytes = Integer.parseInt(size.strip(), 16);
            if (in.readNBytes(bytes).length < bytes || Rig.readLine(in) == null) {
                answer.end = "connection ended within the stream";
                return;
            }
            if (bytes == 0) {
                answer.whole = true;
                return;
            }
            answer.events++;
        }
    }

    /** Whether the router has ended the connection, looked at between two requests. */
    boolean isEnded() {
        try {
            socket.setSoTimeout(1);
            in.mark(1);
            int b = in.read();
            in.reset();
            return b < 0;
        } catch (SocketTimeoutException e) {
            return false;
        } catch (IOException e) {
            return true;
        }
    }

    void close() {
        Rig.closeQuietly(socket);
    }
}
