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

/** Races that recorded exchanges can't time, such as a list that changes between the decision and the write. */
class UpstreamPoolTest {
    private final SyslogEventLog eventLog = new SyslogEventLog(System.err, "test", 1);
    private volatile CompletableFuture<String> answer = new CompletableFuture<>();
    private volatile boolean clientGone;
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
    void anEngineThatDrainsAfterTheDecisionGetsNothing() throws Exception {
        try (ServerSocket upstream = new ServerSocket(0, 8, InetAddress.getByName("127.0.0.1"))) {
            // Service discovery has reported the drain to the pool, but not yet to the dispatcher.
            startRouter(upstream, false);
            submit(null);
            assertEquals("refused", answer.get(60, TimeUnit.SECONDS));
            assertTrue(eventLog.counters().contains("drained_before_write 1\n"), eventLog.counters());
            upstream.setSoTimeout(1);
            assertThrows(SocketTimeoutException.class, upstream::accept);
        }
    }

    @Test
    void aHealthCheckOfAnEngineThatDrainsIsNotSent() throws Exception {
        try (ServerSocket upstream = new ServerSocket(0, 8, InetAddress.getByName("127.0.0.1"))) {
            startRouter(upstream, false);
            dispatcher.execute(() -> pool.sendHealthCheck("e"));
            upstream.setSoTimeout(300);
            assertThrows(SocketTimeoutException.class, upstream::accept);
        }
    }

    /** The upstream's backlog is full, so that connecting takes until after the list has gone out of date. */
    @Test
    void nothingIsWrittenOnceTheEndpointListIsOutOfDate() throws Exception {
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
                assertEquals(-1, late.getInputStream().read(), "something was sent by a list that is out of date");
            }
            assertEquals("refused", answer.get(60, TimeUnit.SECONDS));
            assertNothingIsWritten(upstream);
        }
    }

    /**
     * The upstream's backlog is full, so that connecting takes long; the client leaves meanwhile, and the dispatcher
     * has not heard of it yet.
     */
    @Test
    void aConnectionThatComesUpForNobodyIsClosed() throws Exception {
        try (ServerSocket upstream = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
                Socket first = new Socket();
                Socket second = new Socket()) {
            first.connect(upstream.getLocalSocketAddress());
            second.connect(upstream.getLocalSocketAddress());
            startRouter(upstream, true);
            submit(null);
            awaitCounter("engine_connects 1\n");
            clientGone = true;
            upstream.setSoTimeout(60_000);
            upstream.accept().close();
            upstream.accept().close();
            try (Socket late = upstream.accept()) {
                assertEquals(-1, late.getInputStream().read(), "a request for nobody");
            }
            awaitCounter("answered_abandoned 1\n");
        }
    }

    /** The health check has been connecting, or has found the list out of date before it began. */
    private static void assertNothingIsWritten(ServerSocket upstream) throws IOException {
        upstream.setSoTimeout(300);
        try (Socket connection = upstream.accept()) {
            assertEquals(-1, connection.getInputStream().read(), "a health check was sent");
        } catch (SocketTimeoutException e) {
            // It has opened no connection.
        }
    }

    private void awaitCounter(String line) throws InterruptedException {
        long end = System.nanoTime() + 60_000_000_000L;
        while (!eventLog.counters().contains(line)) {
            assertTrue(System.nanoTime() < end, line + "was not counted in\n" + eventLog.counters());
            Thread.sleep(1);
        }
    }

    /**
     * The dispatcher hears of a stream's end before the client does: a client that submits again as soon as it has read
     * the end, under the same id, finds its request over.
     */
    @Test
    void aClientThatHasReadTheEndFindsItsRequestOver() throws Exception {
        for (String lastChunk : List.of("0\r\n\r\n", "")) {
            answer = new CompletableFuture<>();
            try (ServerSocket upstream = new ServerSocket(0, 8, InetAddress.getByName("127.0.0.1"))) {
                startRouter(upstream, true);
                CompletableFuture<Boolean> submittedAgain = new CompletableFuture<>();
                submit(new SubmitAgain(() -> submittedAgain.complete(submit(new SubmitAgain(() -> {})))));
                respond(upstream, lastChunk);
                assertTrue(submittedAgain.get(60, TimeUnit.SECONDS), "there was no room");
                respond(upstream, "0\r\n\r\n");
                assertFalse(eventLog.counters().contains("ids_in_use"), eventLog.counters());
                assertFalse(answer.isDone(), "answered by the module: " + answer);
            }
            dispatcherThread.interrupt();
        }
    }

    /** Responds with one event and the end of the stream: its last chunk, or none. */
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

    /** The client's side of a stream: runs a task the moment it is told of the end. */
    private final class SubmitAgain implements StreamListener {
        private final StreamFlow flow = streams.openStream(0, -1, "1", () -> {});
        private final Runnable onEnd;

        SubmitAgain(Runnable onEnd) {
            this.onEnd = onEnd;
        }

        @Override
        public void onEvent(byte[] event) {}

        @Override
        public void onEnd() {
            onEnd.run();
        }

        @Override
        public void onFailure(byte[] error, StreamOutcome why) {
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
            return clientGone;
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

    /** Starts a dispatcher and a pool with one upstream, of which the list said last whether it accepts requests. */
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
        dispatcherThread = DaemonThreads.newThread("module", dispatcher::run);
        dispatcherThread.start();
        dispatcher.updateEndpoints(
                EndpointListKind.SAVED, List.of(new Endpoint("e", 0, 0, 0, EndpointState.LIVE, 1, 0)));
        pool.updateEndpoint("e", "127.0.0.1:" + upstream.getLocalPort(), acceptsRequests);
    }

    /** Submits a request, always with the same id; false if the dispatcher's mailbox is full. */
    private boolean submit(StreamListener sink) {
        String text = "POST /v1/chat/completions HTTP/1.1\r\nX-Call-Id: 1\r\nX-Call-Class: chat\r\n"
                + "X-Budget-Ms: 60000\r\nContent-Length: 2\r\n\r\n{}";
        HttpReader input = new HttpReader(new ByteArrayInputStream(text.getBytes(UTF_8)), MonotonicClock.SYSTEM);
        try {
            assertTrue(input.awaitMessage());
            HttpHead head = input.readRequestHead();
            ProtocolExchange call = new PlatformProtocol(() -> site)
                    .readRequest(head, input.readBody(head), input.messageStartMicros());
            call.setStreamListener(sink);
            return dispatcher.submit(call.request(), client, call, 2);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
