package magpiehub.net;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import magpiehub.config.Config;
import magpiehub.core.Contract.ListKind;
import magpiehub.core.Contract.Request;
import magpiehub.core.Contract.Server;
import magpiehub.core.Contract.State;
import magpiehub.core.Mailbox;
import magpiehub.core.ModuleActor;
import magpiehub.front.PlatformFront;
import magpiehub.ops.Log;
import magpiehub.stream.Allowances;
import magpiehub.stream.Streams;
import org.junit.After;
import org.junit.Test;

/** What no recorded exchange can time: a list that changes between the decision and the write. */
public class EnginesTest {
    private final Log log = new Log(System.err, "test", 1);
    private final CompletableFuture<String> answer = new CompletableFuture<>();
    private volatile boolean gone;
    private Thread thread;

    @After
    public void stop() {
        thread.interrupt();
    }

    @Test
    public void anEngineThatDrainsAfterTheDecisionGetsNothing() throws Exception {
        try (ServerSocket engine = new ServerSocket(0, 8, InetAddress.getByName("127.0.0.1"))) {
            // The list's actor has heard of the drain; its word to the module is still under way.
            ask(engine, false);
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
                Socket first = new Socket(); Socket second = new Socket()) {
            first.connect(engine.getLocalSocketAddress());
            second.connect(engine.getLocalSocketAddress());
            ask(engine, true);
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

    /** One request for an engine, of which the list says at last that it takes work, or not. */
    private void ask(ServerSocket engine, boolean takes) throws Exception {
        Config.Site site = Config.site(Config.facts(
                Files.readString(Path.of("src/test/resources/site.json"))
                        .replace("\"connectTimeoutMs\":250", "\"connectTimeoutMs\":30000").getBytes(),
                "settings"));
        ModuleActor.Client client = new ModuleActor.Client() {
            @Override
            public void refuse(long retryAfter) {
                answer.complete("refused");
            }

            @Override
            public void fail(String why) {
                answer.complete("failed");
            }

            @Override
            public void move() {
                answer.complete("moved");
            }

            @Override
            public boolean gone() {
                return gone;
            }
        };
        ModuleActor.Roster roster = new ModuleActor.Roster() {
            @Override
            public void watch() {
            }

            @Override
            public void unwatch() {
            }

            @Override
            public void fetch() {
            }
        };
        Engines engines = new Engines(site, 8, Mailbox.Clock.SYSTEM, log, new Mailbox.Crew(),
                new Streams(Allowances.none(site.settings().classes(), 64 << 20), site, Mailbox.Clock.SYSTEM,
                        log));
        ModuleActor module = new ModuleActor(site.settings(), 7, Mailbox.Clock.SYSTEM, engines, roster, log);
        engines.module(module);
        thread = Mailbox.thread("module", module::run);
        thread.start();
        module.list(ListKind.SAVED, List.of(new Server("e", 0, 0, 0, State.LIVE, 1, 0)));
        engines.place("e", "127.0.0.1:" + engine.getLocalPort(), takes, false);
        String text = "POST /v1/chat/completions HTTP/1.1\r\nX-Call-Id: 1\r\nX-Call-Class: chat\r\n"
                + "X-Budget-Ms: 60000\r\nContent-Length: 2\r\n\r\n{}";
        Http.Input in = new Http.Input(new java.io.ByteArrayInputStream(text.getBytes()),
                Mailbox.Clock.SYSTEM::micros);
        assertTrue(in.await());
        Http.Head head = in.head(true);
        Front.Call call = new PlatformFront(() -> site).read(head, in.body(head), in.firstAt());
        Request r = call.request;
        assertTrue(module.take(r, client, call, 2));
    }
}
