package magpiehub.config;

/** Converts times from milliseconds, the unit of settings and messages, to microseconds, the unit used internally. */
public final class Milliseconds {
    private static final int MICROS_PER_MILLI = 1000;

    private Milliseconds() {}

    /** Converts milliseconds, possibly with a fraction, to the nearest number of microseconds. */
    public static long toMicros(double millis) {
        return Math.round(millis * MICROS_PER_MILLI);
    }
}
