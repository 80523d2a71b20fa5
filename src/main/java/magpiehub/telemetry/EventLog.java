package magpiehub.telemetry;

/**
 * Takes the events and counts that the program reports. Implementations may be called from any thread, never block
 * and never throw.
 */
public interface EventLog {
    /** Adds one to the counter with this name, which begins at 0. */
    void count(String name);

    /**
     * Logs an event.
     *
     * @param event the event's name, in lower case with hyphens
     * @param namesAndValues the event's data as names, each followed by its value
     */
    void log(String event, String... namesAndValues);
}
