package magpiehub.telemetry;

import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import magpiehub.concurrent.DaemonThreads;
import magpiehub.concurrent.Mailbox;
import magpiehub.concurrent.MonotonicClock;

/**
 * Logs events as RFC 5424 messages and keeps the counters in memory. Thread-safe.
 *
 * <p>A dedicated thread writes the lines, so that no other thread blocks if the consumer of the output stops reading.
 * The memory of queued lines is bounded; beyond the bound, lines are dropped and counted as {@code log_lines_dropped}.
 */
public final class SyslogEventLog implements EventLog {
    /** The capacity of the queue of unwritten lines. */
    private static final int MAX_QUEUED_BYTES = 256 * 1024;
    /** The most bytes that UTF-8 needs for one {@code char} of a {@code String}. */
    private static final int MAX_BYTES_PER_CHAR = 3;
    /** How long {@link #flush} waits for the writer thread. */
    private static final long FLUSH_TIMEOUT_S = 1;

    /** A message to the writer thread. */
    private sealed interface Message permits Line, FlushMarker {}

    private record Line(String text) implements Message {}

    /** Its latch is counted down once all earlier lines are written. */
    private record FlushMarker(CountDownLatch written) implements Message {}

    private final PrintStream output;
    private final SyslogFormatter formatter;
    private final EventCounters counters = new EventCounters();
    private final Mailbox<Message> messages;
    private volatile boolean started;

    /**
     * Creates a log that queues its lines until {@link #start} is called.
     *
     * @param routerName the HOSTNAME of each message
     */
    public SyslogEventLog(PrintStream output, String routerName, long processId) {
        this.output = output;
        this.formatter = new SyslogFormatter(routerName, processId);
        this.messages = new Mailbox<>(MonotonicClock.SYSTEM, MAX_QUEUED_BYTES);
    }

    /** Starts the writer thread. */
    public void start() {
        started = true;
        DaemonThreads.newThread("log", this::writeUntilInterrupted).start();
    }

    private void writeUntilInterrupted() {
        try {
            while (true) {
                handle(messages.take(Long.MAX_VALUE));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void handle(Message message) {
        if (message instanceof FlushMarker marker) {
            marker.written.countDown();
        } else if (message instanceof Line line) {
            byte[] bytes = line.text.getBytes(StandardCharsets.UTF_8);
            output.write(bytes, 0, bytes.length);
            output.flush();
        }
    }

    /**
     * Waits until all lines logged so far are written, including the one that the writer thread may have dequeued but
     * not written yet; without this, the last line could be lost at process exit. If the writer thread has not started
     * or makes no progress, the caller writes the queued lines itself.
     */
    public void flush() {
        CountDownLatch written = new CountDownLatch(1);
        try {
            if (started
                    && messages.post(new FlushMarker(written))
                    && written.await(FLUSH_TIMEOUT_S, TimeUnit.SECONDS)) {
                return;
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        for (Message message = messages.poll(); message != null; message = messages.poll()) {
            handle(message);
        }
    }

    @Override
    public void count(String name) {
        counters.increment(name);
    }

    /** All counters sorted by name, one {@code name value} pair per line. */
    public String counters() {
        return counters.toLines();
    }

    /** Logs all counters as one event. */
    public void logCounters() {
        log("counters", counters.toNamesAndValues());
    }

    @Override
    public void log(String event, String... namesAndValues) {
        String line = formatter.format(Instant.now(), event, namesAndValues);
        if (!messages.post(new Line(line), line.length() * MAX_BYTES_PER_CHAR)) {
            count("log_lines_dropped");
        }
    }
}
