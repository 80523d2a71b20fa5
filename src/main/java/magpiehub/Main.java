package magpiehub;

import java.io.IOException;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import magpiehub.admin.AdminCommandHandler;
import magpiehub.admin.AdminServer;
import magpiehub.concurrent.ActorThreadPool;
import magpiehub.concurrent.Mailbox;
import magpiehub.concurrent.MonotonicClock;
import magpiehub.config.Config;
import magpiehub.config.ConfigurationException;
import magpiehub.config.RouterConfiguration;
import magpiehub.config.SiteSettings;
import magpiehub.discovery.DiscoverySettings;
import magpiehub.discovery.EndpointSource;
import magpiehub.discovery.RegistryClient;
import magpiehub.discovery.RouterRegistration;
import magpiehub.discovery.platform.PlatformDiscovery;
import magpiehub.dispatch.RequestDispatcher;
import magpiehub.downstream.ClientListener;
import magpiehub.downstream.ListenerSocket;
import magpiehub.lifecycle.ClassArchiveTrainer;
import magpiehub.lifecycle.ConfigurationReloader;
import magpiehub.lifecycle.GracefulShutdown;
import magpiehub.protocol.MessagesProtocol;
import magpiehub.protocol.PlatformProtocol;
import magpiehub.routing.ConnectFailureZoneHealth;
import magpiehub.simulator.JitWarmUp;
import magpiehub.simulator.SimulatorAdapter;
import magpiehub.sites.SiteFailoverPlan;
import magpiehub.sites.SiteHealthTracker;
import magpiehub.store.KeyValueStore;
import magpiehub.store.LastWriteWinsStore;
import magpiehub.streaming.StreamLimits;
import magpiehub.streaming.Streams;
import magpiehub.telemetry.SyslogEventLog;
import magpiehub.upstream.UpstreamPool;

/**
 * The command line and the wiring: {@code serve} runs one router, {@code adapter} speaks the simulator's wire
 * on standard input and output. It owns the order of start and end. It must never hold logic of its own.
 */
public final class Main {
    /** Descriptors for files, logs, discovery and probes; the rest is shared between clients and engines. */
    private static final int OTHER_DESCRIPTORS = 64;
    /** Where an installation names a registry of its own. */
    private static final Path REGISTRY = Path.of("deploy/registry.json");
    /** What streams may take, where an installation says otherwise. */
    private static final Path STREAMS = Path.of("deploy/streams.json");
    /** Where an installation plans for the loss of a site. */
    private static final Path SITE = Path.of("deploy/site.json");
    /** Connections for the messages front, where it is on. */
    private static final int MESSAGES_CLIENTS = 64;

    private Main() {}

    /** Runs a command; exit status 0 on success, 1 on malformed input or configuration, 2 on wrong usage. */
    public static void main(String[] args) throws IOException {
        // Guards against the JVM's own answer to SIGHUP, which is to end: taken before anything else, read by
        // an actor once there is something to reload.
        Mailbox<Object> hangups = new Mailbox<>(MonotonicClock.SYSTEM, 1);
        sun.misc.SignalHandler before = sun.misc.Signal.handle(new sun.misc.Signal("HUP"), s -> hangups.post(s));
        // A process that inherits an ignored SIGHUP, as from nohup, never gets one: the JVM leaves it so.
        boolean hangupsIgnored = before == sun.misc.SignalHandler.SIG_IGN;
        if (args.length == 1 && args[0].equals("adapter")) {
            JitWarmUp.run(JitWarmUp.MANY);
            System.exit(new SimulatorAdapter(System.in, System.out, System.err).run());
        } else if (args.length == 1 && (args[0].equals("serve") || args[0].equals("rehearse"))) {
            try {
                boolean serves = args[0].equals("serve");
                serve(Config.router(serves ? System.getenv() : ClassArchiveTrainer.begin()), hangups, hangupsIgnored);
            } catch (IOException | RuntimeException e) {
                // One line for whoever starts it: what is wrong, or at least what failed.
                System.err.println("magpiehub: " + (e instanceof ConfigurationException ? e.getMessage() : e));
                System.exit(1);
            }
        } else {
            System.err.println("usage: java -jar magpiehub.jar serve|adapter|rehearse");
            System.exit(2);
        }
    }

