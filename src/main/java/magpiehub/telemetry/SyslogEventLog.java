package magpiehub.telemetry;

import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import magpiehub.concurrent.Mailbox;
import magpiehub.concurrent.MonotonicClock;

/**
 * The log and the counters. Log lines are RFC 5424 messages with structured data; a thread of its own writes
 * them, so that a reader of standard error who has stopped reading stops nobody else. Counters are read on
 * request and at exit. It owns the form of both. It must never make its caller wait, or throw.
 */
public final class SyslogEventLog implements EventLog {
    /** Facility local0. */
    private static final int FACILITY = 16;

    private static final int WARNING = 4;
    private static final int INFORMATIONAL = 6;
    /** The enterprise number that RFC 5612 sets aside for examples and documentation. */
    private static final String SD_ID = "magpiehub@32473";

    private static final int MAILBOX_BYTES = 256 * 1024;
    private static final DateTimeFormatter TIME =
            DateTimeFormatter.ofPattern("yyyy-MM-dd'T'HH:mm:ss.SSSSSS'Z'").withZone(ZoneOffset.UTC);

    private final PrintStream to;
    private final String host;
    private final long pid;
    private final Mailbox<Object> lines;
    private volatile boolean started;
    private final Map<String, LongAdder> counters = new ConcurrentHashMap<>();

    /** A log for a router of some name; lines leave once {@link #start} is called. */
    public SyslogEventLog(PrintStream to, String host, long pid) {
        this.to = to;
        this.host = name(host, 255);
        this.pid = pid;
        this.lines = new Mailbox<>(MonotonicClock.SYSTEM, MAILBOX_BYTES);
    }

    public void start() {
        started = true;
        Mailbox.thread("log", () -> {
                    try {
                        while (true) {
                            write(lines.take(Long.MAX_VALUE));
                        }
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                })
                .start();
    }

    private void write(Object line) {
        if (line instanceof CountDownLatch l) {
            l.countDown();
            return;
        }
        byte[] b = line.toString().getBytes(StandardCharsets.UTF_8);
        to.write(b, 0, b.length);
        to.flush();
    }

    /** Sees to it that what still waits is written: for the exit. The line that the log's own thread has
     *  taken and not written yet is waited for, too, or the last one could be lost. */
    public void flush() {
        CountDownLatch written = new CountDownLatch(1);
        try {
            if (started && lines.post(written) && written.await(1, TimeUnit.SECONDS)) {
                return;
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        for (Object l = lines.poll(); l != null; l = lines.poll()) {
            write(l);
        }
    }

    @Override
    public void count(String name) {
        counters.computeIfAbsent(name, k -> new LongAdder()).increment();
    }

    /** All counters in the order of their names, one a line. */
    public String counters() {
        StringBuilder b = new StringBuilder();
        new TreeMap<>(counters)
                .forEach((k, v) -> b.append(k).append(' ').append(v.sum()).append('\n'));
        return b.toString();
    }

    /** The counters as one log line. */
    public void logCounters() {
        Map<String, LongAdder> sorted = new TreeMap<>(counters);
        String[] pairs = new String[2 * sorted.size()];
        int i = 0;
        for (Map.Entry<String, LongAdder> e : sorted.entrySet()) {
            pairs[i++] = e.getKey();
            pairs[i++] = Long.toString(e.getValue().sum());
        }
        log("counters", pairs);
    }

    @Override
    public void log(String what, String... namesAndValues) {
        String line = line(Instant.now(), what, namesAndValues);
        if (!lines.post(line, line.length() * 3)) {
            count("log_lines_dropped");
        }
    }

    private static int severity(String what) {
        return what.endsWith("exception")
                        || what.contains("fail")
                        || what.contains("unreadable")
                        || what.contains("broke")
                        || what.contains("error")
                ? WARNING
                : INFORMATIONAL;
    }

    /** One message: header, structured data, no free text. */
    String line(Instant at, String what, String... namesAndValues) {
        StringBuilder b = new StringBuilder(160);
        b.append('<')
                .append(FACILITY * 8 + severity(what))
                .append(">1 ")
                .append(TIME.format(at))
                .append(' ')
                .append(host)
                .append(" magpiehub ")
                .append(pid)
                .append(' ')
                .append(name(what, 32))
                .append(' ');
        if (namesAndValues.length < 2) {
            return b.append("-\n").toString();
        }
        b.append('[').append(SD_ID);
        for (int i = 0; i + 1 < namesAndValues.length; i += 2) {
            b.append(' ').append(name(namesAndValues[i], 32)).append("=\"");
            value(b, String.valueOf(namesAndValues[i + 1]));
            b.append('"');
        }
        return b.append("]\n").toString();
    }

    /** The characters that would end a value early are escaped; line ends would end the message. */
    private static void value(StringBuilder b, String v) {
        for (int i = 0; i < v.length(); i++) {
            char c = v.charAt(i);
            if (c == '"' || c == '\\' || c == ']') {
                b.append('\\').append(c);
            } else {
                b.append(c < ' ' || c == 0x7f ? ' ' : c);
            }
        }
    }

    /** Printable ASCII without what has a meaning in a header or a parameter's name. */
    private static String name(String s, int most) {
        StringBuilder b = new StringBuilder();
        for (int i = 0; i < s.length() && b.length() < most; i++) {
            char c = s.charAt(i);
            b.append(c <= ' ' || c >= 0x7f || c == '=' || c == ']' || c == '"' ? '_' : c);
        }
        return b.length() == 0 ? "-" : b.toString();
    }
}
