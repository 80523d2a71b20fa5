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
    private static final int ROUTER_AND_ENGINE_PORT = 8000;
    private static final int CONSOLE_PORT = 8001;
    private static final long SAMPLE_INTERVAL_MICROS = 500_000;
    /** Time within which a router must stop sending to a drained engine: 2 s, with a tolerance of 50 ms. */
    private static final long STOP_SENDING_LIMIT_MICROS = 2_050_000;
    /** Interval into which load reports of engines are grouped. */
    private static final long LOAD_INTERVAL_MICROS = 200_000;
    /** A router's configuration file. */
    private static final String CONFIG_TEMPLATE =
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
    private static final long START_TIMEOUT_MICROS = 60_000_000;

    /** An attempt, observed at the router's end of the path; {@code site} is the router's, -1 if still running. */
    record Attempt(String requestId, int site, String engine, long startedMicros, long endedMicros) {}

    /** A change of a site's state as reported in a router's log. */
    record SiteStateChange(long at, int router, String site, String from, String to, String cause) {}

    /** Load of a site's engines at one time. */
    record EngineLoad(long at, int site, int running, int waiting, double speed) {}

    /** A fault that was injected. */
    record InjectedFault(long at, String description) {}

    /** Everything observed during a run. Times are in us of the monotonic clock; {@code from} is the run's start. */
    record RunResult(
            Scenario scenario,
            long from,
            List<LoadGenerator.RequestRecord> results,
            List<Attempt> attempts,
            List<EngineLoad> loads,
            List<InjectedFault> faults,
            List<ProcessManager.ResourceSample> samples,
            List<String> crashedEngines,
            List<String> attemptsToDrained,
            int duplicateResponses,
            int pendingRequests,
            int crashes,
            long sendDelayP99Micros,
            List<String> failures,
            List<SiteStateChange> siteStateChanges,
            Map<String, String> counters) {}

    private final Scenario scenario;
    private final Path jar;
    private final Map<String, String> files;
    private final Path out;
    private final int secondOctet;
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
    private final List<Integer> nextEngineNumbers = new ArrayList<>();
    private final Map<String, Boolean> startedEngines = new HashMap<>();
    private final Map<String, long[]> openAttempts = new HashMap<>();
    private final List<Attempt> attempts = new ArrayList<>();
    private final TreeMap<Long, List<EngineLoad>> loads = new TreeMap<>();
    private final List<InjectedFault> injectedFaults = new ArrayList<>();
    private final List<String> crashedEngines = new ArrayList<>();
    private final List<String> failures = new ArrayList<>();
    private final List<SiteStateChange> siteStateChanges = new ArrayList<>();
    private static final Pattern SITE_STATE_LOG_LINE =
            Pattern.compile(" site \\[\\S+ name=\"(\\S+)\" from=\"(\\S+)\" to=\"(\\S+)\" cause=\"(\\S+)\"\\]");
    private final Set<Integer> dumpedRouters = new HashSet<>();
    private final SplittableRandom seeds;
    private volatile boolean finished;

    /**
     * Prepares a run.
     *
     * @param secondOctet the second octet of all addresses, 16 to 250; concurrent runs need different ones
     * @param files contents of the installation's {@code deploy} folder, by file name
     */
    Fleet(Scenario scenario, Path jar, Path out, int secondOctet, Map<String, String> files, Consumer<String> progress)
            throws IOException {
        this.scenario = scenario;
        this.jar = jar.toAbsolutePath();
        this.files = Map.copyOf(files);
        this.out = out;
        this.secondOctet = secondOctet;
        this.progress = progress;
        this.seeds = new SplittableRandom(scenario.seed ^ 0x9e3779b97f4a7c15L);
        this.discovery = new FakeDiscovery(
                scenario.sites.stream().map(Scenario.Site::name).toList(),
                (from, m) -> hostPort(relayAddress(from, m.site(), m.number())));
        Files.createDirectories(out);
        for (int i = 0; i < scenario.sites.size(); i++) {
            for (int j = 0; j < scenario.sites.get(i).routers(); j++) {
                targets.add(new LoadGenerator.RouterTarget(
                        targets.size(), i, scenario.sites.get(i).name() + "-" + (j + 1)));
            }
        }
        this.clients = new LoadGenerator(
                scenario,
                targets,
                (from, router) -> address(170 + 8 * from + targets.get(router).site(), 1 + router),
                new LoadGenerator.RouterHealth() {
                    @Override
                    public boolean isHealthySince(int from, int router, long since) {
                        return routers.get(router).isHealthySince(since)
                                && !path("clients", from, targets.get(router).site())
                                        .hasFaultSince(since);
                    }

                    @Override
                    public void onUnanswered(int router, String requestId) {
                        requestThreadDump(router, requestId);
                    }
                });
    }

    /** Writes a router's thread dump to its log, next to the unanswered request's id; once per router. */
    private void requestThreadDump(int router, String requestId) {
        synchronized (dumpedRouters) {
            if (!dumpedRouters.add(router)) {
                return;
            }
        }
        log(targets.get(router).name(), "lab: no answer to " + requestId + "; requesting a thread dump");
        try {
            processes.signal("QUIT", List.of(routers.get(router)));
        } catch (IOException e) {
            failures.add("thread dump of " + targets.get(router).name() + ": " + e.getMessage());
        }
    }

    // ---- Addresses ------------------------------------------------------------------------------------
    private InetSocketAddress address(int third, int fourth) {
        return new InetSocketAddress("127." + secondOctet + "." + third + "." + fourth, ROUTER_AND_ENGINE_PORT);
    }

    private InetSocketAddress relayAddress(int from, int site, int number) {
        return address(100 + 8 * from + site, number);
    }

    private static String hostPort(InetSocketAddress a) {
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
        return Math.round(
                1000 * (scenario.paths.delayMs() + (p.from == p.to || p.to < 0 ? 0 : scenario.paths.crossDelayMs())));
    }

    private long jitter() {
        return Math.round(1000 * scenario.paths.jitterMs());
    }

    // ---- Start ----------------------------------------------------------------------------------------
    /** Runs the whole scenario. */
    RunResult run() throws IOException {
        int siteCount = scenario.sites.size();
        for (int a = 0; a < siteCount; a++) {
            for (int b = 0; b < siteCount; b++) {
                addPath("engines", a, b);
                addPath("clients", a, b);
            }
            addPath("discovery", a, -1);
        }
        for (int i = 0; i < siteCount; i++) {
            nextEngineNumbers.add(1);
            engines.add(null);
            startEngines(i, false);
        }
        progress.accept("starting " + targets.size() + " routers of " + jar.getFileName());
        for (LoadGenerator.RouterTarget target : targets) {
            discovery.listen(target.router(), target.site(), address(1, 1 + target.router()));
            List<Relay> relays = new ArrayList<>();
            relays.add(new Relay(
                    path("discovery", target.site(), -1),
                    address(2, 1 + target.router()),
                    address(1, 1 + target.router()),
                    null));
            for (int from = 0; from < siteCount; from++) {
                relays.add(new Relay(
                        path("clients", from, target.site()),
                        address(170 + 8 * from + target.site(), 1 + target.router()),
                        address(10, 1 + target.router()),
                        null));
            }
            routerRelays.add(relays);
            routers.add(startRouter(target, null));
        }
        if (!clients.awaitRouters(START_TIMEOUT_MICROS)) {
            throw new IOException("not all routers passed their health checks; see " + out.resolve("logs"));
        }
        discovery.setDelay(scenario.listLateMs * 1000);
        long from = EngineSiteProcess.nowMicros() + LoadGenerator.WARM_UP_MICROS + 300_000;
        DaemonThreads.newThread("samples", this::sampleUntilFinished).start();
        List<Thread> arrivals = clients.startArrivals(from);
        for (Scenario.Fault fault : scenario.faults) {
            sleepUntil(from + fault.at() * 1000);
            try {
                inject(fault);
            } catch (IOException e) {
                failures.add("fault " + fault.describe(scenario.sites) + ": " + e.getMessage());
            }
        }
        sleepUntil(from + scenario.lengthMs * 1000);
        for (Thread thread : arrivals) {
            try {
                thread.join();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        long longestDeadlineMillis = scenario.requests.classes().stream()
                .mapToLong(Scenario.RequestClass::deadlineMs)
                .max()
                .orElse(0);
        List<LoadGenerator.RequestRecord> results = clients.awaitResults((longestDeadlineMillis + 5_000) * 1000);
        finished = true;
        processes.sample();
        Map<String, String> counters = new TreeMap<>();
        for (LoadGenerator.RouterTarget target : targets) {
            if (routers.get(target.router()).isAlive()) {
                counters.put(target.name(), fetchCounters(target));
            }
        }
        return buildResult(from, results, counters);
    }

    private void addPath(String kind, int a, int b) {
        Relay.NetworkPath p = new Relay.NetworkPath(kind + "-" + a + "-" + b, a, b, 0, 0, seeds.nextLong());
        paths.add(p);
        try {
            p.heal(delay(p), jitter());
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e); // Cannot happen: the path has no relays yet.
        }
    }

    private void sleepUntil(long untilMicros) {
        while (EngineSiteProcess.nowMicros() < untilMicros) {
            EngineSiteProcess.sleep(Math.min(100_000, Math.max(1, untilMicros - EngineSiteProcess.nowMicros())));
        }
    }

    /** Starts a site's engine process; its engines get new ids and are warm only at the start of the run. */
    private void startEngines(int site, boolean cold) throws IOException {
        Scenario.Site siteConfig = scenario.sites.get(site);
        EngineModel.Parameters parameters = scenario.engine;
        ProcessManager.ManagedProcess process = processes.start(
                "engines-" + siteConfig.name(),
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
                line -> handleEngineEvent(site, line),
                engines.get(site));
        engines.set(site, process);
        process.writeLine(String.format(
                Locale.ROOT,
                "build %d %d %s %s %d %d %d %d %s %d %s",
                parameters.slots(),
                parameters.queue(),
                parameters.stepMs(),
                parameters.promptUs(),
                parameters.chunk(),
                parameters.event(),
                parameters.kept(),
                parameters.coldMs(),
                parameters.start(),
                parameters.fallMs(),
                parameters.factor()));
        addEngines(site, cold);
    }

    /** Adds engines with new ids, numbered consecutively, to the site's process. */
    private void addEngines(int site, boolean cold) throws IOException {
        Scenario.Site siteConfig = scenario.sites.get(site);
        ProcessManager.ManagedProcess process = engines.get(site);
        long upSinceMs = cold ? System.currentTimeMillis() : 0;
        List<String> ids = new ArrayList<>();
        int first = nextEngineNumbers.get(site);
        for (int i = 0; i < siteConfig.engines(); i++) {
            int number = first + i;
            if (number > 250) {
                throw new IOException("site " + siteConfig.name() + " has used all 250 engine addresses");
            }
            String id = siteConfig.name() + "-e" + number;
            ids.add(id);
            process.writeLine("add " + id + " " + hostPort(address(20 + site, number)) + (cold ? " cold" : " warm"));
        }
        nextEngineNumbers.set(site, first + siteConfig.engines());
        synchronized (startedEngines) {
            long deadline = EngineSiteProcess.nowMicros() + START_TIMEOUT_MICROS;
            while (!ids.stream().allMatch(startedEngines::containsKey) && EngineSiteProcess.nowMicros() < deadline) {
                EngineSiteProcess.await(startedEngines, 100_000);
            }
            if (!ids.stream().allMatch(startedEngines::containsKey)) {
                throw new IOException(
                        "not all engines of " + siteConfig.name() + " started; see " + out.resolve("logs"));
            }
        }
        for (int i = 0; i < ids.size(); i++) {
            for (int from = 0; from < scenario.sites.size(); from++) {
                engineRelays.put(
                        ids.get(i) + "@" + from,
                        new Relay(
                                path("engines", from, site),
                                relayAddress(from, site, first + i),
                                address(20 + site, first + i),
                                observeRequests(from, ids.get(i))));
            }
            discovery.setMember(ids.get(i), site, first + i, "Ready", upSinceMs);
        }
    }

    private Relay.RequestObserver observeRequests(int site, String engine) {
        return new Relay.RequestObserver() {
            @Override
            public void onRequestStarted(String requestId, long atMicros) {
                synchronized (openAttempts) {
                    openAttempts.put(requestId + "@" + engine, new long[] {atMicros});
                }
            }

            @Override
            public void onRequestEnded(String requestId, long atMicros) {
                synchronized (openAttempts) {
                    long[] started = openAttempts.remove(requestId + "@" + engine);
                    if (started != null) {
                        attempts.add(new Attempt(requestId, site, engine, started[0], atMicros));
                    }
                }
            }
        };
    }

    private void handleEngineEvent(int site, String line) {
        String[] fields = line.split(" ");
        switch (fields[0]) {
            case "up" -> {
                synchronized (startedEngines) {
                    startedEngines.put(fields[1], true);
                    startedEngines.notifyAll();
                }
            }
            case "fell" -> {
                synchronized (crashedEngines) {
                    crashedEngines.add(fields[2]);
                }
            }
            case "l" -> {
                synchronized (loads) {
                    loads.computeIfAbsent(Long.parseLong(fields[1]) / LOAD_INTERVAL_MICROS, k -> new ArrayList<>())
                            .add(new EngineLoad(
                                    Long.parseLong(fields[1]),
                                    site,
                                    Integer.parseInt(fields[3]),
                                    Integer.parseInt(fields[4]),
                                    Double.parseDouble(fields[5]) / 1000));
                }
            }
            case "a" -> {
                return; // Attempts are already observed by the relays.
            }
            default -> log("engines-" + scenario.sites.get(site).name(), line);
        }
    }

    private void handleRouterLog(LoadGenerator.RouterTarget t, String line) {
        Matcher matcher = SITE_STATE_LOG_LINE.matcher(line);
        if (matcher.find()) {
            synchronized (siteStateChanges) {
                siteStateChanges.add(new SiteStateChange(
                        EngineSiteProcess.nowMicros(),
                        t.router(),
                        matcher.group(1),
                        matcher.group(2),
                        matcher.group(3),
                        matcher.group(4)));
            }
        }
        log(t.name(), line);
    }

    private synchronized void log(String name, String line) {
        try {
            Files.createDirectories(out.resolve("logs"));
            try (BufferedWriter writer = Files.newBufferedWriter(
                    out.resolve("logs").resolve(name + ".log"),
                    java.nio.file.StandardOpenOption.CREATE,
                    java.nio.file.StandardOpenOption.APPEND)) {
                writer.write(line + "\n");
            }
        } catch (IOException e) {
            failures.add("log of " + name + ": " + e.getMessage());
        }
    }

    /** Starts a router with the command of {@code run}, replacing the built jar by the run's jar. */
    private ProcessManager.ManagedProcess startRouter(
            LoadGenerator.RouterTarget router, ProcessManager.ManagedProcess previous) throws IOException {
        Path home = out.resolve("routers").resolve(router.name());
        Path tmp = home.resolve("tmp-" + EngineSiteProcess.nowMicros());
        Files.createDirectories(tmp);
        Files.createDirectories(home.resolve("deploy"));
        for (Map.Entry<String, String> f : files.entrySet()) {
            Files.writeString(home.resolve("deploy").resolve(f.getKey()), f.getValue());
        }
        Path config = home.resolve("config.json");
        Files.writeString(config, config(router));
        String run = Files.readAllLines(projectRoot().resolve("deploy/balancer.toml")).stream()
                .filter(l -> l.startsWith("run = "))
                .findFirst()
                .orElseThrow();
        run = run.substring(run.indexOf('"') + 1, run.lastIndexOf('"'))
                .replace("target/magpiehub.jar", jar.toString())
                .replace("target/magpiehub.jsa", jar.toString().replaceAll("\\.jar$", ".jsa"));
        Map<String, String> env = new HashMap<>(Map.of(
                "ROUTER_NAME",
                router.name(),
                "ROUTER_CONFIG",
                config.toAbsolutePath().toString(),
                "ROUTER_LISTEN",
                hostPort(address(10, 1 + router.router())),
                "ROUTER_DISCOVERY",
                hostPort(address(2, 1 + router.router())),
                "TMPDIR",
                tmp.toAbsolutePath().toString()));
        if (scenario.faults.stream().anyMatch(f -> f.kind().equals("say"))) {
            env.put(
                    "ROUTER_CONSOLE",
                    address(10, 1 + router.router()).getAddress().getHostAddress() + ":" + CONSOLE_PORT);
        }
        return processes.start(
                router.name(), List.of("sh", "-c", run), env, home, l -> handleRouterLog(router, l), previous);
    }

    /** The project's root: the closest parent of the working directory that contains deploy/balancer.toml. */
    static Path projectRoot() throws IOException {
        for (Path p = Path.of("").toAbsolutePath(); p != null; p = p.getParent()) {
            if (Files.exists(p.resolve("deploy/balancer.toml"))) {
                return p;
            }
        }
        throw new IOException(
                "deploy/balancer.toml not found in this folder or its parents; run in the project's folder");
    }

    private String config(LoadGenerator.RouterTarget router) {
        StringBuilder classes = new StringBuilder();
        StringBuilder tokenAims = new StringBuilder();
        for (Scenario.RequestClass requestClass : scenario.requests.classes()) {
            classes.append(classes.length() == 0 ? "" : ",")
                    .append(String.format(
                            Locale.ROOT,
                            "{\"name\":\"%s\",\"aimMs\":%d,\"deadlineMs\":%d,\"effect\":\"pure\",\"gain\":%s,"
                                    + "\"group\":\"all\",\"lateShare\":0.0,\"stream\":true,\"windowMs\":5000}",
                            requestClass.name(),
                            requestClass.aimMs(),
                            requestClass.deadlineMs(),
                            requestClass.gain()));
            tokenAims.append(tokenAims.length() == 0 ? "50" : ",50");
        }
        double totalRate =
                scenario.sites.stream().mapToDouble(Scenario.Site::rate).sum();
        StringBuilder accounts = new StringBuilder();
        for (Scenario.Tenant tenant : scenario.requests.tenants()) {
            accounts.append(accounts.length() == 0 ? "" : ",")
                    .append(String.format(
                            Locale.ROOT,
                            "{\"name\":\"%s\",\"share\":%s,\"allowancePerS\":%s}",
                            tenant.name(),
                            tenant.share(),
                            1.5 * totalRate * tenant.share()));
        }
        StringBuilder zones = new StringBuilder();
        scenario.sites.forEach(zone -> zones.append(zones.length() == 0 ? "\"" : ",\"")
                .append(zone.name())
                .append('"'));
        EngineModel.Parameters parameters = scenario.engine;
        return String.format(
                Locale.ROOT,
                CONFIG_TEMPLATE,
                router.name(),
                hostPort(address(10, 1 + router.router())),
                hostPort(address(2, 1 + router.router())),
                seeds.nextLong(),
                scenario.routers.memoryMb(),
                scenario.routers.sockets(),
                discovery.initialList(router.router(), router.site()),
                targets.size(),
                router.router(),
                router.site(),
                zones,
                tokenAims,
                classes,
                accounts,
                scenario.routers.probes(),
                parameters.coldMs(),
                parameters.fallMs(),
                parameters.factor(),
                parameters.start());
    }

    // ---- Faults ---------------------------------------------------------------------------------------
    private List<ProcessManager.ManagedProcess> targetedProcesses(Scenario.Fault fault) {
        List<ProcessManager.ManagedProcess> processesHit = new ArrayList<>();
        for (LoadGenerator.RouterTarget t : targets) {
            boolean siteMatches = fault.site() < 0 || t.site() == fault.site();
            if ((siteMatches && (fault.target().equals("site") || fault.target().equals("routers")))
                    || fault.target().equals(t.name())) {
                processesHit.add(routers.get(t.router()));
            }
        }
        for (int i = 0; i < engines.size(); i++) {
            if ((fault.site() < 0 || i == fault.site())
                    && (fault.target().equals("site") || fault.target().equals("engines"))) {
                processesHit.add(engines.get(i));
            }
        }
        return processesHit;
    }

    private List<Relay.NetworkPath> affectedPaths(Scenario.Fault fault) {
        return paths.stream()
                .filter(p -> fault.paths().equals("all") || p.name.startsWith(fault.paths()))
                .filter(p -> fault.site() < 0
                        || (p.from == fault.site() && (fault.to() < 0 ? p.to != p.from : p.to == fault.to()))
                        || (fault.to() < 0 && p.to == fault.site() && p.from != p.to)
                        || (fault.to() >= 0 && p.to == fault.site() && p.from == fault.to()))
                .toList();
    }

    private void recordFault(String description) {
        injectedFaults.add(new InjectedFault(EngineSiteProcess.nowMicros(), description));
        progress.accept(description);
    }

    private void inject(Scenario.Fault fault) throws IOException {
        recordFault(fault.describe(scenario.sites));
        switch (fault.kind()) {
            case "kill" -> kill(fault);
            case "stop" -> processes.signal("STOP", targetedProcesses(fault));
            case "continue" -> processes.signal("CONT", targetedProcesses(fault));
            case "term" -> processes.signal("TERM", targetedProcesses(fault));
            case "start" -> start(fault);
            case "cut" -> {
                for (Relay.NetworkPath path : affectedPaths(fault)) {
                    // "forth" is the direction that leaves the named site.
                    boolean leaves = fault.site() < 0 || path.from == fault.site();
                    path.cut(
                            fault.way().equals("both") || fault.way().equals("forth") == leaves,
                            fault.way().equals("both") || fault.way().equals("back") == leaves);
                }
            }
            case "blackhole" -> affectedPaths(fault).forEach(Relay.NetworkPath::blackHole);
            case "reset" -> affectedPaths(fault).forEach(Relay.NetworkPath::reset);
            case "slow" -> affectedPaths(fault)
                    .forEach(path -> path.slow(Math.round(delay(path) * fault.value()), jitter(), 0));
            case "throttle" -> affectedPaths(fault)
                    .forEach(path -> path.slow(delay(path), jitter(), Math.round(fault.value())));
            case "heal" -> {
                for (Relay.NetworkPath path : affectedPaths(fault)) {
                    path.heal(delay(path), jitter());
                }
            }
            case "engine-slow", "engine-errors", "engine-silent", "engine-heard" -> {
                for (FakeDiscovery.Member member : targetedEngines(fault)) {
                    engines.get(member.site())
                            .writeLine(fault.kind().substring(7) + " " + member.id() + " " + fault.value());
                }
            }
            case "drain" -> {
                for (FakeDiscovery.Member member : targetedEngines(fault)) {
                    discovery.setMember(member.id(), member.site(), member.number(), "Terminating", member.upSinceMs());
                    engines.get(member.site()).writeLine("drain " + member.id());
                }
            }
            case "say" -> {
                for (LoadGenerator.RouterTarget t : targets) {
                    if (fault.site() < 0 || t.site() == fault.site()) {
                        String reply = sendConsoleCommand(t, fault.target());
                        if (!reply.startsWith("SUCCESS")) {
                            failures.add(t.name() + " answered " + fault.target() + " with " + reply);
                        }
                    }
                }
            }
            case "list-late" -> discovery.setDelay(Math.round(fault.value() * 1000));
            case "list-torn" -> discovery.truncateNextMessage();
            case "list-down" -> discovery.setDown(true);
            case "list-up" -> discovery.setDown(false);
            case "list-gone" -> setPhase(fault, "Gone");
            case "list-ready" -> setPhase(fault, "Ready");
            case "replace" -> {
                for (int i = 0; i < scenario.sites.size(); i++) {
                    if (fault.site() < 0 || fault.site() == i) {
                        replaceEngines(i);
                    }
                }
            }
            default -> throw new IOException("unknown fault: " + fault.kind());
        }
    }

    /** Sends one line to a router's console and returns the reply. */
    private String sendConsoleCommand(LoadGenerator.RouterTarget router, String line) throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(
                    new InetSocketAddress(address(10, 1 + router.router()).getAddress(), CONSOLE_PORT), 1_000);
            socket.setSoTimeout(2_000);
            socket.getOutputStream().write((line + "\n").getBytes(StandardCharsets.US_ASCII));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8).strip();
        }
    }

    /** A router's counters; empty if it does not respond. */
    private String fetchCounters(LoadGenerator.RouterTarget router) {
        try (Socket socket = new Socket()) {
            socket.connect(address(10, 1 + router.router()), 1_000);
            socket.setSoTimeout(2_000);
            socket.getOutputStream()
                    .write("GET /counters HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
                            .getBytes(StandardCharsets.US_ASCII));
            HttpReader in = new HttpReader(socket.getInputStream(), EngineSiteProcess::nowMicros);
            return in.awaitMessage() ? new String(in.readBody(in.readResponseHead()), StandardCharsets.UTF_8) : "";
        } catch (IOException e) {
            return "";
        }
    }

    private void setPhase(Scenario.Fault fault, String phase) {
        for (FakeDiscovery.Member member : targetedEngines(fault)) {
            discovery.setMember(member.id(), member.site(), member.number(), phase, member.upSinceMs());
        }
    }

    /** The engines that a fault targets: one by its id, or all current ones of a site or of the fleet. */
    private List<FakeDiscovery.Member> targetedEngines(Scenario.Fault fault) {
        return discovery.members().stream()
                .filter(member -> fault.target() != null
                        ? member.id().equals(fault.target())
                        : (fault.site() < 0 || member.site() == fault.site())
                                && member.number()
                                        >= nextEngineNumbers.get(member.site())
                                                - scenario.sites
                                                        .get(member.site())
                                                        .engines())
                .toList();
    }

    private void kill(Scenario.Fault fault) throws IOException {
        List<ProcessManager.ManagedProcess> targeted = targetedProcesses(fault);
        processes.signal("KILL", targeted);
        for (LoadGenerator.RouterTarget t : targets) {
            if (targeted.contains(routers.get(t.router()))) {
                List<Relay> relays = routerRelays.get(t.router());
                for (Relay relay : relays.subList(1, relays.size())) { // The first relay leads to discovery.
                    relay.markTargetDown();
                }
            }
        }
        for (int i = 0; i < engines.size(); i++) {
            if (targeted.contains(engines.get(i))) {
                removeEngines(i);
            }
        }
    }

    /** Removes a site's engines: their addresses refuse connections, and the list reports them as gone. */
    private void removeEngines(int site) throws IOException {
        for (FakeDiscovery.Member member : discovery.members()) {
            if (member.site() == site && !member.phase().equals("Gone")) {
                for (int from = 0; from < scenario.sites.size(); from++) {
                    engineRelays.get(member.id() + "@" + from).markTargetDown();
                }
                discovery.setMember(member.id(), member.site(), member.number(), "Gone", member.upSinceMs());
            }
        }
    }

    private void start(Scenario.Fault fault) throws IOException {
        List<ProcessManager.ManagedProcess> targeted = targetedProcesses(fault);
        for (int i = 0; i < engines.size(); i++) {
            if (targeted.contains(engines.get(i)) && !engines.get(i).isAlive()) {
                startEngines(i, true);
            }
        }
        for (LoadGenerator.RouterTarget t : targets) {
            ProcessManager.ManagedProcess process = routers.get(t.router());
            if (targeted.contains(process) && !process.isAlive()) {
                ProcessManager.awaitExit(process, 10_000);
                startRouter(t, process);
            }
        }
    }

    /** Replaces all engines of a site at once: starts new cold ones and drains the old ones. */
    private void replaceEngines(int site) throws IOException {
        List<FakeDiscovery.Member> old = discovery.members().stream()
                .filter(member -> member.site() == site && member.phase().equals("Ready"))
                .toList();
        addEngines(site, true);
        for (FakeDiscovery.Member member : old) {
            discovery.setMember(member.id(), member.site(), member.number(), "Terminating", member.upSinceMs());
            engines.get(site).writeLine("drain " + member.id());
        }
    }

    private void sampleUntilFinished() {
        while (!finished) {
            processes.sample();
            EngineSiteProcess.sleep(SAMPLE_INTERVAL_MICROS);
        }
    }

    // ---- Result --------------------------------------------------------------------------------------
    private RunResult buildResult(long from, List<LoadGenerator.RequestRecord> results, Map<String, String> counters) {
        List<Attempt> allAttempts;
        synchronized (openAttempts) {
            allAttempts = new ArrayList<>(attempts);
            long now = EngineSiteProcess.nowMicros();
            openAttempts.forEach((key, started) -> {
                String engine = key.substring(key.indexOf('@') + 1);
                allAttempts.add(new Attempt(key.substring(0, key.indexOf('@')), -1, engine, started[0], now));
            });
        }
        List<String> attemptsToDrained = new ArrayList<>();
        for (Attempt attempt : allAttempts) {
            long informedMicros = 0;
            for (LoadGenerator.RouterTarget t : targets) {
                informedMicros = t.site() == attempt.site
                        ? Math.max(informedMicros, discovery.firstSentMicros(attempt.engine, t.router()))
                        : informedMicros;
            }
            if (informedMicros > 0
                    && informedMicros < Long.MAX_VALUE
                    && attempt.startedMicros > informedMicros + STOP_SENDING_LIMIT_MICROS
                    && !path("discovery", Math.max(0, attempt.site), -1).hasFaultSince(informedMicros)) {
                attemptsToDrained.add(attempt.engine + " got " + attempt.requestId + " "
                        + (attempt.startedMicros - informedMicros) / 1000 + " ms after its router was informed");
            }
        }
        List<EngineLoad> sums = new ArrayList<>();
        synchronized (loads) {
            loads.forEach((key, samples) -> {
                for (int i = 0; i < scenario.sites.size(); i++) {
                    int site = i;
                    List<EngineLoad> siteLoads =
                            samples.stream().filter(load -> load.site == site).toList();
                    if (!siteLoads.isEmpty()) {
                        sums.add(new EngineLoad(
                                key * LOAD_INTERVAL_MICROS,
                                site,
                                siteLoads.stream().mapToInt(EngineLoad::running).sum(),
                                siteLoads.stream().mapToInt(EngineLoad::waiting).sum(),
                                siteLoads.stream()
                                        .mapToDouble(EngineLoad::speed)
                                        .sum()));
                    }
                }
            });
        }
        List<SiteStateChange> changes;
        synchronized (siteStateChanges) {
            changes = List.copyOf(siteStateChanges);
        }
        return new RunResult(
                scenario,
                from,
                results,
                allAttempts,
                sums,
                List.copyOf(injectedFaults),
                processes.samples(),
                List.copyOf(crashedEngines),
                attemptsToDrained,
                clients.duplicateResponses(),
                clients.pendingRequests(),
                processes.crashes(),
                clients.sendDelayP99Micros(),
                List.copyOf(failures),
                changes,
                counters);
    }

    @Override
    public void close() throws IOException {
        finished = true;
        processes.close();
        discovery.close();
        for (Relay r : engineRelays.values()) {
            r.close();
        }
        for (List<Relay> samples : routerRelays) {
            for (Relay r : samples) {
                r.close();
            }
        }
    }
}
