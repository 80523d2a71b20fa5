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
 * One endpoint of a {@link FakeRegistry}: a listening port that serves the registry's data, with the faults that a
 * test injects. It fails only as told. Its fields may be set from any thread.
 */
final class FakeRegistryEndpoint {
    private static final int BACKLOG = 512;
    private static final long DRIP_INTERVAL_NANOS = 50_000_000;
    private static final int NO_CUT = -1;

    private final FakeRegistry registry;
    private final ServerSocket server;
    private final int port;
    private final Set<Socket> openSockets = ConcurrentHashMap.newKeySet();

    /** How requests from now on fail; set alone it leaves open connections as they are, see {@link #fault}. */
    volatile FakeRegistry.Fault fault = FakeRegistry.Fault.NONE;

    /** How many revisions this endpoint is behind. */
    volatile long revisionsBehind;

    /** How many bytes of the next response, or of the next line of a watch, are written before a cut; -1 for all. */
    volatile int cutAfterBytes = NO_CUT;

    /** How long each response is held back (ms). */
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
     * Injects a fault. Open connections are cut, unless the endpoint is only to fall silent. An endpoint that is down
     * resets whoever connects, and keeps its port.
     */
    void fault(FakeRegistry.Fault injected) {
        fault = injected;
        if (injected != FakeRegistry.Fault.SILENT && injected != FakeRegistry.Fault.MUTE) {
            cut();
        }
        synchronized (registry) {
            registry.notifyAll();
        }
    }

    /** Cuts all open connections. */
    void cut() {
        openSockets.forEach(Sockets::closeQuietly);
    }

    void close() {
        fault(FakeRegistry.Fault.DOWN);
        try {
            server.close();
        } catch (IOException e) {
            // It is of no use any more either way.
        }
    }

    /** The revision that this endpoint shows; under the registry's monitor. */
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
            // The client closed the connection, or this endpoint did.
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
        if (fault == FakeRegistry.Fault.REFUSING) {
            send(out, 429, "Retry-After: 0.2\r\n", "{}");
        } else if (path.startsWith("/v3/")) {
            registry.etcd.answer(this, head, path, body, out);
        } else {
            registry.consul.answer(this, head, path, query, body, out);
        }
    }

    private void waitWhileSilent() throws InterruptedException {
        synchronized (registry) {
            while (fault == FakeRegistry.Fault.SILENT) {
                registry.wait();
            }
        }
    }

    /** Writes a response; {@code headers} are lines of their own, each with its end. */
    void send(OutputStream out, int status, String headers, byte[] body) throws IOException {
        HttpWriter response = new HttpWriter();
        response.append("HTTP/1.1 " + status + " X\r\n" + headers + "Content-Length: " + body.length + "\r\n\r\n");
        response.append(body);
        write(out, response.take());
    }

    void send(OutputStream out, int status, String headers, String body) throws IOException {
        send(out, status, headers, body.getBytes(UTF_8));
    }

    /** Writes all bytes, or as many as the injected faults let through. */
    void write(OutputStream out, byte[] bytes) throws IOException {
        for (int i = 0; fault == FakeRegistry.Fault.DRIPS; i = Math.min(i + 1, bytes.length - 1)) {
            out.write(bytes, i, 1);
            out.flush();
            LockSupport.parkNanos(DRIP_INTERVAL_NANOS);
        }
        int length = cutAfterBytes;
        if (length >= 0 && length < bytes.length) {
            cutAfterBytes = NO_CUT;
            out.write(bytes, 0, length);
            throw new IOException("cut");
        }
        out.write(bytes);
    }
}
