package magpiehub.lifecycle;

import java.io.IOException;
import magpiehub.concurrent.MonotonicClock;
import magpiehub.config.RouterConfiguration;
import magpiehub.discovery.DiscoverySettings;
import magpiehub.discovery.RouterRegistration;
import magpiehub.store.KeyValueStore;
import magpiehub.telemetry.EventLog;

/**
 * Tells the installation's registry and key-value store, where it has them, that this router serves or is stopping.
 * {@link #publish} and {@link #withdraw} may be called from different threads.
 */
final class ServiceAnnouncement {
    /** How long the registry may take to remove this router. */
    private static final long DEREGISTER_TIMEOUT_MS = 400;

    private static final String STORE_KEY_PREFIX = "router/";

    private final RouterConfiguration configuration;
    private final DiscoverySettings registry;
    private final KeyValueStore store;
    private final MonotonicClock clock;
    private final EventLog log;
    private volatile RouterRegistration announcer;

    /**
     * An announcement that has not been published.
     *
     * @param registry null if the installation has no registry of its own
     * @param store null if the installation has no store
     */
    ServiceAnnouncement(
            RouterConfiguration configuration,
            DiscoverySettings registry,
            KeyValueStore store,
            MonotonicClock clock,
            EventLog log) {
        this.configuration = configuration;
        this.registry = registry;
        this.store = store;
        this.clock = clock;
        this.log = log;
    }

    /**
     * Announces that the router serves.
     *
     * @param address where clients connect, as {@code host:port}
     */
    void publish(String address) throws IOException {
        if (registry != null && registry.registration() != null) {
            RouterRegistration started =
                    new RouterRegistration(registry, configuration.name(), address, clock, log, configuration.seed());
            announcer = started;
            started.start();
        }
        putInStore("serving " + address);
    }

    /** Announces that the router is stopping, and waits a bounded time until the registry has removed it. */
    void withdraw() throws InterruptedException {
        putInStore("stopping");
        RouterRegistration published = announcer;
        if (published != null) {
            published.stop(DEREGISTER_TIMEOUT_MS);
        }
    }

    private void putInStore(String status) {
        if (store != null) {
            store.put(STORE_KEY_PREFIX + configuration.name(), status);
        }
    }
}
