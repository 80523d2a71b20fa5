package magpiehub.upstream;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import magpiehub.concurrent.ActorThreadPool;
import magpiehub.concurrent.DaemonThreads;
import magpiehub.concurrent.MonotonicClock;
import magpiehub.concurrent.ThreadBudget;
import magpiehub.config.ConfigurationObject;
import magpiehub.config.SiteSettings;
import magpiehub.config.SiteSettingsParser;
import magpiehub.dispatch.ClientCallback;
import magpiehub.dispatch.EndpointListSource;
import magpiehub.dispatch.RequestDispatcher;
import magpiehub.http.HttpHead;
import magpiehub.http.HttpReader;
import magpiehub.protocol.PlatformProtocol;
import magpiehub.protocol.ProtocolExchange;
import magpiehub.protocol.StreamListener;
import magpiehub.routing.Endpoint;
import magpiehub.routing.EndpointListKind;
import magpiehub.routing.EndpointState;
import magpiehub.streaming.FlowController;
import magpiehub.streaming.StreamFlow;
import magpiehub.streaming.StreamLimitsFixture;
import magpiehub.streaming.StreamOutcome;
import magpiehub.telemetry.SyslogEventLog;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Race conditions that recorded exchanges can't reproduce, such as a list update between routing and write. */
class UpstreamPoolTest {
    private static final int WINDOW_MILLIS = 2000;
    /** How long an upstream may be silent; several intervals of the timer that notices it. */
    private static final int SILENCE_MILLIS = 500;

    private final SyslogEventLog eventLog = new SyslogEventLog(System.err, "test", 1);
    private MonotonicClock clock = MonotonicClock.SYSTEM;
    private volatile CompletableFuture<String> answer = new CompletableFuture<>();
    private volatile boolean clientDisconnected;
    private String effect = "\"effect\":\"pure\"";
    private String streamLimits = "{}";
    private Thread dispatcherThread;
    private SiteSettings site;
    private FlowController streams;
    private RequestDispatcher dispatcher;
    private UpstreamPool pool;

    @AfterEach
    void stop() {
        dispatcherThread.interrupt();
    }

    @Test
    void noRequestIsSentToAnEndpointThatDrainsAfterTheRoutingDecision() throws Exception {
        try (ServerSocket upstream = new ServerSocket(0, 8, InetAddress.getByName("127.0.0.1"))) {
            // Service discovery has notified the pool of the drain, but not the dispatcher.
            startRouter(upstream, false);
            submit(null);
            assertEquals("refused", answer.get(60, TimeUnit.SECONDS));
            assertTrue(eventLog.counters().contains("drained_before_write 1\n"), eventLog.counters());
            upstream.setSoTimeout(1);
            assertThrows(SocketTimeoutException.class, upstream::accept);
        }
    }

    @Test
    void noHealthCheckIsSentToADrainingEndpoint() throws Exception {
        try (ServerSocket upstream = new ServerSocket(0, 8, InetAddress.getByName("127.0.0.1"))) {
            startRouter(upstream, false);
            dispatcher.execute(() -> pool.sendHealthCheck("e"));
            upstream.setSoTimeout(300);
            assertThrows(SocketTimeoutException.class, upstream::accept);
        }
    }

    /** Guards against health checks that never end: an upstream sends the head of its answer byte by byte for ever. */
    @Test
    void aHealthCheckEndsThoughItsAnswerNeverDoes() throws Exception {
        try (ServerSocket upstream = new ServerSocket(0, 8, InetAddress.getByName("127.0.0.1"))) {
            startRouter(upstream, true);
            dispatcher.execute(() -> pool.sendHealthCheck("e"));
            upstream.setSoTimeout(60_000);
            try (Socket connection = upstream.accept()) {
                connection.getOutputStream().write("HTTP/1.1 200 OK\r\nX-Long: ".getBytes(UTF_8));
                long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
                assertThrows(SocketException.class, () -> {
                    while (System.nanoTime() < end) {
                        connection.getOutputStream().write('x');
                        Thread.sleep(100);
                    }
                });
            }
        }
    }

    /** The upstream's accept backlog is full, so that connecting completes only after the list has expired. */
    @Test
    void nothingIsSentAfterTheEndpointListHasExpired() throws Exception {
        try (ServerSocket upstream = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
                Socket first = new Socket();
                Socket second = new Socket()) {
            first.connect(upstream.getLocalSocketAddress());
            second.connect(upstream.getLocalSocketAddress());
            startRouter(upstream, true);
            submit(null);
            dispatcher.execute(() -> pool.sendHealthCheck("e"));
            awaitCounter("engine_connects 1\n");
            long now = MonotonicClock.SYSTEM.micros();
            pool.setEndpointsValidUntil(now);
            dispatcher.updateEndpointListValidity(now);
            upstream.setSoTimeout(60_000);
            upstream.accept().close();
            upstream.accept().close();
            try (Socket late = upstream.accept()) {
                assertEquals(
                        -1, late.getInputStream().read(), "a request was sent after the endpoint list had expired");
            }
            assertEquals("refused", answer.get(60, TimeUnit.SECONDS));
            assertNothingIsWritten(upstream);
        }
    }

