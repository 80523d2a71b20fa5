package magpiehub.lifecycle;

import java.io.IOException;
import magpiehub.concurrent.MonotonicClock;
import magpiehub.config.RouterConfiguration;
import magpiehub.discovery.DiscoverySettings;
import magpiehub.discovery.RouterRegistration;
import magpiehub.store.KeyValueStore;
import magpiehub.telemetry.EventLog;

/**
 * Registers this router with the installation's registry and publishes its status in the key-value store, if the
 * installation has them. {@link #publish} and {@link #withdraw} may be called from different threads.
 */
final class ServiceAnnouncement {
    /** Timeout for deregistering this router. */
    private static final long DEREGISTER_TIMEOUT_MS = 400;

    private static final String STORE_KEY_PREFIX = "router/";

    private final RouterConfiguration configuration;
    private final DiscoverySettings registry;
    private final KeyValueStore store;
    private final MonotonicClock clock;
    private final EventLog log;
    private volatile RouterRegistration registration;

    /**
     * Creates an announcement that is not yet published.
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
     * Announces that the router is serving.
     *
     * @param address where clients connect, as {@code host:port}
     */
    void publish(String address) throws IOException {
        if (registry != null && registry.registration() != null) {
            RouterRegistration started =
                    new RouterRegistration(registry, configuration.name(), address, clock, log, configuration.seed());
            registration = started;
            started.start();
        }
        putInStore("serving " + address);
    }

    /** Announces that the router is stopping, and waits up to a timeout until it is deregistered. */
    void withdraw() throws InterruptedException {
        putInStore("stopping");
        RouterRegistration published = registration;
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
