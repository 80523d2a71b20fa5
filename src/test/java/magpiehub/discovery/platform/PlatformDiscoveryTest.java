package magpiehub.discovery.platform;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.atomic.AtomicInteger;
import magpiehub.concurrent.ActorThreadPool;
import magpiehub.concurrent.DaemonThreads;
import magpiehub.concurrent.MonotonicClock;
import magpiehub.concurrent.ThreadBudget;
import magpiehub.config.ConfigurationObject;
import magpiehub.config.SiteSettings;
import magpiehub.config.SiteSettingsParser;
import magpiehub.dispatch.RequestDispatcher;
import magpiehub.streaming.FlowController;
import magpiehub.streaming.StreamLimitsReader;
import magpiehub.telemetry.SyslogEventLog;
import magpiehub.upstream.UpstreamPool;
import org.junit.jupiter.api.Test;

/** Tests {@link PlatformDiscovery} when its own process runs out of a resource. */
class PlatformDiscoveryTest {
    /** A watch is requested again at most 0.95 s after one has failed, but 5 s after one whose end was not reported. */
    private static final int RETRY_WITHIN_MS = 4_000;

    private static final String SAVED_LIST = "{\"revision\":1,\"complete\":true,\"members\":["
            + "{\"id\":\"e\",\"host_port\":\"127.0.0.1:1\",\"phase\":\"Ready\"}]}";

    /** A call whose reader thread can't be started fails like any other, so that the next call follows in time. */
    @Test
    void callWithoutAThreadIsFollowedByAnother() throws Exception {
        SiteSettings site = SiteSettingsParser.parse(
                ConfigurationObject.parse(Files.readAllBytes(Path.of("src/test/resources/site.json")), "settings"));
        SyslogEventLog log = new SyslogEventLog(System.err, "test", 1);
        MonotonicClock clock = MonotonicClock.SYSTEM;
        AtomicInteger calls = new AtomicInteger();
        try (ServerSocket server = new ServerSocket(0, 8, InetAddress.getLoopbackAddress())) {
            server.setSoTimeout(RETRY_WITHIN_MS);
            UpstreamPool upstreams = new UpstreamPool(
                    site,
                    8,
                    clock,
                    log,
                    new ActorThreadPool(ThreadBudget.unlimited()),
                    new FlowController(
                            StreamLimitsReader.defaults(site.routing().classes(), 64 << 20), site, clock, log));
            PlatformDiscovery discovery = new PlatformDiscovery(
                    "127.0.0.1:" + server.getLocalPort(), () -> site, upstreams, clock, log, 7, reader -> {
                        if (calls.incrementAndGet() == 1) {
                            throw new OutOfMemoryError("unable to create native thread");
                        }
                        DaemonThreads.newThread("reader", reader).start();
                    });
            RequestDispatcher dispatcher = new RequestDispatcher(site.routing(), 7, clock, upstreams, discovery, log);
            upstreams.setDispatcher(dispatcher);
            discovery.start(dispatcher, SAVED_LIST.getBytes(UTF_8));
            Thread thread = DaemonThreads.newThread("dispatcher", dispatcher::run);
            thread.start();
            try (Socket secondCall = server.accept()) {
                assertEquals(2, calls.get());
                assertTrue(log.counters().contains("discovery_failures 1\n"), log.counters());
                assertFalse(discovery.hasUsableList(), "a local failure must not make the saved list usable");
            } finally {
                thread.interrupt();
            }
        }
    }
}
