package magpiehub.lab;

import java.io.BufferedWriter;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import magpiehub.concurrent.DaemonThreads;
import magpiehub.http.HttpReader;

/**
 * One run of a scenario: routers as real processes started with the command of {@code run}, one engine process per
 * site, the discovery service, clients, and a relay between any two of them. Injects the faults at their times and
 * records observations. All addresses are on the loopback interface. Routers receive only information that the
 * platform would also give them.
 */
final class Fleet implements AutoCloseable {
    private static final int PORT = 8000;
    private static final int CONSOLE = 8001;
    private static final long SAMPLE = 500_000;
    /** A router's configuration file. */
    private static final String CONFIG =
            """
            {"name":"%s","listen":"%s","discovery":"%s","seed":"%016x",
             "limits":{"cores":1.0,"memory_mb":%d,"sockets":%d},"known":%s,"settings":{
             "instances":%d,"me":%d,"myZone":%d,"zones":[%s],"machineTypes":["m"],
             "membershipMode":"subscribe","weights":"nominal","overShareWorth":0.1,"tickMs":2,
             "familyInfo":{"resume":false,"tokenAimMs":[%s],"aimUsPer1000PromptTokens":[]},
             "classes":[%s],"accounts":[%s],"telemetry":{"how":"none","fields":[]},
             "costs":{"crossZone":0.03,"waste":0.2,"probe":0.002,"lateFail":0.06},
             "limits":{"mostTries":3,"cancel":true,"probes":%s,"peers":false,"parallelTries":false,
              "retryAfter":true,"maxRetryAfterMs":2000,"connectTimeoutMs":250,"idleCloseMs":30000,
              "mostHeld":20000},
             "guarantees":{"answerSlackMs":8,"askWithinMs":10000,"coldMs":%d,"fallMs":%d,
              "overloadFactor":%s,"startCapacity":%s,"stopSendingWithinMs":2000}}}
            """;
    /** Time limit for starting routers and engines, ample for a busy machine (us). */
    private static final long START = 60_000_000;

    /** An attempt, observed at the router's end of the path; {@code site} is the router's, -1 if still running. */
    record Attempt(String call, int site, String engine, long began, long over) {}

    /** A change of a site's state as reported in a router's log. */
    record SiteStateChange(long at, int router, String site, String from, String to, String cause) {}

    /** Load of a site's engines at one time. */
    record EngineLoad(long at, int site, int running, int waiting, double speed) {}

    /** A fault that was injected. */
    record InjectedFault(long at, String text) {}

    /** Everything observed during a run. Times are in us of the monotonic clock; {@code from} is the run's start. */
    record RunResult(
            Scenario scenario,
            long from,
            List<LoadGenerator.RequestRecord> results,
            List<Attempt> attempts,
            List<EngineLoad> loads,
            List<InjectedFault> faults,
            List<ProcessManager.ResourceSample> samples,
            List<String> fell,
            List<String> toDrained,
            int twice,
            int open,
            int crashes,
            long late,
            List<String> failures,
            List<SiteStateChange> stands,
            Map<String, String> counters) {}

    private final Scenario s;
    private final Path jar;
    private final Map<String, String> files;
    private final Path out;
    private final int net;
    private final Consumer<String> progress;
    private final ProcessManager processes = new ProcessManager();
    private final FakeDiscovery discovery;
    private final LoadGenerator clients;
    private final List<Relay.NetworkPath> paths = new ArrayList<>();
    private final Map<String, Relay> engineRelays = new HashMap<>();
    private final List<List<Relay>> routerRelays = new ArrayList<>();
    private final List<ProcessManager.ManagedProcess> routers = new ArrayList<>();
    private final List<ProcessManager.ManagedProcess> engines = new ArrayList<>();
    private final List<LoadGenerator.RouterTarget> targets = new ArrayList<>();
    private final List<Integer> numbers = new ArrayList<>();
    private final Map<String, Boolean> up = new HashMap<>();
    private final Map<String, long[]> outNow = new HashMap<>();
    private final List<Attempt> attempts = new ArrayList<>();
    private final TreeMap<Long, List<EngineLoad>> loads = new TreeMap<>();
    private final List<InjectedFault> done = new ArrayList<>();
    private final List<String> fell = new ArrayList<>();
    private final List<String> failures = new ArrayList<>();
    private final List<SiteStateChange> stands = new ArrayList<>();
    private static final Pattern SITE =
            Pattern.compile(" site \\[\\S+ name=\"(\\S+)\" from=\"(\\S+)\" to=\"(\\S+)\" cause=\"(\\S+)\"\\]");
    private final Set<Integer> asked = new HashSet<>();
    private final SplittableRandom seeds;
    private volatile boolean over;

