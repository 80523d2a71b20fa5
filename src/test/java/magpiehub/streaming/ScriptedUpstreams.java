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
 * Upstreams on loopback that write the stream which the id of a request asks for. They measure how soon they learn
 * that a client has gone.
 */
final class ScriptedUpstreams implements AutoCloseable {
    private static final int BACKLOG = 512;

    private final List<ServerSocket> servers = new ArrayList<>();
    /** When clients left (ns), by the ids of their requests; until the upstream has seen the end. */
    private final Map<String, Long> leftAtNanos = new ConcurrentHashMap<>();

    private final ConcurrentLinkedQueue<Long> disconnectDelays = new ConcurrentLinkedQueue<>();

    /** Starts so many upstreams. */
    ScriptedUpstreams(int count) throws IOException {
        for (int i = 0; i < count; i++) {
            ServerSocket server = new ServerSocket(0, BACKLOG, InetAddress.getByName("127.0.0.1"));
            servers.add(server);
            DaemonThreads.newThread("accept", () -> accept(server)).start();
        }
    }

    /** The upstreams in the form of the endpoint list. */
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

    /** Records that the client of a request leaves now. */
    void clientLeaves(String requestId) {
        leftAtNanos.put(requestId, System.nanoTime());
    }

    /** How long after their clients had left upstreams learned of it, in ascending order (us). */
    long[] disconnectDelays() {
        return disconnectDelays.stream().mapToLong(Long::longValue).sorted().toArray();
    }

    private void accept(ServerSocket server) {
        while (!server.isClosed()) {
            try {
                Socket socket = server.accept();
                socket.setTcpNoDelay(true);
                DaemonThreads.newThread("engine", () -> serve(socket)).start();
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
                    // Nothing more from here: what remains is to see the router close the connection.
                    int next = socket.getInputStream().read();
                    throw new IOException("after silence " + next);
                }
                out.write("0\r\n\r\n".getBytes(UTF_8));
            }
        } catch (IOException | InterruptedException e) {
            Long left = leftAtNanos.remove(id);
            if (left != null) {
                disconnectDelays.add((System.nanoTime() - left) / 1000);
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
