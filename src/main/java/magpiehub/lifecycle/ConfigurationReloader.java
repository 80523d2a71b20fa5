package magpiehub.lifecycle;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import magpiehub.concurrent.Mailbox;
import magpiehub.config.Config;
import magpiehub.config.RouterConfiguration;
import magpiehub.config.SiteSettings;
import magpiehub.discovery.DiscoverySettings;
import magpiehub.discovery.EndpointSource;
import magpiehub.discovery.RegistryClient;
import magpiehub.discovery.platform.PlatformDiscovery;
import magpiehub.telemetry.SyslogEventLog;

/**
 * Reads the configuration again on each SIGHUP. A file is taken whole or not at all: one that can't be used
 * is logged and changes nothing. Settings and the address of discovery are followed at once; what else
 * differs is named in the log, since it takes a restart. Runs on a thread of its own until that is
 * interrupted.
 */
public final class ConfigurationReloader implements Runnable {
    /** Hands new settings to the parts of the router, in an order that suits them. */
    public interface Target {
        void apply(SiteSettings later) throws IOException;
    }

    private static final String SETTINGS_PREFIX = "settings.";

    private final RouterConfiguration started;
    private final Mailbox<Object> hangups;
    private final EndpointSource discovery;
    private final Path registryFile;
    private final SyslogEventLog log;
    private final Target target;
    private RouterConfiguration inForce;

    /**
     * A reload that has not begun.
     *
     * @param started the configuration of the start, which decides what takes a restart
     * @param hangups gets one message for each SIGHUP
     * @param registryFile where an installation may name a registry of its own
     */
    public ConfigurationReloader(
            RouterConfiguration started,
            Mailbox<Object> hangups,
            EndpointSource discovery,
            Path registryFile,
            SyslogEventLog log,
            Target target) {
        this.started = started;
        this.inForce = started;
        this.hangups = hangups;
        this.discovery = discovery;
        this.registryFile = registryFile;
        this.log = log;
        this.target = target;
    }

    @Override
    public void run() {
        try {
            while (true) {
                hangups.take(Long.MAX_VALUE);
                while (hangups.poll() != null) {
                    log.count("hangups_together"); // The file is as new for them all.
                }
                reload();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void reload() {
        try {
            RouterConfiguration next = Config.reread(System.getenv(), inForce);
            DiscoverySettings registry = DiscoverySettings.read(registryFile);
            List<String> changed = inForce.changes(next);
            changed.removeIf(name -> !name.startsWith(SETTINGS_PREFIX));
            List<String> needRestart = started.changes(next);
            needRestart.removeIf(name -> name.startsWith(SETTINGS_PREFIX));
            target.apply(next.site());
            inForce = next;
            if (!follow(next, registry)) {
                needRestart.add("registry");
            }
            log.count("reloads");
            log.log(
                    "reloaded",
                    "discovery",
                    registry == null ? next.discovery() : String.join(" ", registry.endpoints()),
                    "changed",
                    String.join(" ", changed),
                    "needs_restart",
                    String.join(" ", needRestart));
        } catch (IOException | RuntimeException | StackOverflowError e) {
            log.count("reload_failures");
            log.log("reload-failed", "error", String.valueOf(e.getMessage()));
        }
    }

    /** Whether the source of the list is one that can be followed to where the new file says. */
    private boolean follow(RouterConfiguration next, DiscoverySettings registry) {
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
