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
 * Reloads the configuration on SIGHUP. A configuration is applied completely or not at all: a malformed file is logged
 * and changes nothing. Settings and the address of service discovery take effect immediately; other changes require a
 * restart and are listed in the log. Runs on a thread of its own until it is interrupted.
 */
final class ConfigurationReloader implements Runnable {
    /** Applies new settings to the components of the router. */
    interface SettingsTarget {
        /** Applies new settings, or rejects them with an exception without having changed anything. */
        void apply(SiteSettings newSettings) throws IOException;
    }

    /** Prefix of the configuration keys that a reload applies. */
    private static final String SETTINGS_PREFIX = "settings.";
    /** Logged as requiring a restart if the reloaded configuration has another kind of endpoint list source. */
    private static final String REGISTRY_KEY = "registry";

    private final RouterConfiguration startupConfiguration;
    private final ProcessSignals signals;
    private final EndpointSource discovery;
    private final Path registryFile;
    private final SyslogEventLog log;
    private final SettingsTarget target;
    private RouterConfiguration current;

    /**
     * Creates a reloader that handles no signals until it runs.
     *
     * @param startupConfiguration the configuration at startup, which determines what requires a restart
     * @param registryFile the settings file of the installation's own registry; may be absent
     */
    ConfigurationReloader(
            RouterConfiguration startupConfiguration,
            ProcessSignals signals,
            EndpointSource discovery,
            Path registryFile,
            SyslogEventLog log,
            SettingsTarget target) {
        this.startupConfiguration = startupConfiguration;
        this.current = startupConfiguration;
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
                // One reload handles all pending signals, since it reads the current file.
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
            RouterConfiguration next = RouterConfigurationReader.reload(System.getenv(), current);
            DiscoverySettings registry = DiscoverySettings.read(registryFile);
            List<String> applied = current.changedKeys(next);
            applied.removeIf(key -> !key.startsWith(SETTINGS_PREFIX));
            List<String> needRestart = startupConfiguration.changedKeys(next);
            needRestart.removeIf(key -> key.startsWith(SETTINGS_PREFIX));
            target.apply(next.site());
            current = next;
            if (!redirectDiscovery(next, registry)) {
                needRestart.add(REGISTRY_KEY);
            }
            log.count("reloads");
            logReload(
                    registry == null ? next.discovery() : String.join(" ", registry.endpoints()), applied, needRestart);
        } catch (IOException | RuntimeException | StackOverflowError e) {
            // A file that is nested too deeply causes a stack overflow.
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

    /** Changes the address of the endpoint list source; returns false if the new source is of another kind. */
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
