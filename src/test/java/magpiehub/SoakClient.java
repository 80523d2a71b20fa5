package magpiehub;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.Socket;
import java.util.Queue;
import java.util.SplittableRandom;

/**
 * A client that sends one request after another and keeps its connection for as long as it stays open, also after
 * SIGTERM. Some requests it leaves by closing the connection.
 */
final class SoakClient implements Runnable {
    static final long NANOS_PER_MILLI = 1_000_000;

    private static final int MIN_BUDGET_MS = 1_000;
    private static final int MAX_BUDGET_MS = 3_000;
    private static final int LEAVES_PERCENT = 8;
    private static final int MAX_STAY_MS = 150;
    private static final int READ_TIMEOUT_MS = 15_000;
    private static final int MAX_PAUSE_MS = 80;

    /** One request and what became of it. */
    static final class Exchange {
        String id;
        boolean sideEffect;
        long budgetNanos;
        boolean newConnection;
        volatile long sentNanos;
        /** When the first byte of the answer came; 0 if none did. */
        volatile long answeredNanos;
        /** When the end of the answer or of the connection came; 0 if neither did. */
        volatile long endedNanos;
        /** When the client closed the connection itself; 0 if it did not. */
        volatile long leftNanos;

        volatile String status;
        /** The events of a stream, once it has its last chunk. */
        volatile String wholeAnswer;
    }

    private final String name;
    private final int port;
    private final SoakSignals signals;
    private final Queue<Exchange> exchanges;
    private final SplittableRandom random;
    private Socket socket;
    private BufferedReader in;

    SoakClient(String name, int port, long seed, SoakSignals signals, Queue<Exchange> exchanges) {
        this.name = name;
        this.port = port;
        this.signals = signals;
        this.exchanges = exchanges;
        this.random = new SplittableRandom(seed * 131 + name.hashCode());
    }

    @Override
    public void run() {
        try {
            for (int i = 0; !signals.isKilled(); i++) {
                boolean newConnection = socket == null;
                if (newConnection && !signals.mayConnect()) {
                    return;
                }
                exchange(name + "-" + i, newConnection);
                Thread.sleep(random.nextInt(MAX_PAUSE_MS));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void exchange(String id, boolean newConnection) throws InterruptedException {
        Exchange exchange = new Exchange();
        exchange.id = id;
        exchange.sideEffect = random.nextInt(3) == 0;
        exchange.newConnection = newConnection;
        int budgetMs = MIN_BUDGET_MS + random.nextInt(MAX_BUDGET_MS - MIN_BUDGET_MS);
        exchange.budgetNanos = budgetMs * NANOS_PER_MILLI;
        try {
            if (newConnection) {
                connect();
            }
            socket.getOutputStream().write(request(exchange, budgetMs).getBytes(UTF_8));
            exchange.sentNanos = System.nanoTime();
            exchanges.add(exchange);
            if (random.nextInt(100) < LEAVES_PERCENT) {
                Thread.sleep(random.nextInt(MAX_STAY_MS));
                exchange.leftNanos = System.nanoTime();
                disconnect();
                return;
            }
            readAnswer(exchange);
        } catch (IOException e) {
            disconnect();
        }
        exchange.endedNanos = System.nanoTime();
    }

    private void connect() throws IOException {
        socket = new Socket(InetAddress.getLoopbackAddress(), port);
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(READ_TIMEOUT_MS);
        in = new BufferedReader(new InputStreamReader(socket.getInputStream(), UTF_8));
    }

    private void disconnect() {
        try {
            if (socket != null) {
                socket.close();
            }
        } catch (IOException e) {
            // It is closed in any case.
        }
        socket = null;
    }

    private static String request(Exchange exchange, int budgetMs) {
        return "POST /v1/chat/completions HTTP/1.1\r\nX-Call-Id: " + exchange.id + "\r\nX-Call-Class: "
                + (exchange.sideEffect ? "order" : "chat") + "\r\nX-Budget-Ms: " + budgetMs
                + "\r\nContent-Length: 2\r\n\r\n{}";
    }

    private void readAnswer(Exchange exchange) throws IOException {
        String statusLine = readLine();
        exchange.answeredNanos = System.nanoTime();
        exchange.status = statusLine.substring(9, 12);
        int length = 0;
        boolean close = false;
        for (String line = readLine(); !line.isEmpty(); line = readLine()) {
            if (line.startsWith("Content-Length: ")) {
                length = Integer.parseInt(line.substring(16));
            }
            close |= line.equalsIgnoreCase("Connection: close");
        }
        if (exchange.status.equals("200")) {
            exchange.wholeAnswer = readChunks();
        } else {
            readText(length);
        }
        if (close) {
            disconnect();
        }
    }

    private String readChunks() throws IOException {
        StringBuilder body = new StringBuilder();
        for (int size = readChunkSize(); size > 0; size = readChunkSize()) {
            body.append(readText(size));
            readLine();
        }
        readLine();
        return body.toString();
    }

    private int readChunkSize() throws IOException {
        return Integer.parseInt(readLine(), 16);
    }

    private String readText(int length) throws IOException {
        char[] text = new char[length];
        for (int read = 0; read < length; ) {
            int count = in.read(text, read, length - read);
            if (count < 0) {
                throw new IOException("the connection ended");
            }
            read += count;
        }
        return new String(text);
    }

    private String readLine() throws IOException {
        String line = in.readLine();
        if (line == null) {
            throw new IOException("the connection ended");
        }
        return line;
    }
}
