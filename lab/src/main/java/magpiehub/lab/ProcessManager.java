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
    private static final long TICKS = 100;

    /** Resource usage of one process at a time (us): resident memory, CPU time since its start, threads, open files. */
    record ResourceSample(long at, String name, long rssKb, long cpuMs, int threads, int files) {}

    /** One process; {@code since} is its last start, {@code hit} the last signal that changed its state (us). */
    static final class ManagedProcess {
        final String name;
        private Process process;
        private BufferedWriter to;
        private long since;
        private long hit = Long.MIN_VALUE;
        private boolean stopped;
        private boolean dead;

        private ManagedProcess(String name) {
            this.name = name;
        }

        synchronized boolean whole(long from) {
            return !dead && !stopped && hit < from && since < from && process.isAlive();
        }

        synchronized boolean alive() {
            return !dead && process.isAlive();
        }

        synchronized void say(String line) throws IOException {
            to.write(line + "\n");
            to.flush();
        }
    }

    private final List<ManagedProcess> all = new ArrayList<>();
    private final List<ResourceSample> samples = new ArrayList<>();
    private final Process shell;
    private final OutputStream orders;
    private volatile boolean over;
    private int crashes;

    ProcessManager() throws IOException {
        shell = new ProcessBuilder("sh")
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                .start();
        orders = shell.getOutputStream();
        Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
    }

    /** Starts a process, or restarts {@code was} if it is not null; passes each line of output to {@code line}. */
    ManagedProcess start(
            String name,
            List<String> command,
            Map<String, String> env,
            Path folder,
            Consumer<String> line,
            ManagedProcess was)
            throws IOException {
        ManagedProcess p = was == null ? new ManagedProcess(name) : was;
        ProcessBuilder b = new ProcessBuilder(command).redirectErrorStream(true);
        if (folder != null) {
            b.directory(folder.toFile());
        }
        b.environment().keySet().removeIf(k -> k.startsWith("ROUTER_"));
        b.environment().putAll(env);
        Process process = b.start();
        synchronized (p) {
            p.process = process;
            p.to = process.outputWriter(StandardCharsets.UTF_8);
            p.since = EngineSiteProcess.nowMicros();
            p.dead = false;
            p.stopped = false;
        }
        if (was == null) {
            synchronized (all) {
                all.add(p);
            }
        }
        DaemonThreads.newThread("log-" + name, () -> {
                    try (BufferedReader in = process.inputReader(StandardCharsets.UTF_8)) {
                        for (String l = in.readLine(); l != null; l = in.readLine()) {
                            line.accept(l);
                        }
                    } catch (IOException e) {
                        return; // The process has ended.
                    }
                })
                .start();
        var unused = process.onExit().thenAccept(x -> {
            synchronized (p) {
                if (!over && p.process == process && !p.dead) {
                    p.dead = true;
                    crashes++;
                    line.accept("exited unexpectedly with status " + x.exitValue());
                }
            }
        });
        return p;
    }

    /**
     * Sends one signal to several processes at once with a single shell command: KILL, STOP, CONT, TERM, or QUIT, which
     * only requests a thread dump and does not count as a fault.
     */
    void signal(String signal, List<ManagedProcess> to) throws IOException {
        StringBuilder pids = new StringBuilder();
        long now = EngineSiteProcess.nowMicros();
        for (ManagedProcess p : to) {
            synchronized (p) {
                if (!p.dead) {
                    boolean asks = signal.equals("QUIT");
                    p.hit = asks ? p.hit : now;
                    p.dead = signal.equals("KILL") || signal.equals("TERM");
                    p.stopped = signal.equals("STOP") || (asks && p.stopped);
                    pids.append(' ').append(p.process.pid());
                }
            }
        }
        if (pids.length() > 0) {
            synchronized (orders) {
                orders.write(("kill -" + signal + pids + "\n").getBytes(StandardCharsets.US_ASCII));
                orders.flush();
            }
        }
    }

    /** Waits for a signalled process to end; returns false on time-out. */
    static boolean awaitExit(ManagedProcess p, long ms) {
        try {
            return p.process.waitFor(ms, TimeUnit.MILLISECONDS);
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
        List<ManagedProcess> now;
        synchronized (all) {
            now = List.copyOf(all);
        }
        for (ManagedProcess p : now) {
            if (!p.alive()) {
                continue;
            }
            Path at = Path.of("/proc/" + p.process.pid());
            try {
                String stat = Files.readString(at.resolve("stat"));
                String[] f = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
                int files;
                try (var l = Files.list(at.resolve("fd"))) {
                    files = (int) l.count();
                }
                ResourceSample s = new ResourceSample(
                        EngineSiteProcess.nowMicros(),
                        p.name,
                        Long.parseLong(f[21]) * 4,
                        (Long.parseLong(f[11]) + Long.parseLong(f[12])) * 1000 / TICKS,
                        Integer.parseInt(f[17]),
                        files);
                synchronized (samples) {
                    samples.add(s);
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
        over = true;
        synchronized (all) {
            for (ManagedProcess p : all) {
                p.process.destroyForcibly();
            }
        }
        shell.destroyForcibly();
    }

    @Override
    public void close() {
        killAll();
    }
}