    /**
     * The upstream's accept backlog is full, so that connecting takes long. The client disconnects in the meantime, and
     * the dispatcher has not been notified of it.
     */
    @Test
    void noRequestIsSentForAClientThatDisconnectsDuringConnect() throws Exception {
        try (ServerSocket upstream = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
                Socket first = new Socket();
                Socket second = new Socket()) {
            first.connect(upstream.getLocalSocketAddress());
            second.connect(upstream.getLocalSocketAddress());
            startRouter(upstream, true);
            submit(null);
            awaitCounter("engine_connects 1\n");
            clientDisconnected = true;
            upstream.setSoTimeout(60_000);
            upstream.accept().close();
            upstream.accept().close();
            try (Socket late = upstream.accept()) {
                assertEquals(-1, late.getInputStream().read(), "a request was sent for a disconnected client");
            }
            awaitCounter("answered_abandoned 1\n");
        }
    }

    /**
     * Guards against duplicates: an upstream may have executed the request, and the connection for its repeat, decided
     * within the deduplication window, comes up only after it. If the dispatcher is held up at the end of the window,
     * the connection itself has to notice.
     */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void noRepeatIsWrittenAfterTheDeduplicationWindow(boolean dispatcherHeldUp) throws Exception {
        effect = "\"effect\":\"token\",\"group\":\"all\",\"windowMs\":" + WINDOW_MILLIS;
        CountDownLatch dispatcherContinues = new CountDownLatch(dispatcherHeldUp ? 1 : 0);
        try (ServerSocket upstream = new ServerSocket(0, 8, InetAddress.getByName("127.0.0.1"));
                ServerSocket slow = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
                Socket first = new Socket();
                Socket second = new Socket()) {
            startRouter(upstream, true);
            first.connect(slow.getLocalSocketAddress());
            second.connect(slow.getLocalSocketAddress());
            submit(new RecordingStreamListener(streams));
            upstream.setSoTimeout(60_000);
            try (Socket used = upstream.accept()) {
                UpstreamMessages.readRequest(used);
                pool.updateEndpoint("f", "127.0.0.1:" + slow.getLocalPort(), true);
                dispatcher.updateEndpoints(EndpointListKind.SAVED, List.of(endpoint("e"), endpoint("f")));
                used.setSoLinger(true, 0);
            }
            awaitCounter("engine_connects 2\n");
            dispatcher.execute(() -> awaitOrKeepInterrupt(dispatcherContinues));
            Thread.sleep(WINDOW_MILLIS);
            slow.accept().close();
            slow.accept().close();
            assertNothingIsWritten(slow);
            dispatcherContinues.countDown();
            assertEquals("refused", answer.get(60, TimeUnit.SECONDS));
            assertTrue(eventLog.counters().contains("repeats_too_late 1\n"), eventLog.counters());
        }
    }

