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
 * One play of a scenario: routers as real processes by the command of {@code run}, one process of engines a
 * site, discovery, clients, and a relay between any two of them. It carries out the faults at their times and
 * keeps what was seen. It owns all addresses, on loopback only. It must never tell a router anything that the
 * platform would not.
 */
final class Fleet implements AutoCloseable {
    private static final int PORT = 8000;
    private static final int CONSOLE = 8001;
    private static final long SAMPLE = 500_000;
    /** A router's file: name, addresses, seed, limits, list, its place, classes, figures of the engines. */
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
    /** A router's start on a busy machine (us). */
    private static final long START = 60_000_000;

    /** An attempt as seen at the router's end of the path: from which site, at which engine. */
    record Attempt(String call, int site, String engine, long began, long over) {}

    /** A router's word on a site, as its log has it. */
    record Stand(long at, int router, String site, String from, String to, String cause) {}

    /** What the engines of a site had in hand. */
    record Load(long at, int site, int running, int waiting, double speed) {}

    /** A fault as it was carried out. */
    record Done(long at, String text) {}

    /** All that a play left. Times in us of the machine's clock, {@code from} is the first request's. */
    record Outcome(
            Scenario scenario,
            long from,
            List<Clients.Result> results,
            List<Attempt> attempts,
            List<Load> loads,
            List<Done> faults,
            List<Processes.Sample> samples,
            List<String> fell,
            List<String> toDrained,
            int twice,
            int open,
            int crashes,
            long late,
            List<String> failures,
            List<Stand> stands,
            Map<String, String> counters) {}

    private final Scenario s;
    private final Path jar;
    private final Map<String, String> files;
    private final Path out;
    private final int net;
    private final Consumer<String> progress;
    private final Processes processes = new Processes();
    private final Discovery discovery;
    private final Clients clients;
    private final List<Relay.Path> paths = new ArrayList<>();
    private final Map<String, Relay> engineRelays = new HashMap<>();
    private final List<List<Relay>> routerRelays = new ArrayList<>();
    private final List<Processes.Proc> routers = new ArrayList<>();
    private final List<Processes.Proc> engines = new ArrayList<>();
    private final List<Clients.Target> targets = new ArrayList<>();
    private final List<Integer> numbers = new ArrayList<>();
    private final Map<String, Boolean> up = new HashMap<>();
    private final Map<String, long[]> outNow = new HashMap<>();
    private final List<Attempt> attempts = new ArrayList<>();
    private final TreeMap<Long, List<Load>> loads = new TreeMap<>();
    private final List<Done> done = new ArrayList<>();
    private final List<String> fell = new ArrayList<>();
    private final List<String> failures = new ArrayList<>();
    private final List<Stand> stands = new ArrayList<>();
    private static final Pattern SITE =
            Pattern.compile(" site \\[\\S+ name=\"(\\S+)\" from=\"(\\S+)\" to=\"(\\S+)\" cause=\"(\\S+)\"\\]");
    private final Set<Integer> asked = new HashSet<>();
    private final SplittableRandom seeds;
    private volatile boolean over;

    /** @param net the second number of all addresses, 16 to 250: two plays side by side take two
     *  @param files what the installation's {@code deploy} folder holds, by name */
    Fleet(Scenario s, Path jar, Path out, int net, Map<String, String> files, Consumer<String> progress)
            throws IOException {
        this.s = s;
        this.jar = jar.toAbsolutePath();
        this.files = Map.copyOf(files);
        this.out = out;
        this.net = net;
        this.progress = progress;
        this.seeds = new SplittableRandom(s.seed ^ 0x9e3779b97f4a7c15L);
        this.discovery = new Discovery(
                s.sites.stream().map(Scenario.Site::name).toList(),
                (from, m) -> text(relayed(from, m.site(), m.number())));
        Files.createDirectories(out);
        for (int i = 0; i < s.sites.size(); i++) {
            for (int j = 0; j < s.sites.get(i).routers(); j++) {
                targets.add(new Clients.Target(targets.size(), i, s.sites.get(i).name() + "-" + (j + 1)));
            }
        }
        this.clients = new Clients(
                s, targets, (from, r) -> at(170 + 8 * from + targets.get(r).site(), 1 + r), new Clients.Truth() {
                    @Override
                    public boolean whole(int from, int r, long since) {
                        return routers.get(r).whole(since)
                                && !path("clients", from, targets.get(r).site()).faulted(since);
                    }

                    @Override
                    public void unanswered(int r, String call) {
                        askForThreads(r, call);
                    }
                });
    }

