package magpiehub.discovery;

import java.util.Locale;

/** What a call asks of a registry. */
enum RegistryCallKind {
    /** The complete list. */
    LIST,
    /** The changes that follow a position. */
    WATCH,
    /** The position and the number of keys, beside an open watch. */
    CHECK;

    private final String logName = name().toLowerCase(Locale.ROOT);

    /** The name in counters and in the event log. */
    String logName() {
        return logName;
    }
}
