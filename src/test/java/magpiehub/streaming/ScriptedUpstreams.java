package magpiehub.streaming;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import magpiehub.concurrent.DaemonThreads;
import magpiehub.http.HttpHead;
import magpiehub.http.HttpReader;

/**
 * Upstreams on loopback that write the stream for the fault named in the request id. They measure how soon they detect
 * that a client has disconnected.
 */
final class ScriptedUpstreams implements AutoCloseable {
    private static final int BACKLOG = 512;

    private final List<ServerSocket> servers = new ArrayList<>();
    /** When clients disconnected, by request id; removed once the upstream detects it. */
    private final Map<String, Long> disconnectedAtNanos = new ConcurrentHashMap<>();

    private final ConcurrentLinkedQueue<Long> disconnectDelays = new ConcurrentLinkedQueue<>();

    /** Starts {@code count} upstreams. */
    ScriptedUpstreams(int count) throws IOException {
        for (int i = 0; i < count; i++) {
            ServerSocket server = new ServerSocket(0, BACKLOG, InetAddress.getByName("127.0.0.1"));
            servers.add(server);
            DaemonThreads.newThread("accept", () -> accept(server)).start();
        }
    }

    /** The upstreams as members of a JSON endpoint list. */
    String endpointsJson() {
        StringBuilder endpoints = new StringBuilder();
        for (int i = 0; i < servers.size(); i++) {
            endpoints
                    .append(i == 0 ? "" : ",")
                    .append("{\"id\":\"e")
                    .append(i)
                    .append("\",\"host_port\":\"127.0.0.1:")
                    .append(servers.get(i).getLocalPort())
                    .append("\",\"phase\":\"Ready\"}");
        }
        return endpoints.toString();
    }

    /** Records that the client of a request disconnects now. */
    void recordClientDisconnect(String requestId) {
        disconnectedAtNanos.put(requestId, System.nanoTime());
    }

    /** The sorted delays, in microseconds, with which upstreams detected that their clients had disconnected. */
    long[] disconnectDelays() {
        return disconnectDelays.stream().mapToLong(Long::longValue).sorted().toArray();
    }

    private void accept(ServerSocket server) {
        while (!server.isClosed()) {
            try {
                Socket socket = server.accept();
                socket.setTcpNoDelay(true);
                DaemonThreads.newThread("upstream", () -> serve(socket)).start();
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        String id = "";
        try (socket) {
            HttpReader in = new HttpReader(socket.getInputStream(), () -> 0);
            while (in.awaitMessage()) {
                HttpHead head = in.readRequestHead();
                in.readBody(head);
                id = head.headers().get("X-Call-Id");
                StreamFault fault = StreamFault.ofRequestId(id);
                OutputStream out = socket.getOutputStream();
                out.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes(UTF_8));
                if (!ScriptedStream.write(fault, out)) {
                    // Nothing more is sent; wait until the router closes the connection.
                    int next = socket.getInputStream().read();
                    throw new IOException("connection closed during silence, read " + next);
                }
                out.write("0\r\n\r\n".getBytes(UTF_8));
            }
        } catch (IOException | InterruptedException e) {
            Long disconnected = disconnectedAtNanos.remove(id);
            if (disconnected != null) {
                disconnectDelays.add((System.nanoTime() - disconnected) / 1000);
            }
        }
    }

    @Override
    public void close() throws IOException {
        for (ServerSocket server : servers) {
            server.close();
        }
    }
}
