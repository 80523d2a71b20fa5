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

/** Clients of the router, each of which requests one stream and behaves as the injected fault requires. */
final class FaultyClients {
    private static final int FAULTY_CLIENT_RECEIVE_BUFFER_BYTES = 8 * 1024;
    private static final int READ_TIMEOUT_MS = 30_000;
    private static final int SECONDS_WITHOUT_READING = 7;
    private static final int EVENTS_BEFORE_DISCONNECT = 5;

    private final int port;
    private final ScriptedUpstreams upstreams;
    private final long pauseMs;
    private final AtomicInteger corruptedStreams = new AtomicInteger();
    private final AtomicInteger rejected = new AtomicInteger();
    private final AtomicInteger streams = new AtomicInteger();
    private final AtomicInteger openStreams = new AtomicInteger();
    private final AtomicInteger maxOpenStreams = new AtomicInteger();

    /**
     * Creates clients of the router that listens on {@code port}.
     *
     * @param pauseMs how long a client that pauses does not read
     */
    FaultyClients(int port, ScriptedUpstreams upstreams, long pauseMs) {
        this.port = port;
        this.upstreams = upstreams;
        this.pauseMs = pauseMs;
    }

    /** The number of streams whose received bytes differed from those sent. */
    int corruptedStreams() {
        return corruptedStreams.get();
    }

    /** The number of requests that were not answered with a stream. */
    int rejected() {
        return rejected.get();
    }

    /** The number of requests that were answered with a stream. */
    int streams() {
        return streams.get();
    }

    /** The peak number of concurrent streams. */
    int maxOpenStreams() {
        return maxOpenStreams.get();
    }

    /**
     * Sends a request and reads its stream with the given fault. The gaps between events, in microseconds, are added to
     * {@code gaps} unless it is null.
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
            // The router closed the connection, and counts why.
        }
    }

    private void connect(Socket socket, StreamFault fault) throws IOException {
        if (fault != StreamFault.NONE) {
            socket.setReceiveBufferSize(FAULTY_CLIENT_RECEIVE_BUFFER_BYTES);
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

    /** Thrown to stop reading when the client disconnects in the middle of its stream. */
    private static final class ClientDisconnectsException extends IOException {
        private static final long serialVersionUID = 1L;
    }

    private void read(
            Socket socket, HttpReader in, HttpHead head, String id, StreamFault fault, ConcurrentLinkedQueue<Long> gaps)
            throws IOException, InterruptedException {
        if (fault == StreamFault.CLIENT_STOPS_READING || fault == StreamFault.CLIENT_READS_SLOWLY) {
            readSlowly(socket, fault);
            return;
        }
        if (fault == StreamFault.CLIENT_PAUSES) {
            TimeUnit.MILLISECONDS.sleep(pauseMs);
        }
        ByteArrayOutputStream received = new ByteArrayOutputStream();
        try {
            readEvents(in, head, fault, gaps, received);
        } catch (ClientDisconnectsException e) {
            disconnect(socket, id, fault);
            return;
        } catch (IOException e) {
            verify(received, fault, false);
            return;
        }
        verify(received, fault, true);
    }

    private static void readSlowly(Socket socket, StreamFault fault) throws IOException, InterruptedException {
        for (int i = 0; i < SECONDS_WITHOUT_READING; i++) {
            TimeUnit.MILLISECONDS.sleep(1000);
            if (fault == StreamFault.CLIENT_READS_SLOWLY) {
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
            boolean disconnects = fault == StreamFault.CLIENT_CLOSES || fault == StreamFault.CLIENT_RESETS;
            if (++events[0] == EVENTS_BEFORE_DISCONNECT && disconnects) {
                throw new ClientDisconnectsException();
            }
        });
    }

    private void disconnect(Socket socket, String id, StreamFault fault) throws IOException, InterruptedException {
        // By then the upstream has written everything up to its silence.
        TimeUnit.MILLISECONDS.sleep(10L * ScriptedStream.EVENT_MS);
        upstreams.recordClientDisconnect(id);
        if (fault == StreamFault.CLIENT_RESETS) {
            socket.setSoLinger(true, 0);
        }
        socket.close();
    }

    private void verify(ByteArrayOutputStream received, StreamFault fault, boolean complete) {
        if (!ScriptedStream.matches(received.toByteArray(), fault, complete)) {
            corruptedStreams.incrementAndGet();
        }
    }
}
