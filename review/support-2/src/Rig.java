import java.io.BufferedWriter;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * What every case needs: the record, free ports, a temporary folder, and router processes started with the command of
 * the deploy file. Arguments of a case: the project's root and the case's folder; TROUBLE=0 in the environment leaves
 * the disruption out.
 */
final class Rig implements AutoCloseable {
    static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();

    final Path root;
    final Path temporary;
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    private final BufferedWriter record;
    private final long startNanos = System.nanoTime();
    private final List<RouterProcess> routers = new ArrayList<>();

    Rig(String[] arguments) throws IOException {
        root = Path.of(arguments[0]).toAbsolutePath().normalize();
        record = Files.newBufferedWriter(Path.of(arguments[1], "record.txt"));
        temporary = Files.createTempDirectory("case");
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
        log("trouble " + (trouble ? "on" : "off"));
    }

    /** Milliseconds since the start of the case. */
    double now() {
        return (System.nanoTime() - startNanos) / 1e6;
    }

    void log(String text) {
        synchronized (record) {
            try {
                record.write(String.format(Locale.ROOT, "%10.1f %s%n", now(), text));
                record.flush();
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        }
    }

    /** A case, which ends by {@link #exit}. */
    interface Case {
        void run(Rig rig) throws IOException;
    }

    /** Plays a case; what it throws means that it could not run. */
    static void play(String[] arguments, Case played) throws IOException {
        Rig rig = new Rig(arguments);
        try {
            played.run(rig);
        } catch (IOException | RuntimeException e) {
            rig.exit(2, e.toString());
        }
        rig.exit(2, "no verdict");
    }

    /**
     * Records the verdict, ends all processes and exits: 1 if the rule was broken, 0 if it held, 2 if not run. The
     * process's own status is 10 for 1, since a JVM that can't start ends with 1.
     */
    void exit(int status, String verdict) {
        log("verdict " + status + ": " + verdict);
        System.out.println((status == 0 ? "held: " : status == 1 ? "broken: " : "not run: ") + verdict);
        System.exit(status == 1 ? 10 : status);
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, LOOPBACK)) {
            return socket.getLocalPort();
        }
    }

    static String address(int port) {
        return "127.0.0.1:" + port;
    }

    static void sleep(double millis) {
        try {
            if (millis > 0) {
                TimeUnit.MICROSECONDS.sleep((long) (millis * 1000));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Sleeps until a time of {@link #now}. */
    void sleepUntil(double millis) {
        sleep(millis - now());
    }

    static Thread daemon(Runnable body) {
        Thread thread = new Thread(null, body, "stand-in", 256 * 1024);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static void closeQuietly(AutoCloseable closeable) {
        try {
            closeable.close();
        } catch (Exception e) {
            // Nothing more can be done with it.
        }
    }

    /** The run command of deploy/balancer.toml. */
    String runCommand() throws IOException {
        for (String line : Files.readAllLines(root.resolve("deploy/balancer.toml"))) {
            if (line.startsWith("run = \"")) {
                return line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
            }
        }
        throw new IOException("no run command");
    }

    /**
     * Prepares a router: a folder of its own with the built target and the given files under deploy/, its
     * configuration and an empty TMPDIR.
     */
    RouterProcess router(String name, int port, int discoveryPort, String settings, String known, Map<String, String> deploy)
            throws IOException {
        Path folder = Files.createDirectories(temporary.resolve(name));
        Files.createSymbolicLink(folder.resolve("target"), root.resolve("target"));
        Files.createDirectories(folder.resolve("deploy"));
        for (Map.Entry<String, String> file : deploy.entrySet()) {
            Files.writeString(folder.resolve("deploy").resolve(file.getKey()), file.getValue());
        }
        String configuration = "{\"name\":\"" + name + "\",\"listen\":\"" + address(port) + "\",\"discovery\":\""
                + address(discoveryPort) + "\",\"seed\":\"8c1f30d27a5be964\","
                + "\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},\"known\":" + known + ",\"settings\":"
                + settings + "}";
        Path file = folder.resolve("config.json");
        Files.writeString(file, configuration);
        RouterProcess router = new RouterProcess(this, name, port, folder, file);
        routers.add(router);
        return router;
    }

    /** Sends a signal to a process that this case started. */
    void signal(Process process, String signal) throws IOException {
        log("SIG" + signal + " to process " + process.pid());
        try {
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public synchronized void close() {
        for (RouterProcess router : routers) {
            router.kill();
        }
        routers.clear();
        try (Stream<Path> files = Files.walk(temporary)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        } catch (IOException e) {
            // The temporary folder is gone already.
        }
    }

    /** One router, started with the command of the deploy file. */
    static final class RouterProcess {
        final String name;
        final int port;
        final Path folder;
        private final Rig rig;
        private final Path configuration;
        Process process;

        RouterProcess(Rig rig, String name, int port, Path folder, Path configuration) {
            this.rig = rig;
            this.name = name;
            this.port = port;
            this.folder = folder;
            this.configuration = configuration;
        }

        /** Starts the process and returns at once. */
        void launch() throws IOException {
            Path scratch = Files.createTempDirectory(folder, "tmp");
            ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", rig.runCommand());
            builder.directory(folder.toFile());
            builder.environment().put("ROUTER_CONFIG", configuration.toString());
            builder.environment().put("TMPDIR", scratch.toString());
            builder.redirectErrorStream(true);
            builder.redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve("log").toFile()));
            process = builder.start();
            rig.log("router " + name + " started, process " + process.pid());
        }

        /** Starts the process and waits until GET /up answers 200. */
        void startAndAwait() throws IOException {
            launch();
            awaitUp();
        }

        void awaitUp() throws IOException {
            double deadline = rig.now() + 30_000;
            while (rig.now() < deadline && process.isAlive()) {
                if (isUp()) {
                    rig.log("router " + name + " is up");
                    return;
                }
                sleep(20);
            }
            rig.log("router " + name + " did not come up:\n" + Files.readString(folder.resolve("log")));
            rig.exit(2, "router " + name + " did not come up");
        }

        private boolean isUp() {
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress(LOOPBACK, port), 500);
                socket.setSoTimeout(1000);
                socket.getOutputStream()
                        .write("GET /up HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
                return new String(socket.getInputStream().readNBytes(12), StandardCharsets.US_ASCII).endsWith("200");
            } catch (IOException e) {
                return false;
            }
        }

        void terminate() throws IOException {
            rig.signal(process, "TERM");
        }

        void kill() {
            if (process != null && process.isAlive()) {
                process.destroyForcibly();
                try {
                    process.waitFor(5, TimeUnit.SECONDS);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
                rig.log("router " + name + " killed");
            }
        }

        /** The lines of the router's log that hold one of the words. */
        void recordLog(String... words) throws IOException {
            for (String line : Files.readAllLines(folder.resolve("log"))) {
                if (Stream.of(words).anyMatch(line::contains)) {
                    rig.log("log of " + name + ": " + line);
                }
            }
        }
    }

    /** Reads a line without its end; null at the end of the input. */
    static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int b = in.read(); b >= 0; b = in.read()) {
            if (b == '\n') {
                int length = line.length();
                return length > 0 && line.charAt(length - 1) == '\r' ? line.substring(0, length - 1) : line.toString();
            }
            line.append((char) b);
        }
        return null;
    }
}
