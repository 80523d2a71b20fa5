package magpiehub.streaming;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.Assert.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import magpiehub.concurrent.MonotonicClock;
import magpiehub.config.ConfigurationObject;
import magpiehub.config.SiteSettings;
import magpiehub.config.SiteSettingsParser;
import magpiehub.telemetry.SyslogEventLog;
import org.junit.Test;

/** The account of streams under its lock, with the moments between two of its steps forced by the clock. */
public class StreamsTest {
    private static final long S = 1_000_000;
    private static final long PAUSE = 10 * S;
    private static final int BUFFER = 64 * 1024;

    /** Time passes only in waits; at each reading an engine's actor looks whether the stream is silent. */
    private static final class Crossing implements MonotonicClock {
        private long now = 1000 * S;
        private Runnable look = () -> {};
        private Runnable whileWaiting = () -> {};

        @Override
        public long micros() {
            Runnable l = look;
            look = () -> {};
            l.run();
            look = l;
            return now;
        }

        @Override
        public void await(Object monitor, long until) {
            now += S;
            whileWaiting.run();
        }
    }

    /** The reader pauses, and goes on: at no moment in between is its engine taken for silent. */
    @Test
    public void anEngineThatIsNotListenedToIsNeverSilent() throws Exception {
        Crossing clock = new Crossing();
        byte[] settings = Files.readAllBytes(Path.of("src/test/resources/site.json"));
        SiteSettings site = SiteSettingsParser.parse(ConfigurationObject.parse(settings, "site"));
        String allowed = "{\"buffer_kb\":" + BUFFER / 1024 + ",\"pause_ms\":" + 2 * PAUSE / 1000 + "}";
        StreamLimits allowances = StreamLimits.of(
                ConfigurationObject.parse(allowed.getBytes(UTF_8), "streams"),
                site.routing().classes(),
                64 << 20);
        Streams streams = new Streams(allowances, site, clock, new SyslogEventLog(System.err, "test", 1));
        Streams.Flow flow = streams.open(0, 0, "r", () -> {});
        streams.begun(flow, "e");
        long heardAt = clock.now;
        long largest = streams.largestBuffer();
        streams.came(flow, (int) largest);
        long[] looks = {0};
        clock.look = () -> {
            looks[0]++;
            long until = streams.silentUntil(flow, "e", true, heardAt, heardAt, clock.now);
            assertTrue(
                    "silent " + (clock.now - until) + " us ago, " + (clock.now - heardAt) / S + " s into the pause",
                    until > clock.now || clock.now == heardAt);
        };
        clock.whileWaiting = () -> {
            if (clock.now >= heardAt + PAUSE) {
                streams.passed(flow, largest);
            }
        };
        streams.came(flow, 1);
        assertTrue("the pause is over", clock.now >= heardAt + PAUSE);
        assertTrue("looks: " + looks[0], looks[0] > PAUSE / S);
    }
}
