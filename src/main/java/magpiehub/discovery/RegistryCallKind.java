package magpiehub.discovery;

import java.util.Locale;

/** The kind of a call to a registry. */
enum RegistryCallKind {
    /** Reads the complete list. */
    LIST,
    /** Waits for the changes after a position. */
    WATCH,
    /** Reads the registry's position and number of keys while a watch is open. */
    CHECK;

    private final String logName = name().toLowerCase(Locale.ROOT);

    /** Returns the name used in counters and in the event log. */
    String logName() {
        return logName;
    }
}
