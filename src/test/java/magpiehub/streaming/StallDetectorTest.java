package magpiehub.streaming;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** The stall detector, driven directly. */
class StallDetectorTest {
    private static final long SECOND = 1_000_000;
    private static final long MILLISECOND = 1_000;

    private static final StallLimits ADAPTIVE = new StallLimits(500 * MILLISECOND, 10 * SECOND, 8);

    private static long feed(
            StallDetector detector, int upstreams, long from, int events, long gap, SplittableRandom random) {
        long now = from;
        for (int i = 0; i < events; i++) {
            for (int upstream = 0; upstream < upstreams; upstream++) {
                // A burst now and then: many events in one read.
                detector.recordEvent(
                        "e" + upstream, random.nextInt(10) == 0 ? 10 : gap * 3 / 4 + random.nextLong(gap / 2), now);
            }
            now += gap;
        }
        return now;
    }

    @Test
    void aSilentUpstreamIsStalledWithinASecondOrTwo() {
        StallDetector detector = new StallDetector(ADAPTIVE);
        assertEquals(10 * SECOND, detector.limitMicros("e0", 0), "nothing is known yet");
        long now = feed(detector, 8, 0, 300, 60 * MILLISECOND, new SplittableRandom(1));
        long limit = detector.limitMicros("e0", now + SECOND);
        assertTrue(limit >= 500 * MILLISECOND && limit <= 2 * SECOND, "" + limit);
        StallDetector bursts = new StallDetector(ADAPTIVE);
        feed(bursts, 1, 0, 300, 60 * MILLISECOND, new SplittableRandom(2));
        for (int i = 0; i < 5000; i++) {
            bursts.recordEvent("e0", 5, now);
        }
        assertEquals(1, (double) bursts.limitMicros("e0", now + SECOND) / limit, 0.3, "bursts say nothing");
    }

    @Test
    void aSlowdownOfTheWholeFleetIsNoStall() {
        StallDetector detector = new StallDetector(ADAPTIVE);
        SplittableRandom random = new SplittableRandom(3);
        long now = feed(detector, 8, 0, 2000, 100 * MILLISECOND, random);
        long before = detector.limitMicros("e0", now + 10 * SECOND);
        now = feed(detector, 8, now, 60, 290 * MILLISECOND, random);
        assertTrue(detector.fleetSlowdown() > 2, "" + detector.fleetSlowdown());
        assertTrue(detector.limitMicros("e0", now + 10 * SECOND) > 2 * before);
    }

    @Test
    void aStreamWhoseUpstreamServesOthersIsGivenLonger() {
        StallDetector detector = new StallDetector(ADAPTIVE);
        long now = feed(detector, 2, 0, 300, 60 * MILLISECOND, new SplittableRandom(4));
        detector.startStream("e0", now);
        detector.startStream("e0", now);
        long alone = detector.limitMicros("e0", now + 5 * SECOND);
        detector.recordEvent("e0", 60 * MILLISECOND, now + 5 * SECOND);
        assertTrue(detector.limitMicros("e0", now + 5 * SECOND) >= 2 * alone - 1);
        assertEquals(
                SECOND,
                new StallDetector(new StallLimits(SECOND, SECOND, 8)).limitMicros("e0", 0),
                "off, the ceiling alone counts");
    }
}