    private static void serve(RouterConfiguration r, Mailbox<Object> hangups, boolean hangupsIgnored)
            throws IOException {
        SyslogEventLog log =
                new SyslogEventLog(System.err, r.name(), ProcessHandle.current().pid());
        log.start();
        if (hangupsIgnored) {
            log.log("reload-impossible", "reason", "SIGHUP was ignored when the process started");
        }
        MonotonicClock clock = MonotonicClock.SYSTEM;
        // Requests in hand take at most a third of the descriptors on each side; clients that stay need more.
        int forEngines = Math.max(8, r.sockets() * 3 / 8);
        int forClients = Math.max(8, r.sockets() - OTHER_DESCRIPTORS - forEngines);
        ActorThreadPool crew = new ActorThreadPool();
        // A file of the operators' own, or today's values.
        StreamLimits allowances = StreamLimits.read(
                STREAMS, r.site().settings().classes(), Runtime.getRuntime().maxMemory());
        AtomicReference<SiteSettings> site = new AtomicReference<>(r.site());
        Streams streams = new Streams(allowances, r.site(), clock, log);
        UpstreamPool engines = new UpstreamPool(r.site(), forEngines, clock, log, crew, streams);
        engines.start();
        // A registry of the operators' own instead of the platform's discovery, where a file says so.
        DiscoverySettings registry = DiscoverySettings.read(REGISTRY);
        if (registry == null && r.discovery() == null) {
            throw new ConfigurationException("ROUTER_DISCOVERY is not set and there is no " + REGISTRY);
        }
        EndpointSource discovery = registry == null
                ? new PlatformDiscovery(r.discovery(), site::get, engines, clock, log, r.seed())
                : new RegistryClient(registry, site::get, engines, clock, log, r.seed());
        SiteHealthTracker.Settings planned = SiteFailoverPlan.read(SITE);
        SiteFailoverPlan plan = planned == null
                ? null
                : new SiteFailoverPlan(
                        planned, r.site().zones(), r.site().settings().myZone(), r.seed(), log);
        RequestDispatcher module = new RequestDispatcher(
                r.site().settings(),
                r.seed(),
                clock,
                engines,
                discovery,
                log,
                plan == null ? new ConnectFailureZoneHealth() : plan);
        engines.module(module);
        Supplier<String> counters = () ->
                log.counters() + streams.figures() + discovery.counterLines() + (plan == null ? "" : plan.figures());
        BooleanSupplier ready = discovery::isKnown;
        PlatformProtocol platform = new PlatformProtocol(site::get);
        List<ClientListener> fronts = new CopyOnWriteArrayList<>();
        AdminCommandHandler operators = operators(r, fronts, discovery, ready, plan, clock, log);
        discovery.start(module, r.known());
        ConfigurationReloader reload = new ConfigurationReloader(r, hangups, discovery, REGISTRY, log, later -> {
            SiteSettings next = site.get().followedBy(later);
            // The fronts go by it last: whatever they number is known by then.
            streams.settings(
                    StreamLimits.read(
                            STREAMS,
                            next.settings().classes(),
                            Runtime.getRuntime().maxMemory()),
                    next);
            engines.settings(next);
            module.settings(next.settings());
            site.set(next);
        });
        Mailbox.thread("reload", reload).start();
        Mailbox.thread("module", module::run).start();
        JitWarmUp.run(JitWarmUp.FEW);
        platform.warm();
        // Not before: a request that waits in the socket of a process that can't read it yet loses time that
        // nobody counts, for its deadline runs from when it was sent.
        ListenerSocket door =
                r.inherited() ? ListenerSocket.inherited() : ListenerSocket.bind(Config.socketAddress(r.listen()));
        ClientListener clients = new ClientListener(
                door, platform, module, clock, log, ready, counters, forClients * 15 / 16 - 4, crew, streams);
        fronts.add(clients);
        // The next two are off unless a file of the deployment's gives their address; the platform has none.
        MessagesProtocol.Options options = MessagesProtocol.Options.read(Path.of("deploy/messages.json"));
        KeyValueStore store = LastWriteWinsStore.read(Path.of("deploy/store.json"), r.name(), clock, log);
        if (options != null) {
            ClientListener messages = new ClientListener(
                    ListenerSocket.bind(Config.socketAddress(options.listen())),
                    new MessagesProtocol(site::get, options, store),
                    module,
                    clock,
                    log,
                    ready,
                    counters,
                    MESSAGES_CLIENTS,
                    crew,
                    streams);
            fronts.add(messages);
            messages.start();
            log.log("messages-front", "listen", options.listen());
        }
        AtomicReference<RouterRegistration> announcer = new AtomicReference<>();
        GracefulShutdown shutdown =
                new GracefulShutdown(fronts, module, site::get, log, store, r.name(), announcer::get, operators);
        Runtime.getRuntime().addShutdownHook(new Thread(shutdown));
        if (operators != null) {
            operators.start();
            AdminServer console = new AdminServer(Config.socketAddress(r.console()), operators::call, log);
            console.start();
            log.log("console", "listen", at(r.console(), console.port()));
            // An older process ends once this one says yes, and looks then for who takes its clients.
            operators.serving();
        }
        clients.start();
        String listen = at(r.listen(), clients.port());
        log.log("started", "listen", listen);
        if (registry != null && registry.registration() != null) {
            RouterRegistration a = new RouterRegistration(registry, r.name(), listen, clock, log, r.seed());
            announcer.set(a);
            a.start();
        }
        if (store != null) {
            store.put("router/" + r.name(), "serving " + listen);
        }
        try {
            Thread.currentThread().join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** An address with the port that was given, where the configuration leaves it open with 0. */
    private static String at(String address, int port) {
        return address.substring(0, address.lastIndexOf(':') + 1) + port;
    }

    /** What operators may do to this router; null where no address is given for their calls. */
    private static AdminCommandHandler operators(
            RouterConfiguration r,
            List<ClientListener> fronts,
            EndpointSource source,
            BooleanSupplier ready,
            SiteFailoverPlan plan,
            MonotonicClock clock,
            SyslogEventLog log) {
        if (r.console() == null) {
            return null;
        }
        String tmp = System.getenv("TMPDIR");
        long offset = clock.micros() - System.currentTimeMillis() * 1000;
        AdminCommandHandler.Hands hands = new AdminCommandHandler.Hands() {
            @Override
            public boolean ready() {
                return ready.getAsBoolean();
            }

            @Override
            public void engines(Set<String> out, Map<String, Long> back, Runnable done) {
                Map<String, Long> at = new HashMap<>();
                back.forEach((id, ms) -> at.put(id, offset + ms * 1000));
                source.applyMaintenance(out, at, done);
            }

            @Override
            public Map<String, String> sites() {
                return plan == null ? Map.of() : plan.standing();
            }

            @Override
            public void sites(Set<String> out) {
                if (plan != null) {
                    plan.out(out);
                }
            }

            @Override
            public void standby(boolean on) {
                fronts.forEach(c -> c.standby(on));
            }
        };
        AdminCommandHandler operators = new AdminCommandHandler(
                Path.of(tmp == null || tmp.isEmpty() ? System.getProperty("java.io.tmpdir") : tmp),
                r.name(),
                hands,
                clock,
                log);
        source.maintenanceOverlay().onListed(operators::listed);
        return operators;
    }
}
