package magpiehub.discovery;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.locks.LockSupport;
import magpiehub.concurrent.DaemonThreads;
import magpiehub.http.HttpHead;
import magpiehub.http.HttpReader;
import magpiehub.http.HttpWriter;
import magpiehub.http.Sockets;

/**
 * One endpoint of a {@link FakeRegistry}: a listening port that serves the registry's data, with the faults that a test
 * injects and no others. Its fields may be set from any thread.
 */
final class FakeRegistryEndpoint {
    private static final int BACKLOG = 512;
    private static final long BYTE_INTERVAL_NANOS = 50_000_000;
    private static final int NO_TRUNCATION = -1;

    private final FakeRegistry registry;
    private final ServerSocket server;
    private final int port;
    private final Set<Socket> openSockets = ConcurrentHashMap.newKeySet();

    /**
     * The fault of later requests. Setting the field alone does not affect open connections, see
     * {@link #injectFault}.
     */
    volatile FakeRegistry.Fault fault = FakeRegistry.Fault.NONE;

    /** By how many revisions this endpoint lags behind the registry. */
    volatile long revisionsBehind;

    /** After how many bytes the next response, or the next line of a watch, is truncated; -1 for none. */
    volatile int truncateAfterBytes = NO_TRUNCATION;

    /** The delay of each response (ms). */
    volatile long delayMillis;

    FakeRegistryEndpoint(FakeRegistry registry) throws IOException {
        this.registry = registry;
        this.server = new ServerSocket(0, BACKLOG, InetAddress.getByName("127.0.0.1"));
        this.port = server.getLocalPort();
        DaemonThreads.newThread("fake-registry", this::acceptConnections).start();
    }

    String address() {
        return "127.0.0.1:" + port;
    }

    /**
     * Injects a fault. Closes open connections, unless the fault makes the endpoint or its watches silent. An endpoint
     * that is down keeps its port and resets each new connection.
     */
    void injectFault(FakeRegistry.Fault injected) {
        fault = injected;
        if (injected != FakeRegistry.Fault.SILENT && injected != FakeRegistry.Fault.SILENT_WATCHES) {
            closeConnections();
        }
        synchronized (registry) {
            registry.notifyAll();
        }
    }

    /** Closes all open connections. */
    void closeConnections() {
        openSockets.forEach(Sockets::closeQuietly);
    }

    void close() {
        injectFault(FakeRegistry.Fault.DOWN);
        try {
            server.close();
        } catch (IOException e) {
            // The port is not used any more, so a failure to close it has no effect on the test.
        }
    }

    /** Returns the revision that this endpoint reports. The caller holds the registry's monitor. */
    long visibleRevision() {
        return Math.max(1, registry.revision - revisionsBehind);
    }

    private void acceptConnections() {
        while (!server.isClosed()) {
            try {
                Socket socket = server.accept();
                openSockets.add(socket);
                if (fault == FakeRegistry.Fault.DOWN) {
                    socket.setSoLinger(true, 0);
                    socket.close();
                    openSockets.remove(socket);
                    continue;
                }
                DaemonThreads.newThread("fake-registry-peer", () -> serve(socket))
                        .start();
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            HttpReader in = new HttpReader(socket.getInputStream(), () -> 0);
            while (in.awaitMessage()) {
                serveRequest(in, socket.getOutputStream());
            }
        } catch (IOException | InterruptedException | RuntimeException e) {
            // The client or this endpoint closed the connection.
        } finally {
            openSockets.remove(socket);
        }
    }

    private void serveRequest(HttpReader in, OutputStream out) throws IOException, InterruptedException {
        HttpHead head = in.readRequestHead();
        byte[] body = in.readBody(head);
        String target = head.target();
        int mark = target.indexOf('?');
        String path = mark < 0 ? target : target.substring(0, mark);
        String query = mark < 0 ? "" : target.substring(mark + 1);
        registry.requestCounts.merge(path, 1, Integer::sum);
        if (delayMillis > 0) {
            Thread.sleep(delayMillis);
        }
        waitWhileSilent();
        if (fault == FakeRegistry.Fault.RATE_LIMITED) {
            send(out, 429, "Retry-After: 0.2\r\n", "{}");
        } else if (path.startsWith("/v3/")) {
            registry.etcd.respond(this, head, path, body, out);
        } else {
            registry.consul.respond(this, head, path, query, body, out);
        }
    }

    private void waitWhileSilent() throws InterruptedException {
        synchronized (registry) {
            while (fault == FakeRegistry.Fault.SILENT) {
                registry.wait();
            }
        }
    }

    /** Writes a response; {@code headers} are complete lines with line ends. */
    void send(OutputStream out, int status, String headers, byte[] body) throws IOException {
        HttpWriter response = new HttpWriter();
        response.append("HTTP/1.1 " + status + " X\r\n" + headers + "Content-Length: " + body.length + "\r\n\r\n");
        response.append(body);
        write(out, response.take());
    }

    void send(OutputStream out, int status, String headers, String body) throws IOException {
        send(out, status, headers, body.getBytes(UTF_8));
    }

    /** Writes all bytes, unless an injected fault delays or truncates them. */
    void write(OutputStream out, byte[] bytes) throws IOException {
        for (int i = 0; fault == FakeRegistry.Fault.BYTE_BY_BYTE; i = Math.min(i + 1, bytes.length - 1)) {
            out.write(bytes, i, 1);
            out.flush();
            LockSupport.parkNanos(BYTE_INTERVAL_NANOS);
        }
        int length = truncateAfterBytes;
        if (length >= 0 && length < bytes.length) {
            truncateAfterBytes = NO_TRUNCATION;
            out.write(bytes, 0, length);
            throw new IOException("response truncated by the test");
        }
        out.write(bytes);
    }
}