    /** Once a router: its threads go into its log, beside the request that it left without an answer. */
    private void askForThreads(int r, String call) {
        synchronized (asked) {
            if (!asked.add(r)) {
                return;
            }
        }
        log(targets.get(r).name(), "lab: no answer to " + call);
        try {
            processes.signal("QUIT", List.of(routers.get(r)));
        } catch (IOException e) {
            failures.add("threads of " + targets.get(r).name() + ": " + e.getMessage());
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

    private Relay.Path path(String kind, int from, int to) {
        for (Relay.Path p : paths) {
            if (p.from == from && p.to == to && p.name.startsWith(kind)) {
                return p;
            }
        }
        throw new IllegalStateException("no path " + kind + " " + from + " " + to);
    }

    private long delay(Relay.Path p) {
        return Math.round(1000 * (s.paths.delayMs() + (p.from == p.to || p.to < 0 ? 0 : s.paths.crossDelayMs())));
    }

    private long jitter() {
        return Math.round(1000 * s.paths.jitterMs());
    }

    // ---- Start ----------------------------------------------------------------------------------------
    /** Plays the whole scenario. */
    Outcome play() throws IOException {
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
        for (Clients.Target t : targets) {
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
        if (!clients.ready(START)) {
            throw new IOException("the routers did not all answer their health checks; see " + out.resolve("logs"));
        }
        discovery.late(s.listLateMs * 1000);
        long from = EngineSite.micros() + Clients.WARM + 300_000;
        DaemonThreads.newThread("samples", this::samples).start();
        List<Thread> arrivals = clients.send(from);
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
                .mapToLong(Scenario.Kind::deadlineMs)
                .max()
                .orElse(0);
        List<Clients.Result> results = clients.finish((longest + 5_000) * 1000);
        over = true;
        processes.sample();
        Map<String, String> counters = new TreeMap<>();
        for (Clients.Target t : targets) {
            if (routers.get(t.router()).alive()) {
                counters.put(t.name(), counters(t));
            }
        }
        return outcome(from, results, counters);
    }

    private void add(String kind, int a, int b) {
        Relay.Path p = new Relay.Path(kind + "-" + a + "-" + b, a, b, 0, 0, seeds.nextLong());
        paths.add(p);
        try {
            p.heal(delay(p), jitter());
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e); // It has no relays yet.
        }
    }

    private void until(long until) {
        while (EngineSite.micros() < until) {
            EngineSite.sleep(Math.min(100_000, Math.max(1, until - EngineSite.micros())));
        }
    }

    /** A site's engines as a new process: ids that nobody has seen, warm only at the play's start. */
    private void startEngines(int site, boolean cold) throws IOException {
        Scenario.Site at = s.sites.get(site);
        Engine.Build b = s.engine;
        Processes.Proc p = processes.start(
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

    /** Engines that nobody has seen, in the site's process: each takes the next number. */
    private void addEngines(int site, boolean cold) throws IOException {
        Scenario.Site at = s.sites.get(site);
        Processes.Proc p = engines.get(site);
        long since = cold ? System.currentTimeMillis() : 0;
        List<String> ids = new ArrayList<>();
        int first = numbers.get(site);
        for (int i = 0; i < at.engines(); i++) {
            int number = first + i;
            if (number > 250) {
                throw new IOException("site " + at.name() + " has had 250 engines; no address is left");
            }
            String id = at.name() + "-e" + number;
            ids.add(id);
            p.say("add " + id + " " + text(at(20 + site, number)) + (cold ? " cold" : " warm"));
        }
        numbers.set(site, first + at.engines());
        synchronized (up) {
            long until = EngineSite.micros() + START;
            while (!ids.stream().allMatch(up::containsKey) && EngineSite.micros() < until) {
                EngineSite.pause(up, 100_000);
            }
            if (!ids.stream().allMatch(up::containsKey)) {
                throw new IOException("the engines of " + at.name() + " did not start; see " + out.resolve("logs"));
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

    private Relay.Watch watch(int site, String engine) {
        return new Relay.Watch() {
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
                            .add(new Load(
                                    Long.parseLong(w[1]),
                                    site,
                                    Integer.parseInt(w[3]),
                                    Integer.parseInt(w[4]),
                                    Double.parseDouble(w[5]) / 1000));
                }
            }
            case "a" -> {
                return; // What an engine took is seen on the paths as well.
            }
            default -> log("engines-" + s.sites.get(site).name(), line);
        }
    }

    private void routerSaid(Clients.Target t, String line) {
        Matcher m = SITE.matcher(line);
        if (m.find()) {
            synchronized (stands) {
                stands.add(new Stand(EngineSite.micros(), t.router(), m.group(1), m.group(2), m.group(3), m.group(4)));
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

    /** A router by the command of {@code run}, with this jar in place of the built one. */
    private Processes.Proc startRouter(Clients.Target t, Processes.Proc was) throws IOException {
        Path home = out.resolve("routers").resolve(t.name());
        Path tmp = home.resolve("tmp-" + EngineSite.micros());
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

    /** The project's root: where deploy/balancer.toml is, from here upwards. */
    static Path root() throws IOException {
        for (Path p = Path.of("").toAbsolutePath(); p != null; p = p.getParent()) {
            if (Files.exists(p.resolve("deploy/balancer.toml"))) {
                return p;
            }
        }
        throw new IOException("deploy/balancer.toml is not here or above: run in the project's folder");
    }

    private String config(Clients.Target t) {
        StringBuilder classes = new StringBuilder();
        StringBuilder tokenAims = new StringBuilder();
        for (Scenario.Kind k : s.requests.classes()) {
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
        Engine.Build b = s.engine;
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
    private List<Processes.Proc> aimed(Scenario.Fault f) {
        List<Processes.Proc> to = new ArrayList<>();
        for (Clients.Target t : targets) {
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

    private List<Relay.Path> along(Scenario.Fault f) {
        return paths.stream()
                .filter(p -> f.paths().equals("all") || p.name.startsWith(f.paths()))
                .filter(p -> f.site() < 0
                        || (p.from == f.site() && (f.to() < 0 ? p.to != p.from : p.to == f.to()))
                        || (f.to() < 0 && p.to == f.site() && p.from != p.to)
                        || (f.to() >= 0 && p.to == f.site() && p.from == f.to()))
                .toList();
    }

    private void note(String text) {
        done.add(new Done(EngineSite.micros(), text));
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
                for (Relay.Path p : along(f)) {
                    // "forth" is what leaves the site that is named.
                    boolean leaves = f.site() < 0 || p.from == f.site();
                    p.cut(
                            f.way().equals("both") || f.way().equals("forth") == leaves,
                            f.way().equals("both") || f.way().equals("back") == leaves);
                }
            }
            case "blackhole" -> along(f).forEach(Relay.Path::blackHole);
            case "reset" -> along(f).forEach(Relay.Path::reset);
            case "slow" -> along(f).forEach(p -> p.slow(Math.round(delay(p) * f.value()), jitter(), 0));
            case "throttle" -> along(f).forEach(p -> p.slow(delay(p), jitter(), Math.round(f.value())));
            case "heal" -> {
                for (Relay.Path p : along(f)) {
                    p.heal(delay(p), jitter());
                }
            }
            case "engine-slow", "engine-errors", "engine-silent", "engine-heard" -> {
                for (Discovery.Member m : aimedEngines(f)) {
                    engines.get(m.site()).say(f.kind().substring(7) + " " + m.id() + " " + f.value());
                }
            }
            case "drain" -> {
                for (Discovery.Member m : aimedEngines(f)) {
                    discovery.put(m.id(), m.site(), m.number(), "Terminating", m.upSinceMs());
                    engines.get(m.site()).say("drain " + m.id());
                }
            }
            case "say" -> {
                for (Clients.Target t : targets) {
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
            default -> throw new IOException("no such fault: " + f.kind());
        }
    }

    /** One call on a router's console. */
    private String say(Clients.Target t, String line) throws IOException {
        try (Socket s = new Socket()) {
            s.connect(new InetSocketAddress(at(10, 1 + t.router()).getAddress(), CONSOLE), 1_000);
            s.setSoTimeout(2_000);
            s.getOutputStream().write((line + "\n").getBytes(StandardCharsets.US_ASCII));
            return new String(s.getInputStream().readAllBytes(), StandardCharsets.UTF_8).strip();
        }
    }

    /** What a router has counted; nothing where it does not answer. */
    private String counters(Clients.Target t) {
        try (Socket s = new Socket()) {
            s.connect(at(10, 1 + t.router()), 1_000);
            s.setSoTimeout(2_000);
            s.getOutputStream()
                    .write("GET /counters HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
                            .getBytes(StandardCharsets.US_ASCII));
            HttpReader in = new HttpReader(s.getInputStream(), EngineSite::micros);
            return in.awaitMessage() ? new String(in.readBody(in.readResponseHead()), StandardCharsets.UTF_8) : "";
        } catch (IOException e) {
            return "";
        }
    }

    private void list(Scenario.Fault f, String phase) {
        for (Discovery.Member m : aimedEngines(f)) {
            discovery.put(m.id(), m.site(), m.number(), phase, m.upSinceMs());
        }
    }

    /** The engines that are meant: one by its id, or all that a site (or the fleet) has now. */
    private List<Discovery.Member> aimedEngines(Scenario.Fault f) {
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
        List<Processes.Proc> to = aimed(f);
        processes.signal("KILL", to);
        for (Clients.Target t : targets) {
            if (to.contains(routers.get(t.router()))) {
                List<Relay> mine = routerRelays.get(t.router());
                for (Relay r : mine.subList(1, mine.size())) { // The first is its way to discovery.
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

    /** The engines of a site are no more: its addresses refuse, and the list will say so in its time. */
    private void gone(int site) throws IOException {
        for (Discovery.Member m : discovery.members()) {
            if (m.site() == site && !m.phase().equals("Gone")) {
                for (int from = 0; from < s.sites.size(); from++) {
                    engineRelays.get(m.id() + "@" + from).down();
                }
                discovery.put(m.id(), m.site(), m.number(), "Gone", m.upSinceMs());
            }
        }
    }

    private void start(Scenario.Fault f) throws IOException {
        List<Processes.Proc> to = aimed(f);
        for (int i = 0; i < engines.size(); i++) {
            if (to.contains(engines.get(i)) && !engines.get(i).alive()) {
                startEngines(i, true);
            }
        }
        for (Clients.Target t : targets) {
            Processes.Proc p = routers.get(t.router());
            if (to.contains(p) && !p.alive()) {
                Processes.ended(p, 10_000);
                startRouter(t, p);
            }
        }
    }

    /** A release of a site's engines at once: new ones, cold, and the old ones drain. */
    private void replace(int site) throws IOException {
        List<Discovery.Member> old = discovery.members().stream()
                .filter(m -> m.site() == site && m.phase().equals("Ready"))
                .toList();
        addEngines(site, true);
        for (Discovery.Member m : old) {
            discovery.put(m.id(), m.site(), m.number(), "Terminating", m.upSinceMs());
            engines.get(site).say("drain " + m.id());
        }
    }

    private void samples() {
        while (!over) {
            processes.sample();
            EngineSite.sleep(SAMPLE);
        }
    }

    // ---- The end --------------------------------------------------------------------------------------
    private Outcome outcome(long from, List<Clients.Result> results, Map<String, String> counters) {
        List<Attempt> all;
        synchronized (outNow) {
            all = new ArrayList<>(attempts);
            long now = EngineSite.micros();
            outNow.forEach((k, began) -> {
                String engine = k.substring(k.indexOf('@') + 1);
                all.add(new Attempt(k.substring(0, k.indexOf('@')), -1, engine, began[0], now));
            });
        }
        List<String> late = new ArrayList<>();
        for (Attempt a : all) {
            long told = 0;
            for (Clients.Target t : targets) {
                told = t.site() == a.site ? Math.max(told, discovery.told(a.engine, t.router())) : told;
            }
            if (told > 0
                    && told < Long.MAX_VALUE
                    && a.began > told + 2_050_000
                    && !path("discovery", Math.max(0, a.site), -1).faulted(told)) {
                late.add(a.engine + " got " + a.call + " " + (a.began - told) / 1000 + " ms after it was told");
            }
        }
        List<Load> sums = new ArrayList<>();
        synchronized (loads) {
            loads.forEach((k, l) -> {
                for (int i = 0; i < s.sites.size(); i++) {
                    int site = i;
                    List<Load> of = l.stream().filter(x -> x.site == site).toList();
                    if (!of.isEmpty()) {
                        sums.add(new Load(
                                k * 200_000,
                                site,
                                of.stream().mapToInt(Load::running).sum(),
                                of.stream().mapToInt(Load::waiting).sum(),
                                of.stream().mapToDouble(Load::speed).sum()));
                    }
                }
            });
        }
        List<Stand> words;
        synchronized (stands) {
            words = List.copyOf(stands);
        }
        return new Outcome(
                s,
                from,
                results,
                all,
                sums,
                List.copyOf(done),
                processes.samples(),
                List.copyOf(fell),
                late,
                clients.twice(),
                clients.open(),
                processes.crashes(),
                clients.late(),
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
