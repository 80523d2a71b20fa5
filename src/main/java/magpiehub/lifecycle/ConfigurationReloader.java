package magpiehub.lifecycle;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import magpiehub.config.RouterConfiguration;
import magpiehub.config.RouterConfigurationReader;
import magpiehub.config.SiteSettings;
import magpiehub.discovery.DiscoverySettings;
import magpiehub.discovery.EndpointSource;
import magpiehub.discovery.RegistryClient;
import magpiehub.discovery.platform.PlatformDiscovery;
import magpiehub.telemetry.SyslogEventLog;

/**
 * Reads the configuration again on each SIGHUP. A file is applied completely or not at all: one that is malformed is
 * logged and changes nothing. Settings and the address of discovery are applied at once; other differences are named
 * in the log, since they take a restart. Runs on a thread of its own until that is interrupted.
 */
final class ConfigurationReloader implements Runnable {
    /** Applies new settings to the parts of the router. */
    interface SettingsTarget {
        /** Applies the settings of a later file; may reject them with an exception before it has changed anything. */
        void apply(SiteSettings later) throws IOException;
    }

    /** The keys that a reload applies begin with this. */
    private static final String SETTINGS_PREFIX = "settings.";
    /** What the log names where the source of the endpoint list would have to be another one. */
    private static final String REGISTRY_CHANGE = "registry";

    private final RouterConfiguration started;
    private final ProcessSignals signals;
    private final EndpointSource discovery;
    private final Path registryFile;
    private final SyslogEventLog log;
    private final SettingsTarget target;
    private RouterConfiguration inForce;

    /**
     * A reloader that waits for no signal until it runs.
     *
     * @param started the configuration of the start, which decides what takes a restart
     * @param registryFile where an installation may name a registry of its own
     */
    ConfigurationReloader(
            RouterConfiguration started,
            ProcessSignals signals,
            EndpointSource discovery,
            Path registryFile,
            SyslogEventLog log,
            SettingsTarget target) {
        this.started = started;
        this.inForce = started;
        this.signals = signals;
        this.discovery = discovery;
        this.registryFile = registryFile;
        this.log = log;
        this.target = target;
    }

    @Override
    public void run() {
        try {
            while (true) {
                signals.awaitHangup();
                // One reload serves all signals so far: the file is as new for them all.
                while (signals.pollHangup()) {
                    log.count("hangups_together");
                }
                reload();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void reload() {
        try {
            RouterConfiguration next = RouterConfigurationReader.reload(System.getenv(), inForce);
            DiscoverySettings registry = DiscoverySettings.read(registryFile);
            List<String> applied = inForce.changedKeys(next);
            applied.removeIf(key -> !key.startsWith(SETTINGS_PREFIX));
            List<String> needRestart = started.changedKeys(next);
            needRestart.removeIf(key -> key.startsWith(SETTINGS_PREFIX));
            target.apply(next.site());
            inForce = next;
            if (!redirectDiscovery(next, registry)) {
                needRestart.add(REGISTRY_CHANGE);
            }
            log.count("reloads");
            logReload(
                    registry == null ? next.discovery() : String.join(" ", registry.endpoints()), applied, needRestart);
        } catch (IOException | RuntimeException | StackOverflowError e) {
            // A stack overflow comes from a file that is nested too deeply.
            log.count("reload_failures");
            log.log("reload-failed", "error", String.valueOf(e.getMessage()));
        }
    }

    private void logReload(String discoveryAddress, List<String> applied, List<String> needRestart) {
        log.log(
                "reloaded",
                "discovery",
                discoveryAddress,
                "changed",
                String.join(" ", applied),
                "needs_restart",
                String.join(" ", needRestart));
    }

    /** Points the source of the endpoint list to its new address; false if the file names a source of another kind. */
    private boolean redirectDiscovery(RouterConfiguration next, DiscoverySettings registry) {
        if (discovery instanceof RegistryClient client && registry != null) {
            client.changeSettings(registry);
            return true;
        }
        if (discovery instanceof PlatformDiscovery client && registry == null && next.discovery() != null) {
            client.changeAddress(next.discovery());
            return true;
        }
        return false;
    }
}
