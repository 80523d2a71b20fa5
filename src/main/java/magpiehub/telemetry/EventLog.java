package magpiehub.telemetry;

/** What is counted and logged, by name; the ops package gives it a form. */
public interface EventLog {
    void count(String name);

    void log(String what, String... namesAndValues);
}
