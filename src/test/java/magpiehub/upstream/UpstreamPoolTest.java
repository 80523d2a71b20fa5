package magpiehub.upstream;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
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
import org.junit.After;
import org.junit.Test;

/** What no recorded exchange can time: a list that changes between the decision and the write. */
public class UpstreamPoolTest {
    private final SyslogEventLog log = new SyslogEventLog(System.err, "test", 1);
    private volatile CompletableFuture<String> answer = new CompletableFuture<>();
    private volatile boolean gone;
    private Thread thread;
    private SiteSettings site;
    private FlowController streams;
    private RequestDispatcher module;

    @After
    public void stop() {
        thread.interrupt();
    }

    @Test
    public void anEngineThatDrainsAfterTheDecisionGetsNothing() throws Exception {
        try (ServerSocket engine = new ServerSocket(0, 8, InetAddress.getByName("127.0.0.1"))) {
            // The list's actor has heard of the drain; its word to the module is still under way.
            start(engine, false);
            take(null);
            assertEquals("refused", answer.get(60, TimeUnit.SECONDS));
            assertTrue(log.counters(), log.counters().contains("drained_before_write 1\n"));
            engine.setSoTimeout(1);
            org.junit.Assert.assertThrows(java.net.SocketTimeoutException.class, engine::accept);
        }
    }

    /** The engine's queue of connections is full, so that this one comes up late; its client leaves
     *  meanwhile, and the word of that is still under way. */
    @Test
    public void aConnectionThatComesUpForNobodyIsClosed() throws Exception {
        try (ServerSocket engine = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
                Socket first = new Socket();
                Socket second = new Socket()) {
            first.connect(engine.getLocalSocketAddress());
            second.connect(engine.getLocalSocketAddress());
            start(engine, true);
            take(null);
            counted("engine_connects 1\n");
            gone = true;
            engine.setSoTimeout(60_000);
            engine.accept().close();
            engine.accept().close();
            try (Socket late = engine.accept()) {
                assertEquals("a request for nobody", -1, late.getInputStream().read());
            }
            counted("answered_abandoned 1\n");
        }
    }

    private void counted(String line) throws InterruptedException {
        long end = System.nanoTime() + 60_000_000_000L;
        while (!log.counters().contains(line)) {
            assertTrue(line + "was not counted in\n" + log.counters(), System.nanoTime() < end);
            Thread.sleep(1);
        }
    }

    /** The module hears of a stream's end before its client does: a client that asks again as soon as it has
     *  read the end, under the same id, finds its request over. */
    @Test
    public void aClientThatHasReadTheEndFindsItsRequestOver() throws Exception {
        for (String last : List.of("0\r\n\r\n", "")) {
            answer = new CompletableFuture<>();
            try (ServerSocket engine = new ServerSocket(0, 8, InetAddress.getByName("127.0.0.1"))) {
                start(engine, true);
                CompletableFuture<Boolean> again = new CompletableFuture<>();
                take(new AskAgain(() -> again.complete(take(new AskAgain(() -> {})))));
                serve(engine, last);
                assertTrue("there was no room", again.get(60, TimeUnit.SECONDS));
                serve(engine, "0\r\n\r\n");
                assertFalse(log.counters(), log.counters().contains("ids_in_use"));
                assertFalse("answered by the module: " + answer, answer.isDone());
            }
            thread.interrupt();
        }
    }

    /** One event, and the end of the stream: its last chunk, or none. */
    private static void serve(ServerSocket engine, String last) throws IOException {
        engine.setSoTimeout(60_000);
        try (Socket s = engine.accept()) {
            HttpReader in = new HttpReader(s.getInputStream(), MonotonicClock.SYSTEM);
            assertTrue(in.awaitMessage());
            in.readBody(in.readRequestHead());
            String event = "data: {\"choices\":[]}\n\n";
            s.getOutputStream()
                    .write(("HTTP/1.1 200 OK\r\nConnection: close\r\n"
                                    + "Transfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(event.length())
                                    + "\r\n"
                                    + event + "\r\n" + last)
                            .getBytes(UTF_8));
        }
    }

    /** The client's side of a stream: does something the moment it is told of the end. */
    private final class AskAgain implements StreamListener {
        private final StreamFlow flow = streams.openStream(0, -1, "1", () -> {});
        private final Runnable atTheEnd;

        AskAgain(Runnable atTheEnd) {
            this.atTheEnd = atTheEnd;
        }

        @Override
        public void onEvent(byte[] event) {}

        @Override
        public void onEnd() {
            atTheEnd.run();
        }

        @Override
        public void onFailure(byte[] error, StreamOutcome why) {
            atTheEnd.run();
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
        public boolean isClientGone() {
            return gone;
        }
    };
    private final EndpointListSource roster = new EndpointListSource() {
        @Override
        public void watch() {}

        @Override
        public void unwatch() {}

        @Override
        public void fetch() {}
    };

    /** One engine, of which the list says at last that it takes work, or not. */
    private void start(ServerSocket engine, boolean takes) throws IOException {
        site = SiteSettingsParser.parse(ConfigurationObject.parse(
                Files.readString(Path.of("src/test/resources/site.json"))
                        .replace("\"connectTimeoutMs\":250", "\"connectTimeoutMs\":30000")
                        .getBytes(UTF_8),
                "settings"));
        streams = new FlowController(
                StreamLimitsReader.defaults(site.routing().classes(), 64 << 20), site, MonotonicClock.SYSTEM, log);
        UpstreamPool engines = new UpstreamPool(site, 8, MonotonicClock.SYSTEM, log, new ActorThreadPool(), streams);
        module = new RequestDispatcher(site.routing(), 7, MonotonicClock.SYSTEM, engines, roster, log);
        engines.module(module);
        thread = DaemonThreads.newThread("module", module::run);
        thread.start();
        module.updateEndpoints(EndpointListKind.SAVED, List.of(new Endpoint("e", 0, 0, 0, EndpointState.LIVE, 1, 0)));
        engines.place("e", "127.0.0.1:" + engine.getLocalPort(), takes, false);
    }

    /** A request, always with the same id; false if the module has no room for it. */
    private boolean take(StreamListener sink) {
        String text = "POST /v1/chat/completions HTTP/1.1\r\nX-Call-Id: 1\r\nX-Call-Class: chat\r\n"
                + "X-Budget-Ms: 60000\r\nContent-Length: 2\r\n\r\n{}";
        HttpReader in = new HttpReader(new ByteArrayInputStream(text.getBytes(UTF_8)), MonotonicClock.SYSTEM);
        try {
            assertTrue(in.awaitMessage());
            HttpHead head = in.readRequestHead();
            ProtocolExchange call =
                    new PlatformProtocol(() -> site).readRequest(head, in.readBody(head), in.messageStartMicros());
            call.setStreamListener(sink);
            return module.submit(call.request(), client, call, 2);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
