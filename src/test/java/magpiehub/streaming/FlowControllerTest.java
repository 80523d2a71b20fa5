package magpiehub.streaming;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import magpiehub.concurrent.MonotonicClock;
import magpiehub.config.ConfigurationObject;
import magpiehub.config.SiteSettings;
import magpiehub.config.SiteSettingsParser;
import magpiehub.telemetry.SyslogEventLog;
import org.junit.jupiter.api.Test;

/** Races between the two sides of a stream; a simulated clock forces the moments between two steps under the lock. */
class FlowControllerTest {
    private static final long SECOND = 1_000_000;
    private static final long PAUSE = 10 * SECOND;
    private static final int BUFFER = 64 * 1024;

    /** Time passes only in waits; at each reading the upstream's actor checks whether the stream is silent. */
    private static final class RacingClock implements MonotonicClock {
        private long now = 1000 * SECOND;
        private Runnable atEachReading = () -> {};
        private Runnable whileWaiting = () -> {};

        @Override
        public long micros() {
            Runnable check = atEachReading;
            atEachReading = () -> {}; // The check reads the clock itself.
            check.run();
            atEachReading = check;
            return now;
        }

        @Override
        public void await(Object monitor, long until) {
            now += SECOND;
            whileWaiting.run();
        }
    }

    private static SiteSettings readSite() throws Exception {
        byte[] settings = Files.readAllBytes(Path.of("src/test/resources/site.json"));
        return SiteSettingsParser.parse(ConfigurationObject.parse(settings, "site"));
    }

    /** The client pauses, and goes on: at no moment in between is its upstream taken for silent. */
    @Test
    void anUpstreamThatIsNotReadFromIsNeverSilent() throws Exception {
        RacingClock clock = new RacingClock();
        SiteSettings site = readSite();
        String json = "{\"buffer_kb\":" + BUFFER / 1024 + ",\"pause_ms\":" + 2 * PAUSE / 1000 + "}";
        StreamLimits limits = StreamLimitsReader.parse(
                ConfigurationObject.parse(json.getBytes(UTF_8), "streams"),
                site.routing().classes(),
                64 << 20);
        FlowController controller = new FlowController(limits, site, clock, new SyslogEventLog(System.err, "test", 1));
        StreamFlow flow = controller.openStream(0, 0, "r", () -> {});
        controller.startStream(flow, "e");
        long lastByteAt = clock.now;
        long largest = controller.maxBufferBytes();
        controller.reserveCapacity(flow, (int) largest);
        long[] checks = {0};
        clock.atEachReading = () -> {
            checks[0]++;
            long until = controller.silenceDeadline(flow, "e", true, lastByteAt, lastByteAt, clock.now);
            assertTrue(
                    until > clock.now || clock.now == lastByteAt,
                    "silent " + (clock.now - until) + " us ago, " + (clock.now - lastByteAt) / SECOND
                            + " s into the pause");
        };
        clock.whileWaiting = () -> {
            if (clock.now >= lastByteAt + PAUSE) {
                controller.recordDelivered(flow, largest);
            }
        };
        controller.reserveCapacity(flow, 1);
        assertTrue(clock.now >= lastByteAt + PAUSE, "the pause is over");
        assertTrue(checks[0] > PAUSE / SECOND, "looks: " + checks[0]);
    }
}
