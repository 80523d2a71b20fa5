package magpiehub.telemetry;

/**
 * The port through which the program logs events and increments counters. Implementations are thread-safe, never block
 * and never throw.
 */
public interface EventLog {
    /** Adds one to a counter, which starts at 0. */
    void count(String name);

    /**
     * Logs an event.
     *
     * @param event the event name, in lower case with hyphens
     * @param namesAndValues the event's parameters, as alternating names and values
     */
    void log(String event, String... namesAndValues);
}
