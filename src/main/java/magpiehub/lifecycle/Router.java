package magpiehub.lifecycle;

import java.io.IOException;
import java.io.InterruptedIOException;
import java.nio.file.Path;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicReference;
import magpiehub.admin.AdminCommandHandler;
import magpiehub.admin.AdminServer;
import magpiehub.concurrent.ActorThreadPool;
import magpiehub.concurrent.DaemonThreads;
import magpiehub.concurrent.MonotonicClock;
import magpiehub.concurrent.ThreadBudget;
import magpiehub.config.ConfigurationException;
import magpiehub.config.HostPort;
import magpiehub.config.RouterConfiguration;
import magpiehub.config.SiteSettings;
import magpiehub.discovery.DiscoverySettings;
import magpiehub.discovery.EndpointSource;
import magpiehub.discovery.RegistryClient;
import magpiehub.discovery.platform.PlatformDiscovery;
import magpiehub.dispatch.RequestClaims;
import magpiehub.dispatch.RequestDispatcher;
import magpiehub.downstream.ClientListener;
import magpiehub.downstream.ListenerSocket;
import magpiehub.protocol.MessagesProtocol;
import magpiehub.protocol.MessagesSettings;
import magpiehub.protocol.PlatformProtocol;
import magpiehub.protocol.ProtocolAdapter;
import magpiehub.routing.ConnectFailureZoneHealth;
import magpiehub.routing.RequestClass;
import magpiehub.routing.ZoneHealth;
import magpiehub.simulator.JitWarmUp;
import magpiehub.sites.SiteFailover;
import magpiehub.sites.SiteFailoverSettings;
import magpiehub.store.KeyValueStore;
import magpiehub.store.LastWriteWinsStore;
import magpiehub.streaming.FlowController;
import magpiehub.streaming.StreamLimits;
import magpiehub.streaming.StreamLimitsReader;
import magpiehub.telemetry.SyslogEventLog;
import magpiehub.upstream.UpstreamPool;

/**
 * One router process: creates its components, connects them, and starts them in order. It makes no decisions about
 * requests.
 *
 * <p>Optional features are disabled unless the installation has a settings file for them in {@code deploy/}: its own
 * registry, stream limits, site failover, the messages protocol, and a key-value store.
 */
public final class Router {
    /** How long a process that inherits its listening socket waits for an endpoint list before it accepts clients. */
    private static final long ENDPOINT_LIST_TIMEOUT_MILLIS = 8_000;

    private static final Path REGISTRY_FILE = Path.of("deploy/registry.json");
    private static final Path STREAMS_FILE = Path.of("deploy/streams.json");
    private static final Path SITE_FAILOVER_FILE = Path.of("deploy/site.json");
    private static final Path MESSAGES_FILE = Path.of("deploy/messages.json");
    private static final Path STORE_FILE = Path.of("deploy/store.json");

    private final RouterConfiguration configuration;
    private final ProcessSignals signals;
    private final ConnectionLimits connectionLimits;
    private final MonotonicClock clock = MonotonicClock.SYSTEM;
    private final ActorThreadPool threads;
    private final SyslogEventLog log;
    /** The current settings; protocols read them for each request. */
    private final AtomicReference<SiteSettings> site;

    private final FlowController streams;
    private final UpstreamPool upstreams;
    /** Null if the platform's discovery service is used. */
    private final DiscoverySettings registry;

    private final EndpointSource discovery;
    /** Null if site failover is disabled. */
    private final SiteFailover siteFailover;

    private final RequestDispatcher dispatcher;
    private final PlatformProtocol platformProtocol;
    private final List<ClientListener> listeners = new CopyOnWriteArrayList<>();
    /** Null if the router has no admin console. */
    private final AdminCommandHandler admin;

