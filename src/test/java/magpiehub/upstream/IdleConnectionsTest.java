package magpiehub.upstream;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import magpiehub.concurrent.CachedThreadPool;
import magpiehub.concurrent.MonotonicClock;
import magpiehub.config.ConfigurationObject;
import magpiehub.config.SiteSettings;
import magpiehub.config.SiteSettingsParser;
import magpiehub.streaming.FlowController;
import magpiehub.streaming.StreamLimits;
import magpiehub.streaming.StreamLimitsReader;
import magpiehub.telemetry.EventLog;
import magpiehub.telemetry.SyslogEventLog;
import org.junit.jupiter.api.Test;

class IdleConnectionsTest {
    private static final long START_MICROS = 1_000_000;
    private static final long REUSE_DELAY_MICROS = IdleConnections.MIN_REUSE_DELAY_MICROS;

    private final UpstreamContext context = newContext();
    private final IdleConnections idle = new IdleConnections();

    @Test
    void aConnectionIsNotReusedBeforeTheReuseDelay() {
        UpstreamConnection connection = addIdle("a", START_MICROS);
        assertNull(idle.takeReusable("a", START_MICROS + REUSE_DELAY_MICROS - 1));
        assertSame(connection, idle.takeReusable("a", START_MICROS + REUSE_DELAY_MICROS));
        assertNull(idle.takeReusable("a", START_MICROS + REUSE_DELAY_MICROS));
    }

    @Test
    void theMostRecentlyUsedReusableConnectionIsTaken() {
        UpstreamConnection oldest = addIdle("a", START_MICROS);
        UpstreamConnection older = addIdle("a", START_MICROS + 1);
        addIdle("a", START_MICROS + 2);
        assertSame(older, idle.takeReusable("a", START_MICROS + 1 + REUSE_DELAY_MICROS));
        assertSame(oldest, idle.takeReusable("a", START_MICROS + 1 + REUSE_DELAY_MICROS));
    }

    @Test
    void connectionsToOtherEndpointsAreNotTaken() {
        addIdle("a", START_MICROS);
        assertNull(idle.takeReusable("b", START_MICROS + REUSE_DELAY_MICROS));
        assertNull(idle.takeOldest("b"));
    }

    @Test
    void theLongestIdleConnectionOfTheEndpointWithMostIsEvicted() {
        addIdle("a", START_MICROS);
        UpstreamConnection longestIdle = addIdle("b", START_MICROS + 1);
        addIdle("b", START_MICROS + 2);
        assertSame(longestIdle, idle.takeEvictionCandidate());
    }

    @Test
    void nothingIsEvictedWithoutIdleConnections() {
        assertNull(idle.takeEvictionCandidate());
        UpstreamConnection connection = addIdle("a", START_MICROS);
        assertTrue(idle.remove(connection));
        assertFalse(idle.remove(connection));
        assertNull(idle.takeEvictionCandidate());
    }

    private UpstreamConnection addIdle(String endpointId, long nowMicros) {
        ConnectionTimer timer = new ConnectionTimer(MonotonicClock.SYSTEM);
        UpstreamConnection connection =
                new UpstreamConnection(endpointId, context, new CachedThreadPool("unused"), timer, null);
        connection.markIdle(nowMicros);
        idle.add(connection);
        return connection;
    }

    private static UpstreamContext newContext() {
        try {
            byte[] settings =
                    Files.readString(Path.of("src/test/resources/site.json")).getBytes(StandardCharsets.UTF_8);
            SiteSettings site = SiteSettingsParser.parse(ConfigurationObject.parse(settings, "settings"));
            StreamLimits limits = StreamLimitsReader.defaults(site.routing().classes(), 64 << 20);
            EventLog eventLog = new SyslogEventLog(System.err, "test", 1);
            FlowController streams = new FlowController(limits, site, MonotonicClock.SYSTEM, eventLog);
            return new UpstreamContext(site, MonotonicClock.SYSTEM, eventLog, streams);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
