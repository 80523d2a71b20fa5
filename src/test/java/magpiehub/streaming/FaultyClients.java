package magpiehub.streaming;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import magpiehub.http.HttpHead;
import magpiehub.http.HttpReader;

/** Clients of the router, each with one stream and the fault that is injected into it. */
final class FaultyClients {
    private static final int SLOW_CLIENT_RECEIVE_BUFFER = 8 * 1024;
    private static final int READ_TIMEOUT_MS = 30_000;
    private static final int SECONDS_WITHOUT_READING = 7;
    private static final int EVENTS_BEFORE_LEAVING = 5;

    private final int port;
    private final ScriptedUpstreams upstreams;
    private final long pauseMs;
    private final AtomicInteger wrongBytes = new AtomicInteger();
    private final AtomicInteger rejected = new AtomicInteger();
    private final AtomicInteger streams = new AtomicInteger();
    private final AtomicInteger openStreams = new AtomicInteger();
    private final AtomicInteger maxOpenStreams = new AtomicInteger();

    /**
     * Clients of the router at a port.
     *
     * @param pauseMs how long a client that pauses takes nothing
     */
    FaultyClients(int port, ScriptedUpstreams upstreams, long pauseMs) {
        this.port = port;
        this.upstreams = upstreams;
        this.pauseMs = pauseMs;
    }

    /** Streams whose bytes were not those sent. */
    int wrongBytes() {
        return wrongBytes.get();
    }

    /** Requests that were not answered with a stream. */
    int rejected() {
        return rejected.get();
    }

    /** Requests that were answered with a stream. */
    int streams() {
        return streams.get();
    }

    /** The most streams that were open at once. */
    int maxOpenStreams() {
        return maxOpenStreams.get();
    }

    /**
     * Sends a request and reads its stream as the fault says. Gaps between events (us) are added to {@code gaps},
     * unless null.
     */
    void run(String id, StreamFault fault, ConcurrentLinkedQueue<Long> gaps) {
        try (Socket socket = new Socket()) {
            connect(socket, fault);
            socket.getOutputStream().write(request(id));
            HttpReader in = new HttpReader(socket.getInputStream(), () -> System.nanoTime() / 1000);
            if (!in.awaitMessage()) {
                return;
            }
            HttpHead head = in.readResponseHead();
            if (head.status() != 200) {
                rejected.incrementAndGet();
                return;
            }
            streams.incrementAndGet();
            maxOpenStreams.accumulateAndGet(openStreams.incrementAndGet(), Math::max);
            try {
                read(socket, in, head, id, fault, gaps);
            } finally {
                openStreams.decrementAndGet();
            }
        } catch (IOException | InterruptedException e) {
            // Cut off, which the router counts.
        }
    }

    private void connect(Socket socket, StreamFault fault) throws IOException {
        if (fault != StreamFault.NONE) {
            socket.setReceiveBufferSize(SLOW_CLIENT_RECEIVE_BUFFER);
        }
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port));
        socket.setSoTimeout(READ_TIMEOUT_MS);
    }

    private static byte[] request(String id) {
        return ("POST /v1/chat/completions HTTP/1.1\r\nX-Call-Id: " + id
                        + "\r\nX-Call-Class: chat\r\nX-Route-Hash: " + Integer.toHexString(id.hashCode())
                        + "\r\nX-Budget-Ms: 8000\r\nContent-Length: 2\r\n\r\n{}")
                .getBytes(UTF_8);
    }

    /** Thrown by a client that leaves in the middle of its stream. */
    private static final class ClientLeavesException extends IOException {
        private static final long serialVersionUID = 1L;
    }

    private void read(
            Socket socket, HttpReader in, HttpHead head, String id, StreamFault fault, ConcurrentLinkedQueue<Long> gaps)
            throws IOException, InterruptedException {
        if (fault == StreamFault.STOPS_READING || fault == StreamFault.BYTE_A_SECOND) {
            readSlowly(socket, fault);
            return;
        }
        if (fault == StreamFault.PAUSES) {
            TimeUnit.MILLISECONDS.sleep(pauseMs);
        }
        ByteArrayOutputStream received = new ByteArrayOutputStream();
        try {
            readEvents(in, head, fault, gaps, received);
        } catch (ClientLeavesException e) {
            leave(socket, id, fault);
            return;
        } catch (IOException e) {
            check(received, fault, false);
            return;
        }
        check(received, fault, true);
    }

    private static void readSlowly(Socket socket, StreamFault fault) throws IOException, InterruptedException {
        for (int i = 0; i < SECONDS_WITHOUT_READING; i++) {
            TimeUnit.MILLISECONDS.sleep(1000);
            if (fault == StreamFault.BYTE_A_SECOND) {
                socket.getInputStream().read();
            }
        }
    }

    private static void readEvents(
            HttpReader in,
            HttpHead head,
            StreamFault fault,
            ConcurrentLinkedQueue<Long> gaps,
            ByteArrayOutputStream received)
            throws IOException, InterruptedException {
        long[] lastEventNanos = {0};
        int[] events = {0};
        in.readEvents(head, event -> {
            long now = System.nanoTime();
            if (gaps != null && lastEventNanos[0] != 0) {
                gaps.add((now - lastEventNanos[0]) / 1000);
            }
            lastEventNanos[0] = now;
            received.writeBytes(event);
            boolean leaves = fault == StreamFault.LEAVES || fault == StreamFault.RESETS;
            if (++events[0] == EVENTS_BEFORE_LEAVING && leaves) {
                throw new ClientLeavesException();
            }
        });
    }

    private void leave(Socket socket, String id, StreamFault fault) throws IOException, InterruptedException {
        // The upstream has written all that it will by then, and is silent.
        TimeUnit.MILLISECONDS.sleep(10L * ScriptedStream.EVENT_MS);
        upstreams.clientLeaves(id);
        if (fault == StreamFault.RESETS) {
            socket.setSoLinger(true, 0);
        }
        socket.close();
    }

    private void check(ByteArrayOutputStream received, StreamFault fault, boolean complete) {
        if (!ScriptedStream.matches(received.toByteArray(), fault, complete)) {
            wrongBytes.incrementAndGet();
        }
    }
}