    /**
     * Creates the components. The log and the upstream pool start immediately, the others in {@link #run}.
     *
     * @throws ConfigurationException if the configuration or a file of the installation is malformed
     */
    public Router(RouterConfiguration configuration, ProcessSignals signals) throws IOException {
        this.configuration = configuration;
        this.signals = signals;
        this.connectionLimits = ConnectionLimits.forSockets(configuration.maxSockets());
        this.threads = new ActorThreadPool(ThreadBudget.forMemory(
                configuration.memoryMb(), Runtime.getRuntime().maxMemory()));
        this.log = startLog();
        this.site = new AtomicReference<>(configuration.site());
        this.streams = createStreams();
        this.upstreams = startUpstreams();
        this.registry = readRegistrySettings();
        this.discovery = createDiscovery();
        this.siteFailover = createSiteFailover();
        this.dispatcher = createDispatcher();
        this.platformProtocol = new PlatformProtocol(site::get);
        this.admin = createAdmin();
    }

    /** Starts the router and serves requests until the process is terminated. */
    public void run() throws IOException {
        discovery.start(dispatcher, configuration.initialEndpoints());
        startReloader();
        DaemonThreads.newThread("module", dispatcher::run).start();
        warmUp();
        KeyValueStore store = openStore();
        // The listener is opened only now: a request that waits in the accept backlog of a starting process loses time
        // that is not accounted for, since its deadline counts from when it was sent.
        ClientListener clients = openClientListener();
        MessagesSettings messagesSettings = MessagesSettings.read(MESSAGES_FILE);
        startMessagesListener(messagesSettings, store);
        ServiceAnnouncement announcement = new ServiceAnnouncement(configuration, registry, store, clock, log);
        signals.onTermination(new GracefulShutdown(listeners, dispatcher, site::get, log, announcement, admin));
        if (configuration.inheritsListener()) {
            // The older process keeps serving until this one reports that it is ready.
            awaitEndpointList();
        }
        startConsole();
        clients.start();
        String address = withPort(configuration.listen(), clients.port());
        log.log("started", "listen", address);
        announcement.publish(address);
        awaitTermination();
    }

    private SyslogEventLog startLog() {
        SyslogEventLog created = new SyslogEventLog(
                System.err, configuration.name(), ProcessHandle.current().pid());
        created.start();
        if (signals.isHangupIgnored()) {
            created.log("reload-impossible", "reason", "SIGHUP was ignored when the process started");
        }
        return created;
    }

    private FlowController createStreams() throws IOException {
        StreamLimits limits = readStreamLimits(configuration.site());
        return new FlowController(limits, configuration.site(), clock, log);
    }

    private static StreamLimits readStreamLimits(SiteSettings settings) throws IOException {
        List<RequestClass> classes = settings.routing().classes();
        return StreamLimitsReader.read(
                STREAMS_FILE, classes, Runtime.getRuntime().maxMemory());
    }

    private UpstreamPool startUpstreams() {
        UpstreamPool created =
                new UpstreamPool(configuration.site(), connectionLimits.upstream(), clock, log, threads, streams);
        created.start();
        return created;
    }

    private DiscoverySettings readRegistrySettings() throws IOException {
        DiscoverySettings settings = DiscoverySettings.read(REGISTRY_FILE);
        if (settings == null && configuration.discovery() == null) {
            throw new ConfigurationException("ROUTER_DISCOVERY is not set and there is no " + REGISTRY_FILE);
        }
        return settings;
    }

    private EndpointSource createDiscovery() throws IOException {
        long seed = configuration.seed();
        if (registry == null) {
            return new PlatformDiscovery(configuration.discovery(), site::get, upstreams, clock, log, seed);
        }
        return new RegistryClient(registry, site::get, upstreams, clock, log, seed);
    }

    private SiteFailover createSiteFailover() throws IOException {
        SiteFailoverSettings settings = SiteFailoverSettings.read(SITE_FAILOVER_FILE);
        if (settings == null) {
            return null;
        }
        SiteSettings siteSettings = configuration.site();
        return new SiteFailover(
                settings, siteSettings.zones(), siteSettings.routing().ownZone(), configuration.seed(), log);
    }

    private RequestDispatcher createDispatcher() throws IOException {
        ZoneHealth zoneHealth = siteFailover == null ? new ConnectFailureZoneHealth() : siteFailover;
        RequestDispatcher created = new RequestDispatcher(
                configuration.site().routing(), configuration.seed(), clock, upstreams, discovery, log, zoneHealth);
        upstreams.setDispatcher(created);
        if (configuration.inheritsListener()) {
            created.useClaims(openSharedClaims());
        }
        return created;
    }

