package magpiehub.lab;

import java.io.BufferedReader;
import java.io.BufferedWriter;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import magpiehub.concurrent.DaemonThreads;

/**
 * Starts, signals, samples and ends the processes of a run; a shutdown hook ends them however the laboratory ends.
 * Only processes that it started itself are signalled, by their process ids.
 */
final class ProcessManager implements AutoCloseable {
    /** Frequency of the kernel clock ticks in which /proc reports CPU time (Hz). */
    private static final long CLOCK_TICKS_PER_SECOND = 100;

    /** Resource usage of one process; {@code cpuMs} counts from its start, {@code files} are open files. */
    record ResourceSample(long at, String name, long rssKb, long cpuMs, int threads, int files) {}

    /** One process, with the times of its last start and of the last signal that changed its state. */
    static final class ManagedProcess {
        final String name;
        private Process process;
        private BufferedWriter stdin;
        private long startedMicros;
        private long lastSignalMicros = Long.MIN_VALUE;
        private boolean paused;
        private boolean ended;

        private ManagedProcess(String name) {
            this.name = name;
        }

        synchronized boolean isHealthySince(long sinceMicros) {
            return !ended
                    && !paused
                    && lastSignalMicros < sinceMicros
                    && startedMicros < sinceMicros
                    && process.isAlive();
        }

        synchronized boolean isAlive() {
            return !ended && process.isAlive();
        }

        synchronized void writeLine(String line) throws IOException {
            stdin.write(line + "\n");
            stdin.flush();
        }
    }

    private final List<ManagedProcess> processes = new ArrayList<>();
    private final List<ResourceSample> samples = new ArrayList<>();
    private final Process signalShell;
    private final OutputStream shellInput;
    private volatile boolean closing;
    private int crashes;

    ProcessManager() throws IOException {
        signalShell = new ProcessBuilder("sh")
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                .start();
        shellInput = signalShell.getOutputStream();
        Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
    }

    /** Starts a process, or restarts {@code previous} if not null; {@code lineConsumer} gets its output by lines. */
    ManagedProcess start(
            String name,
            List<String> command,
            Map<String, String> env,
            Path folder,
            Consumer<String> lineConsumer,
            ManagedProcess previous)
            throws IOException {
        ManagedProcess managed = previous == null ? new ManagedProcess(name) : previous;
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
        if (folder != null) {
            builder.directory(folder.toFile());
        }
        builder.environment().keySet().removeIf(k -> k.startsWith("ROUTER_"));
        builder.environment().putAll(env);
        Process process = builder.start();
        synchronized (managed) {
            managed.process = process;
            managed.stdin = process.outputWriter(StandardCharsets.UTF_8);
            managed.startedMicros = EngineSiteProcess.nowMicros();
            managed.ended = false;
            managed.paused = false;
        }
        if (previous == null) {
            synchronized (processes) {
                processes.add(managed);
            }
        }
        DaemonThreads.newThread("log-" + name, () -> {
                    try (BufferedReader in = process.inputReader(StandardCharsets.UTF_8)) {
                        for (String text = in.readLine(); text != null; text = in.readLine()) {
                            lineConsumer.accept(text);
                        }
                    } catch (IOException e) {
                        return; // The process has ended.
                    }
                })
                .start();
        var unused = process.onExit().thenAccept(exited -> {
            synchronized (managed) {
                if (!closing && managed.process == process && !managed.ended) {
                    managed.ended = true;
                    crashes++;
                    lineConsumer.accept("exited unexpectedly with status " + exited.exitValue());
                }
            }
        });
        return managed;
    }

    /**
     * Sends one signal to several processes at once with a single shell command: KILL, STOP, CONT, TERM, or QUIT, which
     * only requests a thread dump and does not count as a fault.
     */
    void signal(String signal, List<ManagedProcess> targets) throws IOException {
        StringBuilder pids = new StringBuilder();
        long now = EngineSiteProcess.nowMicros();
        for (ManagedProcess target : targets) {
            synchronized (target) {
                if (!target.ended) {
                    boolean onlyRequestsDump = signal.equals("QUIT");
                    target.lastSignalMicros = onlyRequestsDump ? target.lastSignalMicros : now;
                    target.ended = signal.equals("KILL") || signal.equals("TERM");
                    target.paused = signal.equals("STOP") || (onlyRequestsDump && target.paused);
                    pids.append(' ').append(target.process.pid());
                }
            }
        }
        if (pids.length() > 0) {
            synchronized (shellInput) {
                shellInput.write(("kill -" + signal + pids + "\n").getBytes(StandardCharsets.US_ASCII));
                shellInput.flush();
            }
        }
    }

    /** Waits for a signalled process to end; returns false on time-out. */
    static boolean awaitExit(ManagedProcess managed, long timeoutMillis) {
        try {
            return managed.process.waitFor(timeoutMillis, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    /** Number of processes that ended without being signalled. */
    int crashes() {
        return crashes;
    }

    /** Samples the resource usage of all running processes. */
    void sample() {
        List<ManagedProcess> current;
        synchronized (processes) {
            current = List.copyOf(processes);
        }
        for (ManagedProcess managed : current) {
            if (!managed.isAlive()) {
                continue;
            }
            Path procFolder = Path.of("/proc/" + managed.process.pid());
            try {
                String stat = Files.readString(procFolder.resolve("stat"));
                String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
                int files;
                try (var entries = Files.list(procFolder.resolve("fd"))) {
                    files = (int) entries.count();
                }
                ResourceSample sample = new ResourceSample(
                        EngineSiteProcess.nowMicros(),
                        managed.name,
                        Long.parseLong(fields[21]) * 4,
                        (Long.parseLong(fields[11]) + Long.parseLong(fields[12])) * 1000 / CLOCK_TICKS_PER_SECOND,
                        Integer.parseInt(fields[17]),
                        files);
                synchronized (samples) {
                    samples.add(sample);
                }
            } catch (IOException | java.io.UncheckedIOException e) {
                // The process has ended in the meantime, so there is no sample.
            }
        }
    }

    List<ResourceSample> samples() {
        synchronized (samples) {
            return List.copyOf(samples);
        }
    }

    private void killAll() {
        closing = true;
        synchronized (processes) {
            for (ManagedProcess p : processes) {
                p.process.destroyForcibly();
            }
        }
        signalShell.destroyForcibly();
    }

    @Override
    public void close() {
        killAll();
    }
}
