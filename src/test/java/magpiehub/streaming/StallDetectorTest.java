package magpiehub.streaming;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Tests how the stall detector's limits adapt to the gaps between events. */
class StallDetectorTest {
    private static final long SECOND_MICROS = 1_000_000;
    private static final long MILLI_MICROS = 1_000;

    private static final StallLimits ADAPTIVE = new StallLimits(500 * MILLI_MICROS, 10 * SECOND_MICROS, 8);

    /** Records events on all upstreams; returns the time after the last one. */
    private static long recordEvents(
            StallDetector detector, int upstreams, long from, int events, long gap, SplittableRandom random) {
        long now = from;
        for (int i = 0; i < events; i++) {
            for (int upstream = 0; upstream < upstreams; upstream++) {
                // One gap in ten is that of a burst, where one read returns several events.
                detector.recordEvent(
                        "e" + upstream, random.nextInt(10) == 0 ? 10 : gap * 3 / 4 + random.nextLong(gap / 2), now);
            }
            now += gap;
        }
        return now;
    }

    @Test
    void aSilentUpstreamCountsAsStalledWithinTwoSeconds() {
        StallDetector detector = new StallDetector(ADAPTIVE);
        assertEquals(10 * SECOND_MICROS, detector.limitMicros("e0", 0), "the maximum applies without statistics");
        long now = recordEvents(detector, 8, 0, 300, 60 * MILLI_MICROS, new SplittableRandom(1));
        long limit = detector.limitMicros("e0", now + SECOND_MICROS);
        assertTrue(limit >= 500 * MILLI_MICROS && limit <= 2 * SECOND_MICROS, "limit " + limit + " us");
        StallDetector bursts = new StallDetector(ADAPTIVE);
        recordEvents(bursts, 1, 0, 300, 60 * MILLI_MICROS, new SplittableRandom(2));
        for (int i = 0; i < 5000; i++) {
            bursts.recordEvent("e0", 5, now);
        }
        assertEquals(
                1,
                (double) bursts.limitMicros("e0", now + SECOND_MICROS) / limit,
                0.3,
                "bursts must not change the limit much");
    }

    @Test
    void aSlowdownOfTheWholeFleetExtendsTheLimits() {
        StallDetector detector = new StallDetector(ADAPTIVE);
        SplittableRandom random = new SplittableRandom(3);
        long now = recordEvents(detector, 8, 0, 2000, 100 * MILLI_MICROS, random);
        long before = detector.limitMicros("e0", now + 10 * SECOND_MICROS);
        now = recordEvents(detector, 8, now, 60, 290 * MILLI_MICROS, random);
        assertTrue(detector.fleetSlowdown() > 2, "slowdown " + detector.fleetSlowdown());
        assertTrue(detector.limitMicros("e0", now + 10 * SECOND_MICROS) > 2 * before);
    }

    @Test
    void theLimitIsDoubledIfOtherStreamsOfTheUpstreamMakeProgress() {
        StallDetector detector = new StallDetector(ADAPTIVE);
        long now = recordEvents(detector, 2, 0, 300, 60 * MILLI_MICROS, new SplittableRandom(4));
        detector.startStream("e0", now);
        detector.startStream("e0", now);
        long alone = detector.limitMicros("e0", now + 5 * SECOND_MICROS);
        detector.recordEvent("e0", 60 * MILLI_MICROS, now + 5 * SECOND_MICROS);
        assertTrue(detector.limitMicros("e0", now + 5 * SECOND_MICROS) >= 2 * alone - 1);
        assertEquals(
                SECOND_MICROS,
                new StallDetector(new StallLimits(SECOND_MICROS, SECOND_MICROS, 8)).limitMicros("e0", 0),
                "the maximum applies if the limits are not adaptive");
    }
}
