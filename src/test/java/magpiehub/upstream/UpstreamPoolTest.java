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
import java.net.SocketTimeoutException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import magpiehub.concurrent.ActorThreadPool;
import magpiehub.concurrent.DaemonThreads;
import magpiehub.concurrent.MonotonicClock;
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
import magpiehub.streaming.StreamLimitsReader;
import magpiehub.streaming.StreamOutcome;
import magpiehub.telemetry.SyslogEventLog;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Race conditions that recorded exchanges can't reproduce, such as a list update between routing and write. */
class UpstreamPoolTest {
    private final SyslogEventLog eventLog = new SyslogEventLog(System.err, "test", 1);
    private volatile CompletableFuture<String> answer = new CompletableFuture<>();
    private volatile boolean clientDisconnected;
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

    /** The health check was either connecting when the list expired, or had not opened a connection yet. */
    private static void assertNothingIsWritten(ServerSocket upstream) throws IOException {
        upstream.setSoTimeout(300);
        try (Socket connection = upstream.accept()) {
            assertEquals(-1, connection.getInputStream().read(), "a health check was sent");
        } catch (SocketTimeoutException e) {
            // The health check opened no connection.
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

    /** Responds with one event, followed by the given last chunk, which is empty for an incomplete stream. */
    private static void respond(ServerSocket upstream, String lastChunk) throws IOException {
        upstream.setSoTimeout(60_000);
        try (Socket connection = upstream.accept()) {
            HttpReader input = new HttpReader(connection.getInputStream(), MonotonicClock.SYSTEM);
            assertTrue(input.awaitMessage());
            input.readBody(input.readRequestHead());
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
                        .getBytes(UTF_8),
                "settings"));
        streams = new FlowController(
                StreamLimitsReader.defaults(site.routing().classes(), 64 << 20), site, MonotonicClock.SYSTEM, eventLog);
        pool = new UpstreamPool(site, 8, MonotonicClock.SYSTEM, eventLog, new ActorThreadPool(), streams);
        dispatcher = new RequestDispatcher(site.routing(), 7, MonotonicClock.SYSTEM, pool, endpointSource, eventLog);
        pool.setDispatcher(dispatcher);
        dispatcherThread = DaemonThreads.newThread("dispatcher", dispatcher::run);
        dispatcherThread.start();
        dispatcher.updateEndpoints(
                EndpointListKind.SAVED, List.of(new Endpoint("e", 0, 0, 0, EndpointState.LIVE, 1, 0)));
        pool.updateEndpoint("e", "127.0.0.1:" + upstream.getLocalPort(), acceptsRequests);
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
