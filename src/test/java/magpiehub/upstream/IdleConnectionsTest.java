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
import magpiehub.concurrent.ThreadBudget;
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
    private final UpstreamContext context = newContext();
    private final IdleConnections idle = new IdleConnections();

    /** Whatever time has passed: only its reader can tell that nothing has arrived behind the last response. */
    @Test
    void aConnectionIsNotReusedBeforeItsReaderHasFoundItQuiet() {
        UpstreamConnection connection = addIdle("a");
        SocketProgress progress = connection.recordNewSocket();
        assertNull(idle.takeReusable("a"));
        progress.recordQuietPeriod();
        assertSame(connection, idle.takeReusable("a"));
        assertNull(idle.takeReusable("a"));
    }

    @Test
    void aConnectionIsNotReusedOnceSomethingHasArrivedOrARequestWasWritten() {
        SocketProgress received = addQuiet("a").progress();
        received.recordActivity();
        SocketProgress written = addQuiet("a").progress();
        written.recordRequest();
        assertNull(idle.takeReusable("a"));
    }

    @Test
    void theReaderOfAnEarlierSocketDoesNotMakeTheNextOneReusable() {
        UpstreamConnection connection = addIdle("a");
        SocketProgress earlier = connection.recordNewSocket();
        connection.recordNewSocket();
        earlier.recordQuietPeriod();
        assertNull(idle.takeReusable("a"));
    }

    @Test
    void theMostRecentlyUsedQuietConnectionIsTaken() {
        UpstreamConnection oldest = addQuiet("a");
        UpstreamConnection older = addQuiet("a");
        addIdle("a");
        assertSame(older, idle.takeReusable("a"));
        assertSame(oldest, idle.takeReusable("a"));
    }

    @Test
    void connectionsToOtherEndpointsAreNotTaken() {
        addQuiet("a");
        assertNull(idle.takeReusable("b"));
        assertNull(idle.takeOldest("b"));
    }

    @Test
    void theLongestIdleConnectionOfTheEndpointWithMostIsEvicted() {
        addIdle("a");
        UpstreamConnection longestIdle = addIdle("b");
        addIdle("b");
        assertSame(longestIdle, idle.takeEvictionCandidate());
    }

    @Test
    void nothingIsEvictedWithoutIdleConnections() {
        assertNull(idle.takeEvictionCandidate());
        UpstreamConnection connection = addIdle("a");
        assertTrue(idle.remove(connection));
        assertFalse(idle.remove(connection));
        assertNull(idle.takeEvictionCandidate());
    }

    private UpstreamConnection addQuiet(String endpointId) {
        UpstreamConnection connection = addIdle(endpointId);
        connection.progress().recordQuietPeriod();
        return connection;
    }

    private UpstreamConnection addIdle(String endpointId) {
        ConnectionTimer timer = new ConnectionTimer(MonotonicClock.SYSTEM);
        UpstreamConnection connection = new UpstreamConnection(
                endpointId, context, new CachedThreadPool("unused", ThreadBudget.unlimited()), timer, null);
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
