package magpiehub.streaming;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import magpiehub.concurrent.MonotonicClock;
import magpiehub.config.ConfigurationObject;
import magpiehub.config.SiteSettings;
import magpiehub.config.SiteSettingsParser;
import magpiehub.telemetry.SyslogEventLog;
import org.junit.jupiter.api.Test;

/** Tests races between the two sides of a stream. A simulated clock forces interleavings within a wait for capacity. */
class FlowControllerTest {
    private static final long SECOND_MICROS = 1_000_000;
    private static final long PAUSE_MICROS = 10 * SECOND_MICROS;
    private static final int BUFFER_BYTES = 64 * 1024;

    /** A clock that advances only in waits and runs a callback at each reading and during each wait. */
    private static final class RacingClock implements MonotonicClock {
        private long now = 1000 * SECOND_MICROS;
        private Runnable onRead = () -> {};
        private Runnable onWait = () -> {};

        @Override
        public long micros() {
            Runnable callback = onRead;
            onRead = () -> {}; // The callback reads the clock, too.
            callback.run();
            onRead = callback;
            return now;
        }

        @Override
        public void await(Object monitor, long deadline) {
            now += SECOND_MICROS;
            onWait.run();
        }
    }

    private static SiteSettings readSite() throws Exception {
        byte[] settings = Files.readAllBytes(Path.of("src/test/resources/site.json"));
        return SiteSettingsParser.parse(ConfigurationObject.parse(settings, "site"));
    }

    /**
     * While a client pauses, its upstream is not read from. A check at any moment of the pause, from the first wait for
     * capacity to its end, must not find the upstream silent.
     */
    @Test
    void anUpstreamThatIsNotReadFromDoesNotCountAsSilent() throws Exception {
        RacingClock clock = new RacingClock();
        SiteSettings site = readSite();
        String json = "{\"buffer_kb\":" + BUFFER_BYTES / 1024 + ",\"pause_ms\":" + 2 * PAUSE_MICROS / 1000 + "}";
        StreamLimits limits = StreamLimitsFixture.parse(json, site);
        FlowController controller = new FlowController(limits, site, clock, new SyslogEventLog(System.err, "test", 1));
        StreamFlow flow = controller.openStream(0, 0, "r", () -> {});
        controller.startStream(flow, "e");
        long lastByteMicros = clock.now;
        long maxBufferBytes = controller.maxBufferBytes();
        controller.reserveCapacity(flow, (int) maxBufferBytes);
        long[] checks = {0};
        clock.onRead = () -> {
            checks[0]++;
            long deadline = controller.silenceDeadline(flow, "e", true, lastByteMicros, lastByteMicros, clock.now);
            assertTrue(
                    deadline > clock.now || clock.now == lastByteMicros,
                    "silence deadline passed " + (clock.now - deadline) + " us ago, "
                            + (clock.now - lastByteMicros) / SECOND_MICROS + " s into the pause");
        };
        clock.onWait = () -> {
            if (clock.now >= lastByteMicros + PAUSE_MICROS) {
                controller.recordDelivered(flow, maxBufferBytes);
            }
        };
        controller.reserveCapacity(flow, 1);
        assertTrue(clock.now >= lastByteMicros + PAUSE_MICROS, "the wait lasts until the end of the pause");
        assertTrue(checks[0] > PAUSE_MICROS / SECOND_MICROS, "silence checks: " + checks[0]);
    }
}
