import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** A model server as the protocol's page describes it; a behaviour decides what becomes of each request. */
final class Engine {
    /** Decides what becomes of a request whose last byte has come. */
    interface Behaviour {
        void handle(Request request) throws IOException;
    }

    /** A complete request on its connection. */
    static final class Request {
        final Engine engine;
        final Map<String, String> headers;
        final double receivedAt;
        final Socket socket;

        Request(Engine engine, Map<String, String> headers, double receivedAt, Socket socket) {
            this.engine = engine;
            this.headers = headers;
            this.receivedAt = receivedAt;
            this.socket = socket;
        }

        String id() {
            return headers.get("x-call-id");
        }

        /**
         * Answers with a stream: the first event after a time, one each further period, then the usage and the end.
         *
         * @param close whether the engine closes the connection after the answer
         */
        void stream(double firstMillis, int events, double periodMillis, boolean close) throws IOException {
            Rig.sleep(firstMillis);
            OutputStream out = socket.getOutputStream();
            out.write(("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
                            + (close ? "Connection: close\r\n" : "") + "\r\n")
                    .getBytes(StandardCharsets.US_ASCII));
            for (int i = 0; i < events; i++) {
                if (i > 0) {
                    Rig.sleep(periodMillis);
                }
                String finish = i == events - 1 ? "\"stop\"" : "null";
                event(out, "{\"choices\":[{\"index\":0,\"delta\":{\"content\":\"" + id() + "-" + i + " \"},\"finish_reason\":" + finish + "}]}");
            }
            event(out, "{\"choices\":[],\"usage\":{\"prompt_tokens\":100,\"completion_tokens\":" + 4 * events
                    + ",\"prompt_tokens_details\":{\"cached_tokens\":0}}}");
            event(out, "[DONE]");
            out.write("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            engine.rig.log(engine.name + ": answered " + id());
            if (close) {
                socket.shutdownOutput();
            }
        }

        private static void event(OutputStream out, String data) throws IOException {
            String text = "data: " + data + "\n\n";
            out.write((Integer.toHexString(text.length()) + "\r\n" + text + "\r\n").getBytes(StandardCharsets.US_ASCII));
        }

        /** Sends the head of a stream after a time. */
        void beginStream(double firstMillis) throws IOException {
            Rig.sleep(firstMillis);
            socket.getOutputStream()
                    .write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
                            .getBytes(StandardCharsets.US_ASCII));
        }

        /** Sends one event in a chunk whose size says so many bytes more than it has. */
        void sendEvent(int number, int excess) throws IOException {
            String text = "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"" + id() + "-" + number
                    + " \"},\"finish_reason\":null}]}\n\n";
            socket.getOutputStream()
                    .write((Integer.toHexString(text.length() + excess) + "\r\n" + text + "\r\n")
                            .getBytes(StandardCharsets.US_ASCII));
        }

        /** Resets the connection. */
        void reset() throws IOException {
            engine.rig.log(engine.name + ": resets the connection of " + id());
            socket.setSoLinger(true, 0);
            socket.close();
        }
    }

    final Rig rig;
    final String name;
    private final ServerSocket server;
    private final Behaviour behaviour;
    private final List<Socket> fillers = new ArrayList<>();
    private volatile boolean accepting = true;

    Engine(Rig rig, String name, Behaviour behaviour) throws IOException {
        this(rig, name, 64, behaviour);
    }

    Engine(Rig rig, String name, int backlog, Behaviour behaviour) throws IOException {
        this.rig = rig;
        this.name = name;
        this.behaviour = behaviour;
        server = new ServerSocket(0, backlog, Rig.LOOPBACK);
        server.setSoTimeout(10);
        Rig.daemon(this::accept);
    }

    int port() {
        return server.getLocalPort();
    }

    /** From now on connections don't come up: the machine's queue of connections is full until {@link #comeUp}. */
    void delayConnections() throws IOException {
        accepting = false;
        Rig.sleep(30);
        try {
            while (true) {
                Socket filler = new Socket();
                fillers.add(filler);
                filler.connect(new InetSocketAddress(Rig.LOOPBACK, port()), 100);
            }
        } catch (SocketTimeoutException e) {
            rig.log(name + ": connections don't come up for now");
        }
    }

    /** Connections come up again; those that wait do so with the next try of their system. */
    void comeUp() {
        accepting = true;
        fillers.forEach(Rig::closeQuietly);
        fillers.clear();
        rig.log(name + ": connections come up again");
    }

    private void accept() {
        while (!server.isClosed()) {
            if (!accepting) {
                Rig.sleep(5);
                continue;
            }
            try {
                Socket socket = server.accept();
                Rig.daemon(() -> serve(socket));
            } catch (SocketTimeoutException e) {
                // Checks again whether connections are to come up.
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            for (String start = Rig.readLine(in); start != null; start = Rig.readLine(in)) {
                Map<String, String> headers = new HashMap<>();
                for (String line = Rig.readLine(in); line != null && !line.isEmpty(); line = Rig.readLine(in)) {
                    int colon = line.indexOf(':');
                    headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
                }
                int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
                if (in.readNBytes(length).length < length) {
                    return;
                }
                if (start.startsWith("GET") || headers.get("x-call-id") == null) {
                    socket.getOutputStream().write("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
                    continue;
                }
                Request request = new Request(this, headers, rig.now(), socket);
                rig.log(name + ": received " + request.id() + " budget " + headers.get("x-budget-ms"));
                behaviour.handle(request);
                if (socket.isClosed()) {
                    return;
                }
            }
        } catch (IOException | RuntimeException e) {
            // The router has closed the connection.
        }
    }
}