    /**
     * Prepares a run.
     *
     * @param net the second octet of all addresses, 16 to 250; concurrent runs need different ones
     * @param files contents of the installation's {@code deploy} folder, by file name
     */
    Fleet(Scenario s, Path jar, Path out, int net, Map<String, String> files, Consumer<String> progress)
            throws IOException {
        this.s = s;
        this.jar = jar.toAbsolutePath();
        this.files = Map.copyOf(files);
        this.out = out;
        this.net = net;
        this.progress = progress;
        this.seeds = new SplittableRandom(s.seed ^ 0x9e3779b97f4a7c15L);
        this.discovery = new FakeDiscovery(
                s.sites.stream().map(Scenario.Site::name).toList(),
                (from, m) -> text(relayed(from, m.site(), m.number())));
        Files.createDirectories(out);
        for (int i = 0; i < s.sites.size(); i++) {
            for (int j = 0; j < s.sites.get(i).routers(); j++) {
                targets.add(new LoadGenerator.RouterTarget(
                        targets.size(), i, s.sites.get(i).name() + "-" + (j + 1)));
            }
        }
        this.clients = new LoadGenerator(
                s,
                targets,
                (from, r) -> at(170 + 8 * from + targets.get(r).site(), 1 + r),
                new LoadGenerator.RouterHealth() {
                    @Override
                    public boolean isHealthySince(int from, int r, long since) {
                        return routers.get(r).whole(since)
                                && !path("clients", from, targets.get(r).site()).faulted(since);
                    }

                    @Override
                    public void onUnanswered(int r, String call) {
                        askForThreads(r, call);
                    }
                });
    }

    /** Writes a router's thread dump to its log, next to the unanswered request's id; once per router. */
    private void askForThreads(int r, String call) {
        synchronized (asked) {
            if (!asked.add(r)) {
                return;
            }
        }
        log(targets.get(r).name(), "lab: no answer to " + call + "; requesting a thread dump");
        try {
            processes.signal("QUIT", List.of(routers.get(r)));
        } catch (IOException e) {
            failures.add("thread dump of " + targets.get(r).name() + ": " + e.getMessage());
        }
    }

    // ---- Addresses ------------------------------------------------------------------------------------
    private InetSocketAddress at(int third, int fourth) {
        return new InetSocketAddress("127." + net + "." + third + "." + fourth, PORT);
    }

    private InetSocketAddress relayed(int from, int site, int number) {
        return at(100 + 8 * from + site, number);
    }

    private static String text(InetSocketAddress a) {
        return a.getAddress().getHostAddress() + ":" + a.getPort();
    }

    private Relay.NetworkPath path(String kind, int from, int to) {
        for (Relay.NetworkPath p : paths) {
            if (p.from == from && p.to == to && p.name.startsWith(kind)) {
                return p;
            }
        }
        throw new IllegalStateException("no path " + kind + " " + from + " " + to);
    }

    private long delay(Relay.NetworkPath p) {
        return Math.round(1000 * (s.paths.delayMs() + (p.from == p.to || p.to < 0 ? 0 : s.paths.crossDelayMs())));
    }

    private long jitter() {
        return Math.round(1000 * s.paths.jitterMs());
    }