    private static void awaitOrKeepInterrupt(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Accepts one more connection, if there is one, and checks that nothing comes on it. */
    private static void assertNothingIsWritten(ServerSocket upstream) throws IOException {
        upstream.setSoTimeout(300);
        try (Socket connection = upstream.accept()) {
            assertEquals(-1, connection.getInputStream().read(), "something was written");
        } catch (SocketTimeoutException e) {
            // No connection was opened, or connecting was given up.
        }
    }

    private void awaitCounter(String line) throws InterruptedException {
        long end = System.nanoTime() + 60_000_000_000L;
        while (!eventLog.counters().contains(line)) {
            assertTrue(System.nanoTime() < end, "no counter line " + line + "in\n" + eventLog.counters());
            Thread.sleep(1);
        }
    }

    /**
     * The dispatcher is notified of a stream's end before the client: a client that submits the same request id again
     * as soon as it has read the end is not rejected for a duplicate id.
     */
    @Test
    void aRequestIdCanBeReusedOnceTheClientHasReadTheEnd() throws Exception {
        for (String lastChunk : List.of("0\r\n\r\n", "")) {
            answer = new CompletableFuture<>();
            try (ServerSocket upstream = new ServerSocket(0, 8, InetAddress.getByName("127.0.0.1"))) {
                startRouter(upstream, true);
                CompletableFuture<Boolean> resubmitted = new CompletableFuture<>();
                submit(new EndListener(() -> resubmitted.complete(submit(new EndListener(() -> {})))));
                respond(upstream, lastChunk);
                assertTrue(resubmitted.get(60, TimeUnit.SECONDS), "the dispatcher's mailbox was full");
                respond(upstream, "0\r\n\r\n");
                assertFalse(eventLog.counters().contains("ids_in_use"), eventLog.counters());
                assertFalse(answer.isDone(), "answered by the dispatcher: " + answer);
            }
            dispatcherThread.interrupt();
        }
    }

    /**
     * Guards against a client getting the answer to another request: the upstream answers twice, and the connection's
     * reader gets no processor time from the first answer on until the next request is on its way.
     */
    @Test
    void bytesBehindAResponseAreNotTheResponseToTheNextRequestAfterAHoldUp() throws Exception {
        ReaderStoppingClock stoppingClock = new ReaderStoppingClock();
        clock = stoppingClock;
        try (ServerSocket upstream = new ServerSocket(0, 8, InetAddress.getByName("127.0.0.1"))) {
            startRouter(upstream, true);
            RecordingStreamListener first = new RecordingStreamListener(streams);
            submit(first);
            upstream.setSoTimeout(60_000);
            try (Socket used = upstream.accept()) {
                UpstreamMessages.readRequest(used);
                used.getOutputStream().write(UpstreamMessages.response("first"));
                assertEquals(UpstreamMessages.event("first"), first.events.get(60, TimeUnit.SECONDS));
                stoppingClock.stopReaders();
                used.getOutputStream().write(UpstreamMessages.response("first"));
                awaitReuse();
                RecordingStreamListener second = new RecordingStreamListener(streams);
                submit(second);
                // The request arrives on the used connection or a new one.
                try (Socket asked = readableOf(used, upstream)) {
                    UpstreamMessages.readRequest(asked);
                    stoppingClock.continueReaders();
                    asked.getOutputStream().write(UpstreamMessages.response("second"));
                    assertEquals(UpstreamMessages.event("second"), second.events.get(60, TimeUnit.SECONDS));
                }
            }
        }
    }

    /** Guards against a request that is written to a connection whose end has arrived within its quiet period. */
    @Test
    void aConnectionThatItsUpstreamHasClosedIsNotReused() throws Exception {
        try (ServerSocket upstream = new ServerSocket(0, 8, InetAddress.getByName("127.0.0.1"))) {
            startRouter(upstream, true);
            RecordingStreamListener first = new RecordingStreamListener(streams);
            submit(first);
            upstream.setSoTimeout(60_000);
            try (Socket used = upstream.accept()) {
                UpstreamMessages.readRequest(used);
                used.getOutputStream().write(UpstreamMessages.response("first"));
                used.shutdownOutput();
                first.events.get(60, TimeUnit.SECONDS);
                awaitReuse();
            }
        }
        assertFalse(eventLog.counters().contains("engine_connections_quiet"), eventLog.counters());
    }

    /**
     * Guards against a stream that is ended as silent although its next event has come: the connection's reader gets no
     * processor time from before the event until after the end of the time for which the upstream may be silent.
     */
    @Test
    void aStreamWhoseNextEventIsNotDeliveredYetIsNotSilentAfterAHoldUp() throws Exception {
        ReaderStoppingClock stoppingClock = new ReaderStoppingClock();
        clock = stoppingClock;
        streamLimits = "{\"silence_ms\":" + SILENCE_MILLIS + "}";
        try (ServerSocket upstream = new ServerSocket(0, 8, InetAddress.getByName("127.0.0.1"))) {
            startRouter(upstream, true);
            pool.start();
            RecordingStreamListener listener = new RecordingStreamListener(streams);
            submit(listener);
            upstream.setSoTimeout(60_000);
            try (Socket used = upstream.accept()) {
                UpstreamMessages.readRequest(used);
                used.getOutputStream()
                        .write((UpstreamMessages.RESPONSE_HEAD + UpstreamMessages.chunk("first")).getBytes(UTF_8));
                listener.begun.get(60, TimeUnit.SECONDS);
                stoppingClock.stopReaders();
                used.getOutputStream().write((UpstreamMessages.chunk("second") + "0\r\n\r\n").getBytes(UTF_8));
                Thread.sleep(2 * SILENCE_MILLIS);
                stoppingClock.continueReaders();
                assertEquals(
                        UpstreamMessages.event("first") + UpstreamMessages.event("second"),
                        listener.events.get(60, TimeUnit.SECONDS));
            }
        }
    }

    /** Waits for several times as long as a connection has to be quiet, by which time the bytes have arrived, too. */
    private static void awaitReuse() throws InterruptedException {
        Thread.sleep(5 * ResponseReader.QUIET_PERIOD_MICROS / 1000);
    }

    /** The connection on which the next request arrives: the used one, or a new one. */
    private static Socket readableOf(Socket used, ServerSocket upstream) throws IOException {
        upstream.setSoTimeout(1);
        long end = System.nanoTime() + 60_000_000_000L;
        while (used.getInputStream().available() == 0) {
            assertTrue(System.nanoTime() < end, "no request arrived");
            try {
                return upstream.accept();
            } catch (SocketTimeoutException e) {
                // Not on a new connection so far.
            }
        }
        return used;
    }

    /** Responds with one event, followed by the given last chunk, which is empty for an incomplete stream. */
    private static void respond(ServerSocket upstream, String lastChunk) throws IOException {
        upstream.setSoTimeout(60_000);
        try (Socket connection = upstream.accept()) {
            UpstreamMessages.readRequest(connection);
            String event = "data: {\"choices\":[]}\n\n";
            connection
                    .getOutputStream()
                    .write(("HTTP/1.1 200 OK\r\nConnection: close\r\n"
                                    + "Transfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(event.length())
                                    + "\r\n"
                                    + event + "\r\n" + lastChunk)
                            .getBytes(UTF_8));
        }
    }

    /** The client's side of a stream: runs a task when it is notified of the end. */
    private final class EndListener implements StreamListener {
        private final StreamFlow flow = streams.openStream(0, -1, "1", () -> {});
        private final Runnable onEnd;

        EndListener(Runnable onEnd) {
            this.onEnd = onEnd;
        }

        @Override
        public void onEvent(byte[] event) {}

        @Override
        public void onEnd() {
            onEnd.run();
        }

        @Override
        public void onFailure(byte[] error, StreamOutcome outcome) {
            onEnd.run();
        }

        @Override
        public StreamFlow flow() {
            return flow;
        }
    }

    private final ClientCallback client = new ClientCallback() {
        @Override
        public void reject(long retryAfterMicros) {
            answer.complete("refused");
        }

        @Override
        public void fail(String reason) {
            answer.complete("failed");
        }

        @Override
        public void migrate() {
            answer.complete("moved");
        }

        @Override
        public boolean resumesStream() {
            return true;
        }

        @Override
        public boolean isClientDisconnected() {
            return clientDisconnected;
        }
    };
    private final EndpointListSource endpointSource = new EndpointListSource() {
        @Override
        public void watch() {}

        @Override
        public void unwatch() {}

        @Override
        public void fetch() {}
    };

    /** Starts a dispatcher and a pool with one endpoint, and sets in the pool whether it accepts requests. */
    private void startRouter(ServerSocket upstream, boolean acceptsRequests) throws IOException {
        site = SiteSettingsParser.parse(ConfigurationObject.parse(
                Files.readString(Path.of("src/test/resources/site.json"))
                        .replace("\"connectTimeoutMs\":250", "\"connectTimeoutMs\":30000")
                        .replace("\"effect\":\"pure\"", effect)
                        .getBytes(UTF_8),
                "settings"));
        streams = new FlowController(StreamLimitsFixture.parse(streamLimits, site), site, clock, eventLog);
        pool = new UpstreamPool(site, 8, clock, eventLog, new ActorThreadPool(ThreadBudget.unlimited()), streams);
        dispatcher = new RequestDispatcher(site.routing(), 7, clock, pool, endpointSource, eventLog);
        pool.setDispatcher(dispatcher);
        dispatcherThread = DaemonThreads.newThread("dispatcher", dispatcher::run);
        dispatcherThread.start();
        dispatcher.updateEndpoints(EndpointListKind.SAVED, List.of(endpoint("e")));
        pool.updateEndpoint("e", "127.0.0.1:" + upstream.getLocalPort(), acceptsRequests);
    }

    private static Endpoint endpoint(String id) {
        return new Endpoint(id, 0, 0, 0, EndpointState.LIVE, 1, 0);
    }

    /** Submits a request, always with the same id; false if the dispatcher's mailbox is full. */
    private boolean submit(StreamListener listener) {
        String text = "POST /v1/chat/completions HTTP/1.1\r\nX-Call-Id: 1\r\nX-Call-Class: chat\r\n"
                + "X-Budget-Ms: 60000\r\nContent-Length: 2\r\n\r\n{}";
        HttpReader input = new HttpReader(new ByteArrayInputStream(text.getBytes(UTF_8)), MonotonicClock.SYSTEM);
        try {
            assertTrue(input.awaitMessage());
            HttpHead head = input.readRequestHead();
            ProtocolExchange exchange = new PlatformProtocol(() -> site)
                    .readRequest(head, input.readBody(head), input.messageStartMicros());
            exchange.setStreamListener(listener);
            return dispatcher.submit(exchange.request(), client, exchange, 2);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
