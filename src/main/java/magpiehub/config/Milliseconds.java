package magpiehub.config;

/** Conversion of times from the unit of settings and messages to the program's own. */
public final class Milliseconds {
    private static final int MICROS_PER_MILLI = 1000;

    private Milliseconds() {}

    /** A time in milliseconds, possibly with a fraction, as the nearest number of microseconds. */
    public static long toMicros(double millis) {
        return Math.round(millis * MICROS_PER_MILLI);
    }
}
