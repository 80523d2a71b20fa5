package magpiehub.lifecycle;

import java.io.IOException;
import magpiehub.concurrent.DaemonThreads;
import magpiehub.concurrent.MonotonicClock;
import magpiehub.config.RouterConfiguration;
import magpiehub.discovery.DiscoverySettings;
import magpiehub.discovery.RouterRegistration;
import magpiehub.store.KeyValueStore;
import magpiehub.telemetry.EventLog;

/**
 * Registers this router with the installation's registry and publishes its status in the key-value store, if the
 * installation has them. {@link #publish} may be called from another thread than the other methods.
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
    /** Deregisters this router; null before {@link #withdraw}, or if it is not registered. */
    private Thread deregistration;

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

    /**
     * Announces that the router is stopping, and starts to deregister it. Does not wait for the registry, which may not
     * answer: the time until the process is killed counts from the signal.
     */
    void withdraw() {
        putInStore("stopping");
        RouterRegistration published = registration;
        if (published != null) {
            startDeregistration(published);
        }
    }

    private void startDeregistration(RouterRegistration published) {
        Thread thread = DaemonThreads.newThread("deregistration", () -> deregister(published));
        try {
            thread.start();
            deregistration = thread;
        } catch (OutOfMemoryError e) {
            // No further thread can be started. The router's entry in the registry expires.
            log.log("registry-deregister-failed", "why", "no thread can be started");
        }
    }

    private static void deregister(RouterRegistration published) {
        try {
            published.stop(DEREGISTER_TIMEOUT_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Waits until the router is deregistered, or the registry has not answered in time. */
    void awaitWithdrawn() throws InterruptedException {
        if (deregistration != null) {
            deregistration.join();
        }
    }

    private void putInStore(String status) {
        if (store != null) {
            store.put(STORE_KEY_PREFIX + configuration.name(), status);
        }
    }
}