    // ---- Start ----------------------------------------------------------------------------------------
    /** Runs the whole scenario. */
    RunResult play() throws IOException {
        int n = s.sites.size();
        for (int a = 0; a < n; a++) {
            for (int b = 0; b < n; b++) {
                add("engines", a, b);
                add("clients", a, b);
            }
            add("discovery", a, -1);
        }
        for (int i = 0; i < n; i++) {
            numbers.add(1);
            engines.add(null);
            startEngines(i, false);
        }
        progress.accept("starting " + targets.size() + " routers of " + jar.getFileName());
        for (LoadGenerator.RouterTarget t : targets) {
            discovery.serve(t.router(), t.site(), at(1, 1 + t.router()));
            List<Relay> mine = new ArrayList<>();
            mine.add(new Relay(path("discovery", t.site(), -1), at(2, 1 + t.router()), at(1, 1 + t.router()), null));
            for (int from = 0; from < n; from++) {
                mine.add(new Relay(
                        path("clients", from, t.site()),
                        at(170 + 8 * from + t.site(), 1 + t.router()),
                        at(10, 1 + t.router()),
                        null));
            }
            routerRelays.add(mine);
            routers.add(startRouter(t, null));
        }
        if (!clients.awaitRouters(START)) {
            throw new IOException("not all routers passed their health checks; see " + out.resolve("logs"));
        }
        discovery.late(s.listLateMs * 1000);
        long from = EngineSiteProcess.nowMicros() + LoadGenerator.WARM_UP_MICROS + 300_000;
        DaemonThreads.newThread("samples", this::samples).start();
        List<Thread> arrivals = clients.startArrivals(from);
        for (Scenario.Fault f : s.faults) {
            until(from + f.at() * 1000);
            try {
                carryOut(f);
            } catch (IOException e) {
                failures.add("fault " + f.text(s.sites) + ": " + e.getMessage());
            }
        }
        until(from + s.lengthMs * 1000);
        for (Thread t : arrivals) {
            try {
                t.join();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        long longest = s.requests.classes().stream()
                .mapToLong(Scenario.RequestClass::deadlineMs)
                .max()
                .orElse(0);
        List<LoadGenerator.RequestRecord> results = clients.awaitResults((longest + 5_000) * 1000);
        over = true;
        processes.sample();
        Map<String, String> counters = new TreeMap<>();
        for (LoadGenerator.RouterTarget t : targets) {
            if (routers.get(t.router()).alive()) {
                counters.put(t.name(), counters(t));
            }
        }
        return outcome(from, results, counters);
    }

    private void add(String kind, int a, int b) {
        Relay.NetworkPath p = new Relay.NetworkPath(kind + "-" + a + "-" + b, a, b, 0, 0, seeds.nextLong());
        paths.add(p);
        try {
            p.heal(delay(p), jitter());
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e); // Cannot happen: the path has no relays yet.
        }
    }

    private void until(long until) {
        while (EngineSiteProcess.nowMicros() < until) {
            EngineSiteProcess.sleep(Math.min(100_000, Math.max(1, until - EngineSiteProcess.nowMicros())));
        }
    }

    /** Starts a site's engine process; its engines get new ids and are warm only at the start of the run. */
    private void startEngines(int site, boolean cold) throws IOException {
        Scenario.Site at = s.sites.get(site);
        EngineModel.Parameters b = s.engine;
        ProcessManager.ManagedProcess p = processes.start(
                "engines-" + at.name(),
                List.of(
                        ProcessHandle.current().info().command().orElse("java"),
                        "-XX:+UseSerialGC",
                        "-Xmx192m",
                        "-cp",
                        System.getProperty("java.class.path"),
                        Lab.class.getName(),
                        "engines"),
                Map.of(),
                null,
                l -> engineSaid(site, l),
                engines.get(site));
        engines.set(site, p);
        p.say(String.format(
                Locale.ROOT,
                "build %d %d %s %s %d %d %d %d %s %d %s",
                b.slots(),
                b.queue(),
                b.stepMs(),
                b.promptUs(),
                b.chunk(),
                b.event(),
                b.kept(),
                b.coldMs(),
                b.start(),
                b.fallMs(),
                b.factor()));
        addEngines(site, cold);
    }

    /** Adds engines with new ids, numbered consecutively, to the site's process. */
    private void addEngines(int site, boolean cold) throws IOException {
        Scenario.Site at = s.sites.get(site);
        ProcessManager.ManagedProcess p = engines.get(site);
        long since = cold ? System.currentTimeMillis() : 0;
        List<String> ids = new ArrayList<>();
        int first = numbers.get(site);
        for (int i = 0; i < at.engines(); i++) {
            int number = first + i;
            if (number > 250) {
                throw new IOException("site " + at.name() + " has used all 250 engine addresses");
            }
            String id = at.name() + "-e" + number;
            ids.add(id);
            p.say("add " + id + " " + text(at(20 + site, number)) + (cold ? " cold" : " warm"));
        }
        numbers.set(site, first + at.engines());
        synchronized (up) {
            long until = EngineSiteProcess.nowMicros() + START;
            while (!ids.stream().allMatch(up::containsKey) && EngineSiteProcess.nowMicros() < until) {
                EngineSiteProcess.await(up, 100_000);
            }
            if (!ids.stream().allMatch(up::containsKey)) {
                throw new IOException("not all engines of " + at.name() + " started; see " + out.resolve("logs"));
            }
        }
        for (int i = 0; i < ids.size(); i++) {
            for (int from = 0; from < s.sites.size(); from++) {
                engineRelays.put(
                        ids.get(i) + "@" + from,
                        new Relay(
                                path("engines", from, site),
                                relayed(from, site, first + i),
                                at(20 + site, first + i),
                                watch(from, ids.get(i))));
            }
            discovery.put(ids.get(i), site, first + i, "Ready", since);
        }
    }

    private Relay.RequestObserver watch(int site, String engine) {
        return new Relay.RequestObserver() {
            @Override
            public void began(String call, long at) {
                synchronized (outNow) {
                    outNow.put(call + "@" + engine, new long[] {at});
                }
            }

            @Override
            public void over(String call, long at) {
                synchronized (outNow) {
                    long[] began = outNow.remove(call + "@" + engine);
                    if (began != null) {
                        attempts.add(new Attempt(call, site, engine, began[0], at));
                    }
                }
            }
        };
    }

    private void engineSaid(int site, String line) {
        String[] w = line.split(" ");
        switch (w[0]) {
            case "up" -> {
                synchronized (up) {
                    up.put(w[1], true);
                    up.notifyAll();
                }
            }
            case "fell" -> {
                synchronized (fell) {
                    fell.add(w[2]);
                }
            }
            case "l" -> {
                synchronized (loads) {
                    loads.computeIfAbsent(Long.parseLong(w[1]) / 200_000, k -> new ArrayList<>())
                            .add(new EngineLoad(
                                    Long.parseLong(w[1]),
                                    site,
                                    Integer.parseInt(w[3]),
                                    Integer.parseInt(w[4]),
                                    Double.parseDouble(w[5]) / 1000));
                }
            }
            case "a" -> {
                return; // Attempts are already observed by the relays.
            }
            default -> log("engines-" + s.sites.get(site).name(), line);
        }
    }

    private void routerSaid(LoadGenerator.RouterTarget t, String line) {
        Matcher m = SITE.matcher(line);
        if (m.find()) {
            synchronized (stands) {
                stands.add(new SiteStateChange(
                        EngineSiteProcess.nowMicros(), t.router(), m.group(1), m.group(2), m.group(3), m.group(4)));
            }
        }
        log(t.name(), line);
    }

    private synchronized void log(String name, String line) {
        try {
            Files.createDirectories(out.resolve("logs"));
            try (BufferedWriter w = Files.newBufferedWriter(
                    out.resolve("logs").resolve(name + ".log"),
                    java.nio.file.StandardOpenOption.CREATE,
                    java.nio.file.StandardOpenOption.APPEND)) {
                w.write(line + "\n");
            }
        } catch (IOException e) {
            failures.add("log of " + name + ": " + e.getMessage());
        }
    }

    /** Starts a router with the command of {@code run}, replacing the built jar by the run's jar. */
    private ProcessManager.ManagedProcess startRouter(LoadGenerator.RouterTarget t, ProcessManager.ManagedProcess was)
            throws IOException {
        Path home = out.resolve("routers").resolve(t.name());
        Path tmp = home.resolve("tmp-" + EngineSiteProcess.nowMicros());
        Files.createDirectories(tmp);
        Files.createDirectories(home.resolve("deploy"));
        for (Map.Entry<String, String> f : files.entrySet()) {
            Files.writeString(home.resolve("deploy").resolve(f.getKey()), f.getValue());
        }
        Path config = home.resolve("config.json");
        Files.writeString(config, config(t));
        String run = Files.readAllLines(root().resolve("deploy/balancer.toml")).stream()
                .filter(l -> l.startsWith("run = "))
                .findFirst()
                .orElseThrow();
        run = run.substring(run.indexOf('"') + 1, run.lastIndexOf('"'))
                .replace("target/magpiehub.jar", jar.toString())
                .replace("target/magpiehub.jsa", jar.toString().replaceAll("\\.jar$", ".jsa"));
        Map<String, String> env = new HashMap<>(Map.of(
                "ROUTER_NAME",
                t.name(),
                "ROUTER_CONFIG",
                config.toAbsolutePath().toString(),
                "ROUTER_LISTEN",
                text(at(10, 1 + t.router())),
                "ROUTER_DISCOVERY",
                text(at(2, 1 + t.router())),
                "TMPDIR",
                tmp.toAbsolutePath().toString()));
        if (s.faults.stream().anyMatch(f -> f.kind().equals("say"))) {
            env.put("ROUTER_CONSOLE", at(10, 1 + t.router()).getAddress().getHostAddress() + ":" + CONSOLE);
        }
        return processes.start(t.name(), List.of("sh", "-c", run), env, home, l -> routerSaid(t, l), was);
    }

    /** The project's root: the closest parent of the working directory that contains deploy/balancer.toml. */
    static Path root() throws IOException {
        for (Path p = Path.of("").toAbsolutePath(); p != null; p = p.getParent()) {
            if (Files.exists(p.resolve("deploy/balancer.toml"))) {
                return p;
            }
        }
        throw new IOException(
                "deploy/balancer.toml not found in this folder or its parents; run in the project's folder");
    }

    private String config(LoadGenerator.RouterTarget t) {
        StringBuilder classes = new StringBuilder();
        StringBuilder tokenAims = new StringBuilder();
        for (Scenario.RequestClass k : s.requests.classes()) {
            classes.append(classes.length() == 0 ? "" : ",")
                    .append(String.format(
                            Locale.ROOT,
                            "{\"name\":\"%s\",\"aimMs\":%d,\"deadlineMs\":%d,\"effect\":\"pure\",\"gain\":%s,"
                                    + "\"group\":\"all\",\"lateShare\":0.0,\"stream\":true,\"windowMs\":5000}",
                            k.name(),
                            k.aimMs(),
                            k.deadlineMs(),
                            k.gain()));
            tokenAims.append(tokenAims.length() == 0 ? "50" : ",50");
        }
        double rate = s.sites.stream().mapToDouble(Scenario.Site::rate).sum();
        StringBuilder accounts = new StringBuilder();
        for (Scenario.Tenant a : s.requests.tenants()) {
            accounts.append(accounts.length() == 0 ? "" : ",")
                    .append(String.format(
                            Locale.ROOT,
                            "{\"name\":\"%s\",\"share\":%s,\"allowancePerS\":%s}",
                            a.name(),
                            a.share(),
                            1.5 * rate * a.share()));
        }
        StringBuilder zones = new StringBuilder();
        s.sites.forEach(z -> zones.append(zones.length() == 0 ? "\"" : ",\"")
                .append(z.name())
                .append('"'));
        EngineModel.Parameters b = s.engine;
        return String.format(
                Locale.ROOT,
                CONFIG,
                t.name(),
                text(at(10, 1 + t.router())),
                text(at(2, 1 + t.router())),
                seeds.nextLong(),
                s.routers.memoryMb(),
                s.routers.sockets(),
                discovery.known(t.router(), t.site()),
                targets.size(),
                t.router(),
                t.site(),
                zones,
                tokenAims,
                classes,
                accounts,
                s.routers.probes(),
                b.coldMs(),
                b.fallMs(),
                b.factor(),
                b.start());
    }

    // ---- Faults ---------------------------------------------------------------------------------------
    private List<ProcessManager.ManagedProcess> aimed(Scenario.Fault f) {
        List<ProcessManager.ManagedProcess> to = new ArrayList<>();
        for (LoadGenerator.RouterTarget t : targets) {
            boolean there = f.site() < 0 || t.site() == f.site();
            if ((there && (f.target().equals("site") || f.target().equals("routers")))
                    || f.target().equals(t.name())) {
                to.add(routers.get(t.router()));
            }
        }
        for (int i = 0; i < engines.size(); i++) {
            if ((f.site() < 0 || i == f.site())
                    && (f.target().equals("site") || f.target().equals("engines"))) {
                to.add(engines.get(i));
            }
        }
        return to;
    }

    private List<Relay.NetworkPath> along(Scenario.Fault f) {
        return paths.stream()
                .filter(p -> f.paths().equals("all") || p.name.startsWith(f.paths()))
                .filter(p -> f.site() < 0
                        || (p.from == f.site() && (f.to() < 0 ? p.to != p.from : p.to == f.to()))
                        || (f.to() < 0 && p.to == f.site() && p.from != p.to)
                        || (f.to() >= 0 && p.to == f.site() && p.from == f.to()))
                .toList();
    }

    private void note(String text) {
        done.add(new InjectedFault(EngineSiteProcess.nowMicros(), text));
        progress.accept(text);
    }

    private void carryOut(Scenario.Fault f) throws IOException {
        note(f.text(s.sites));
        switch (f.kind()) {
            case "kill" -> kill(f);
            case "stop" -> processes.signal("STOP", aimed(f));
            case "continue" -> processes.signal("CONT", aimed(f));
            case "term" -> processes.signal("TERM", aimed(f));
            case "start" -> start(f);
            case "cut" -> {
                for (Relay.NetworkPath p : along(f)) {
                    // "forth" is the direction that leaves the named site.
                    boolean leaves = f.site() < 0 || p.from == f.site();
                    p.cut(
                            f.way().equals("both") || f.way().equals("forth") == leaves,
                            f.way().equals("both") || f.way().equals("back") == leaves);
                }
            }
            case "blackhole" -> along(f).forEach(Relay.NetworkPath::blackHole);
            case "reset" -> along(f).forEach(Relay.NetworkPath::reset);
            case "slow" -> along(f).forEach(p -> p.slow(Math.round(delay(p) * f.value()), jitter(), 0));
            case "throttle" -> along(f).forEach(p -> p.slow(delay(p), jitter(), Math.round(f.value())));
            case "heal" -> {
                for (Relay.NetworkPath p : along(f)) {
                    p.heal(delay(p), jitter());
                }
            }
            case "engine-slow", "engine-errors", "engine-silent", "engine-heard" -> {
                for (FakeDiscovery.Member m : aimedEngines(f)) {
                    engines.get(m.site()).say(f.kind().substring(7) + " " + m.id() + " " + f.value());
                }
            }
            case "drain" -> {
                for (FakeDiscovery.Member m : aimedEngines(f)) {
                    discovery.put(m.id(), m.site(), m.number(), "Terminating", m.upSinceMs());
                    engines.get(m.site()).say("drain " + m.id());
                }
            }
            case "say" -> {
                for (LoadGenerator.RouterTarget t : targets) {
                    if (f.site() < 0 || t.site() == f.site()) {
                        String answer = say(t, f.target());
                        if (!answer.startsWith("SUCCESS")) {
                            failures.add(t.name() + " answered " + f.target() + " with " + answer);
                        }
                    }
                }
            }
            case "list-late" -> discovery.late(Math.round(f.value() * 1000));
            case "list-torn" -> discovery.tear();
            case "list-down" -> discovery.down(true);
            case "list-up" -> discovery.down(false);
            case "list-gone" -> list(f, "Gone");
            case "list-ready" -> list(f, "Ready");
            case "replace" -> {
                for (int i = 0; i < s.sites.size(); i++) {
                    if (f.site() < 0 || f.site() == i) {
                        replace(i);
                    }
                }
            }
            default -> throw new IOException("unknown fault: " + f.kind());
        }
    }

    /** Sends one line to a router's console and returns the reply. */
    private String say(LoadGenerator.RouterTarget t, String line) throws IOException {
        try (Socket s = new Socket()) {
            s.connect(new InetSocketAddress(at(10, 1 + t.router()).getAddress(), CONSOLE), 1_000);
            s.setSoTimeout(2_000);
            s.getOutputStream().write((line + "\n").getBytes(StandardCharsets.US_ASCII));
            return new String(s.getInputStream().readAllBytes(), StandardCharsets.UTF_8).strip();
        }
    }

    /** A router's counters; empty if it does not respond. */
    private String counters(LoadGenerator.RouterTarget t) {
        try (Socket s = new Socket()) {
            s.connect(at(10, 1 + t.router()), 1_000);
            s.setSoTimeout(2_000);
            s.getOutputStream()
                    .write("GET /counters HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
                            .getBytes(StandardCharsets.US_ASCII));
            HttpReader in = new HttpReader(s.getInputStream(), EngineSiteProcess::nowMicros);
            return in.awaitMessage() ? new String(in.readBody(in.readResponseHead()), StandardCharsets.UTF_8) : "";
        } catch (IOException e) {
            return "";
        }
    }

    private void list(Scenario.Fault f, String phase) {
        for (FakeDiscovery.Member m : aimedEngines(f)) {
            discovery.put(m.id(), m.site(), m.number(), phase, m.upSinceMs());
        }
    }

    /** The engines that a fault targets: one by its id, or all current ones of a site or of the fleet. */
    private List<FakeDiscovery.Member> aimedEngines(Scenario.Fault f) {
        return discovery.members().stream()
                .filter(m -> f.target() != null
                        ? m.id().equals(f.target())
                        : (f.site() < 0 || m.site() == f.site())
                                && m.number()
                                        >= numbers.get(m.site())
                                                - s.sites.get(m.site()).engines())
                .toList();
    }

    private void kill(Scenario.Fault f) throws IOException {
        List<ProcessManager.ManagedProcess> to = aimed(f);
        processes.signal("KILL", to);
        for (LoadGenerator.RouterTarget t : targets) {
            if (to.contains(routers.get(t.router()))) {
                List<Relay> mine = routerRelays.get(t.router());
                for (Relay r : mine.subList(1, mine.size())) { // The first relay leads to discovery.
                    r.down();
                }
            }
        }
        for (int i = 0; i < engines.size(); i++) {
            if (to.contains(engines.get(i))) {
                gone(i);
            }
        }
    }

    /** Removes a site's engines: their addresses refuse connections, and the list reports them as gone. */
    private void gone(int site) throws IOException {
        for (FakeDiscovery.Member m : discovery.members()) {
            if (m.site() == site && !m.phase().equals("Gone")) {
                for (int from = 0; from < s.sites.size(); from++) {
                    engineRelays.get(m.id() + "@" + from).down();
                }
                discovery.put(m.id(), m.site(), m.number(), "Gone", m.upSinceMs());
            }
        }
    }

    private void start(Scenario.Fault f) throws IOException {
        List<ProcessManager.ManagedProcess> to = aimed(f);
        for (int i = 0; i < engines.size(); i++) {
            if (to.contains(engines.get(i)) && !engines.get(i).alive()) {
                startEngines(i, true);
            }
        }
        for (LoadGenerator.RouterTarget t : targets) {
            ProcessManager.ManagedProcess p = routers.get(t.router());
            if (to.contains(p) && !p.alive()) {
                ProcessManager.awaitExit(p, 10_000);
                startRouter(t, p);
            }
        }
    }

    /** Replaces all engines of a site at once: starts new cold ones and drains the old ones. */
    private void replace(int site) throws IOException {
        List<FakeDiscovery.Member> old = discovery.members().stream()
                .filter(m -> m.site() == site && m.phase().equals("Ready"))
                .toList();
        addEngines(site, true);
        for (FakeDiscovery.Member m : old) {
            discovery.put(m.id(), m.site(), m.number(), "Terminating", m.upSinceMs());
            engines.get(site).say("drain " + m.id());
        }
    }

    private void samples() {
        while (!over) {
            processes.sample();
            EngineSiteProcess.sleep(SAMPLE);
        }
    }

    // ---- The end --------------------------------------------------------------------------------------
    private RunResult outcome(long from, List<LoadGenerator.RequestRecord> results, Map<String, String> counters) {
        List<Attempt> all;
        synchronized (outNow) {
            all = new ArrayList<>(attempts);
            long now = EngineSiteProcess.nowMicros();
            outNow.forEach((k, began) -> {
                String engine = k.substring(k.indexOf('@') + 1);
                all.add(new Attempt(k.substring(0, k.indexOf('@')), -1, engine, began[0], now));
            });
        }
        List<String> late = new ArrayList<>();
        for (Attempt a : all) {
            long told = 0;
            for (LoadGenerator.RouterTarget t : targets) {
                told = t.site() == a.site ? Math.max(told, discovery.told(a.engine, t.router())) : told;
            }
            if (told > 0
                    && told < Long.MAX_VALUE
                    && a.began > told + 2_050_000
                    && !path("discovery", Math.max(0, a.site), -1).faulted(told)) {
                late.add(a.engine + " got " + a.call + " " + (a.began - told) / 1000 + " ms after it was told");
            }
        }
        List<EngineLoad> sums = new ArrayList<>();
        synchronized (loads) {
            loads.forEach((k, l) -> {
                for (int i = 0; i < s.sites.size(); i++) {
                    int site = i;
                    List<EngineLoad> of = l.stream().filter(x -> x.site == site).toList();
                    if (!of.isEmpty()) {
                        sums.add(new EngineLoad(
                                k * 200_000,
                                site,
                                of.stream().mapToInt(EngineLoad::running).sum(),
                                of.stream().mapToInt(EngineLoad::waiting).sum(),
                                of.stream().mapToDouble(EngineLoad::speed).sum()));
                    }
                }
            });
        }
        List<SiteStateChange> words;
        synchronized (stands) {
            words = List.copyOf(stands);
        }
        return new RunResult(
                s,
                from,
                results,
                all,
                sums,
                List.copyOf(done),
                processes.samples(),
                List.copyOf(fell),
                late,
                clients.duplicateResponses(),
                clients.pendingRequests(),
                processes.crashes(),
                clients.sendDelayP99Micros(),
                List.copyOf(failures),
                words,
                counters);
    }

    @Override
    public void close() throws IOException {
        over = true;
        processes.close();
        discovery.close();
        for (Relay r : engineRelays.values()) {
            r.close();
        }
        for (List<Relay> l : routerRelays) {
            for (Relay r : l) {
                r.close();
            }
        }
    }
}
