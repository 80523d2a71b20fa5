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
 * Writes events as RFC 5424 messages and keeps the counters. Any thread.
 *
 * <p>A thread of its own writes the lines, so that a reader of standard error who has stopped reading blocks nobody
 * else. Lines that wait for it take a bounded amount of memory; beyond that, lines are dropped and counted as
 * {@code log_lines_dropped}.
 */
public final class SyslogEventLog implements EventLog {
    /** What the lines that wait to be written may take. */
    private static final int MAX_WAITING_BYTES = 256 * 1024;
    /** The most that UTF-8 takes for a character of a {@code String}. */
    private static final int MAX_BYTES_PER_CHAR = 3;
    /** How long {@link #flush} waits for the writing thread. */
    private static final long FLUSH_TIMEOUT_S = 1;

    /** What the writing thread is sent. */
    private sealed interface Message permits Line, FlushMarker {}

    private record Line(String text) implements Message {}

    /** Counted down once all lines before it are written. */
    private record FlushMarker(CountDownLatch written) implements Message {}

    private final PrintStream output;
    private final SyslogFormatter formatter;
    private final EventCounters counters = new EventCounters();
    private final Mailbox<Message> messages;
    private volatile boolean started;

    /**
     * A log whose lines wait until {@link #start} is called.
     *
     * @param routerName what stands as the host of each line
     */
    public SyslogEventLog(PrintStream output, String routerName, long processId) {
        this.output = output;
        this.formatter = new SyslogFormatter(routerName, processId);
        this.messages = new Mailbox<>(MonotonicClock.SYSTEM, MAX_WAITING_BYTES);
    }

    /** Starts the thread that writes the lines. */
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
     * Waits until all lines so far are written, for the exit: also the one that the writing thread has taken but not
     * written yet, or the last line could be lost. Where that thread has not started or makes no progress, the caller
     * writes the lines that still wait.
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

    /** All counters in the order of their names, each as a line of name, blank and value. */
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
