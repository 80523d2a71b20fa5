package magpiehub;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Guards against a process that exceeds its memory limit where hundreds of clients are slow at the same time. */
@Timeout(value = 120, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class SlowClientsMemoryTest {
    private static final int CLIENTS = 900;
    /** The platform's limits. */
    private static final int MEMORY_LIMIT_MB = 192;

    private static final int DESCRIPTORS = 1024;

    private static final int DURATION_SECONDS = 10;
    private static final int PAUSE_MS = 200;
    private static final int SMALL_BUFFER_BYTES = 4096;
    private static final int BODY_BYTES = 240_000;
    private static final int SLOW_BYTES = 500;
    private static final int STREAM_EVENTS = 4000;

    private static final String EVENT = "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"" + "x".repeat(2000)
            + "\"},\"finish_reason\":null}]}\n\n";
    private static final byte[] CHUNK =
            (Integer.toHexString(EVENT.length()) + "\r\n" + EVENT + "\r\n").getBytes(StandardCharsets.UTF_8);

    /** What the slow clients do. */
    private enum Slowness {
        WRITES_SLOWLY,
        STOPS_HALFWAY,
        SENDS_MANY_SHORT_HEADERS,
        READS_SLOWLY;

        /** The bytes of a client's request that are sent, all at once or {@link #SLOW_BYTES} at a time. */
        private byte[] request(String id) {
            String request =
                    switch (this) {
                        case WRITES_SLOWLY, STOPS_HALFWAY -> largeRequest(id);
                        case SENDS_MANY_SHORT_HEADERS -> "POST /v1/chat/completions HTTP/1.1\r\n"
                                + "a:\r\n".repeat(4000);
                        case READS_SLOWLY -> RouterProcess.chatRequest(id, "3000");
                    };
            int length = this == STOPS_HALFWAY ? request.length() / 2 : request.length();
            return request.substring(0, length).getBytes(StandardCharsets.UTF_8);
        }

        private boolean sendsSlowly() {
            return this == WRITES_SLOWLY || this == SENDS_MANY_SHORT_HEADERS;
        }
    }

    /** One slow client: a connection, and the part of its request that is still to be sent. */
    private static final class SlowClient {
        private final Socket socket = new Socket();
        private final byte[] request;
        private int sent;

        SlowClient(Slowness slowness, String id, int port) throws IOException {
            request = slowness.request(id);
            socket.setReceiveBufferSize(SMALL_BUFFER_BYTES);
            socket.connect(new InetSocketAddress(RouterProcess.LOOPBACK, port));
            socket.setTcpNoDelay(true);
            send(slowness.sendsSlowly() ? SLOW_BYTES : request.length);
        }

        void send(int bytes) throws IOException {
            int count = Math.min(bytes, request.length - sent);
            socket.getOutputStream().write(request, sent, count);
            sent += count;
        }

        /** Sends and reads a little; returns false if the connection has ended. */
        boolean continueSlowly() {
            try {
                send(SLOW_BYTES);
                int available = socket.getInputStream().available();
                return available == 0 || socket.getInputStream().read(new byte[SLOW_BYTES]) >= 0;
            } catch (IOException e) {
                return false;
            }
        }

        void close() {
            try {
                socket.close();
            } catch (IOException e) {
                // It has been closed before.
            }
        }
    }

    @TempDir
    Path folder;

    @ParameterizedTest(name = "{0}")
    @EnumSource
    void hundredsOfSlowClientsDoNotExceedTheMemoryLimit(Slowness slowness) throws Exception {
        try (RouterProcess router = new RouterProcess(Files.createTempFile(folder, "router", ".json"))) {
            router.replaceInConfiguration(
                    "\"seed\":",
                    "\"limits\":{\"cores\":1.0,\"memory_mb\":" + MEMORY_LIMIT_MB + ",\"sockets\":" + DESCRIPTORS
                            + "},\"seed\":");
            router.start(RouterProcess.PLATFORM_COMMAND);
            try (Socket watch = router.acceptWatch()) {
                int port = router.awaitListeningPort();
                router.serveConnections(SlowClientsMemoryTest::answerWithoutEnd);
                List<SlowClient> clients = new ArrayList<>();
                long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(DURATION_SECONDS);
                for (int round = 0; System.nanoTime() < end; round++) {
                    connectMissing(clients, slowness, port, round);
                    Thread.sleep(PAUSE_MS);
                    clients.removeIf(client -> {
                        boolean open = client.continueSlowly();
                        if (!open) {
                            client.close();
                        }
                        return !open;
                    });
                }
                long peakMb = peakMemoryMb(router.process().pid());
                System.out.println(slowness + ": peak " + peakMb + " MB, " + clients.size() + " connections open");
                clients.forEach(SlowClient::close);
                assertTrue(peakMb <= MEMORY_LIMIT_MB, peakMb + " MB of " + MEMORY_LIMIT_MB);
            }
        }
    }

    private static void connectMissing(List<SlowClient> clients, Slowness slowness, int port, int round) {
        for (int i = clients.size(); i < CLIENTS; i++) {
            try {
                clients.add(new SlowClient(slowness, round + "-" + i, port));
            } catch (IOException e) {
                return; // The router accepts no more for now.
            }
        }
    }

    private static String largeRequest(String id) {
        return RouterProcess.chatRequest(id, "3000")
                        .replace("Length: 2\r\n\r\n{}", "Length: " + BODY_BYTES + "\r\n\r\n")
                + "{\"x\":\"" + "x".repeat(BODY_BYTES - 8) + "\"}";
    }

    /** The peak of a process's memory; 0 if it has ended. */
    static long peakMemoryMb(long pid) {
        try (Stream<String> lines = Files.lines(Path.of("/proc/" + pid + "/status"))) {
            String peak =
                    lines.filter(line -> line.startsWith("VmHWM:")).findFirst().orElse("0");
            return Long.parseLong(peak.replaceAll("\\D", "")) / 1024;
        } catch (IOException | UncheckedIOException e) {
            return 0;
        }
    }

    private static void answerWithoutEnd(Socket upstream) {
        try (upstream) {
            RouterProcess.readRequest(ServeTest.reader(upstream));
            ServeTest.send(upstream, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            for (int i = 0; i < STREAM_EVENTS; i++) {
                upstream.getOutputStream().write(CHUNK);
            }
        } catch (IOException e) {
            // The router has closed the connection.
        }
    }
}
