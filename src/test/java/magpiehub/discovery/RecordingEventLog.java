package magpiehub.discovery;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import magpiehub.telemetry.EventLog;

/** An event log that keeps counters and events in memory. Thread-safe. */
final class RecordingEventLog implements EventLog {
    private final int maxLength;
    private final Map<String, Integer> counts = new ConcurrentHashMap<>();
    private final StringBuilder text = new StringBuilder();

    RecordingEventLog() {
        this(Integer.MAX_VALUE);
    }

    /** Creates a log that drops further events once it has reached this length in characters. */
    RecordingEventLog(int maxLength) {
        this.maxLength = maxLength;
    }

    @Override
    public void count(String name) {
        counts.merge(name, 1, Integer::sum);
    }

    @Override
    public synchronized void log(String event, String... namesAndValues) {
        if (text.length() < maxLength) {
            text.append(event)
                    .append(' ')
                    .append(String.join(" ", namesAndValues))
                    .append('\n');
        }
    }

    int counted(String name) {
        return counts.getOrDefault(name, 0);
    }

    /** All counters by name. */
    Map<String, Integer> counts() {
        return counts;
    }

    synchronized int length() {
        return text.length();
    }

    synchronized boolean contains(String part) {
        return text.indexOf(part) >= 0;
    }

    /** The last characters of the log. */
    synchronized String tail(int length) {
        return text.substring(Math.max(0, text.length() - length));
    }

    @Override
    public synchronized String toString() {
        return text.toString();
    }
}