    private RequestClaims openSharedClaims() throws IOException {
        String name = "magpiehub-" + configuration.name().replaceAll("[^A-Za-z0-9._-]", "_") + ".requests";
        return SharedRequestClaims.open(
                temporaryFolder().resolve(name), () -> Instant.now().getEpochSecond());
    }

    private AdminCommandHandler createAdmin() {
        if (configuration.console() == null) {
            return null;
        }
        RouterMaintenanceActions actions =
                new RouterMaintenanceActions(discovery::hasUsableList, discovery, siteFailover, listeners, clock);
        AdminCommandHandler created =
                new AdminCommandHandler(temporaryFolder(), configuration.name(), actions, clock, log);
        discovery.maintenanceOverlay().onListed(created::addListedIds);
        return created;
    }

    private static Path temporaryFolder() {
        String folder = System.getenv("TMPDIR");
        boolean isSet = folder != null && !folder.isEmpty();
        return Path.of(isSet ? folder : System.getProperty("java.io.tmpdir"));
    }

    private void startReloader() {
        ConfigurationReloader reloader =
                new ConfigurationReloader(configuration, signals, discovery, REGISTRY_FILE, log, this::applySettings);
        DaemonThreads.newThread("reload", reloader).start();
    }

    private void applySettings(SiteSettings newSettings) throws IOException {
        SiteSettings next = site.get().updatedWith(newSettings);
        streams.updateSettings(readStreamLimits(next), next);
        upstreams.updateSettings(next);
        dispatcher.updateSettings(next.routing());
        // Updated last, so that the other components know every class and tenant index that the protocols use.
        site.set(next);
    }

    private void warmUp() throws IOException {
        JitWarmUp.run(JitWarmUp.ROUTER_ROUNDS);
        platformProtocol.warmUp();
    }

    private ClientListener openClientListener() throws IOException {
        ListenerSocket socket = configuration.inheritsListener()
                ? ListenerSocket.inherited()
                : ListenerSocket.bind(HostPort.toSocketAddress(configuration.listen()));
        return addListener(socket, platformProtocol, connectionLimits.downstream());
    }

    /** Opens the store; returns null if the installation has none. */
    private KeyValueStore openStore() throws IOException {
        try {
            return LastWriteWinsStore.fromFile(STORE_FILE, configuration.name(), clock, log);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new InterruptedIOException("interrupted while the store caught up with its peers");
        }
    }

    private void startMessagesListener(MessagesSettings settings, KeyValueStore store) throws IOException {
        if (settings == null) {
            return;
        }
        ListenerSocket socket = ListenerSocket.bind(HostPort.toSocketAddress(settings.listen()));
        MessagesProtocol protocol = new MessagesProtocol(site::get, settings, store);
        addListener(socket, protocol, ConnectionLimits.MAX_MESSAGES_CONNECTIONS).start();
        log.log("messages-front", "listen", settings.listen());
    }

    private ClientListener addListener(ListenerSocket socket, ProtocolAdapter protocol, int maxConnections) {
        ClientListener listener = new ClientListener(
                socket,
                protocol,
                dispatcher,
                clock,
                log,
                discovery::hasUsableList,
                this::counters,
                maxConnections,
                threads,
                streams);
        listeners.add(listener);
        return listener;
    }

    /** All counters, one per line. */
    private String counters() {
        String counters = log.counters() + streams.metrics() + discovery.counterLines();
        return siteFailover == null ? counters : counters + siteFailover.metrics();
    }

    private void startConsole() throws IOException {
        if (admin == null) {
            return;
        }
        admin.start();
        AdminServer console = new AdminServer(HostPort.toSocketAddress(configuration.console()), admin::handle, log);
        console.start();
        log.log("console", "listen", withPort(configuration.console(), console.port()));
        // An older process shuts down once this one reports that it serves, and then checks for its successor.
        admin.onServiceStarted();
    }

    private void awaitEndpointList() {
        try {
            discovery.awaitUsableList(ENDPOINT_LIST_TIMEOUT_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void awaitTermination() {
        try {
            Thread.currentThread().join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** The address with the actual port, for configurations that let the system choose one with port 0. */
    private static String withPort(String address, int port) {
        return address.substring(0, address.lastIndexOf(':') + 1) + port;
    }
}
