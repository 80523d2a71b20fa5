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
 * The processes of a play: started, hit with signals, looked at, and ended with the rig, whatever ends it. It
 * owns them by their process ids and touches no other process.
 */
final class Processes implements AutoCloseable {
    /** The kernel's clock ticks, which /proc counts CPU time in (Hz). */
    private static final long TICKS = 100;

    /** What one process took at a time: resident memory (KB), CPU since its start (ms), threads, files. */
    record Sample(long at, String name, long rssKb, long cpuMs, int threads, int files) {}

    /** One process; {@code since} is when it last started, {@code hit} when something was last done to it. */
    static final class Proc {
        final String name;
        private Process process;
        private BufferedWriter to;
        private long since;
        private long hit = Long.MIN_VALUE;
        private boolean stopped;
        private boolean dead;

        private Proc(String name) {
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

    private final List<Proc> all = new ArrayList<>();
    private final List<Sample> samples = new ArrayList<>();
    private final Process shell;
    private final OutputStream orders;
    private volatile boolean over;
    private int crashes;

    Processes() throws IOException {
        shell = new ProcessBuilder("sh")
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                .start();
        orders = shell.getOutputStream();
        Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
    }

    /** Starts a process, its output line by line to a reader; {@code was} is started again, or null. */
    Proc start(String name, List<String> command, Map<String, String> env, Path folder, Consumer<String> line, Proc was)
            throws IOException {
        Proc p = was == null ? new Proc(name) : was;
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
            p.since = EngineSite.micros();
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
                        return; // Its end.
                    }
                })
                .start();
        var unused = process.onExit().thenAccept(x -> {
            synchronized (p) {
                if (!over && p.process == process && !p.dead) {
                    p.dead = true;
                    crashes++;
                    line.accept("ended by itself with " + x.exitValue());
                }
            }
        });
        return p;
    }

    /** One signal to several processes in one instant: KILL, STOP, CONT, TERM, or QUIT, which only asks. */
    void signal(String signal, List<Proc> to) throws IOException {
        StringBuilder pids = new StringBuilder();
        long now = EngineSite.micros();
        for (Proc p : to) {
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

    /** Waits for the end of a process that a signal has been sent to. */
    static boolean ended(Proc p, long ms) {
        try {
            return p.process.waitFor(ms, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    /** Processes that ended though nobody ended them. */
    int crashes() {
        return crashes;
    }

    /** Looks at each process now. */
    void sample() {
        List<Proc> now;
        synchronized (all) {
            now = List.copyOf(all);
        }
        for (Proc p : now) {
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
                Sample s = new Sample(
                        EngineSite.micros(),
                        p.name,
                        Long.parseLong(f[21]) * 4,
                        (Long.parseLong(f[11]) + Long.parseLong(f[12])) * 1000 / TICKS,
                        Integer.parseInt(f[17]),
                        files);
                synchronized (samples) {
                    samples.add(s);
                }
            } catch (IOException | java.io.UncheckedIOException e) {
                // The process has ended meanwhile: it has no sample.
            }
        }
    }

    List<Sample> samples() {
        synchronized (samples) {
            return List.copyOf(samples);
        }
    }

    private void killAll() {
        over = true;
        synchronized (all) {
            for (Proc p : all) {
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
