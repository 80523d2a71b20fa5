package magpiehub.config;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;

/** Reads a router's configuration from its file and the environment. */
public final class RouterConfigurationReader {
    /** The first element of the paths in error messages; stands for the file. */
    private static final String ROOT_PATH = "config";
    /** One microsecond, the resolution of deadlines: a smaller one would be 0. */
    private static final double MIN_DEADLINE_MS = 0.001;

    private static final int MIN_ATTEMPTS = 1;
    private static final int HEXADECIMAL_RADIX = 16;
    /** Spreads a string's 32-bit hash over the 64 bits of a seed (2^64 divided by the golden ratio). */
    private static final long HASH_MULTIPLIER = 0x9e3779b97f4a7c15L;

    private RouterConfigurationReader() {}

    /**
     * Reads the file at the path in {@code ROUTER_CONFIG}. The other variables override its values.
     *
     * @throws ConfigurationException if a required value is missing, or a value is malformed
     */
    public static RouterConfiguration read(Map<String, String> environment) throws IOException {
        ConfigurationObject config = readFile(environment);
        ConfigurationObject limits = config.object(RouterConfigurationKeys.LIMITS);
        ConfigurationObject settings = config.object(RouterConfigurationKeys.SETTINGS);
        checkSettings(settings);
        Object endpoints = config.map().get(RouterConfigurationKeys.INITIAL_ENDPOINTS);
        return new RouterConfiguration(
                require(
                        environment,
                        RouterConfigurationKeys.NAME_VARIABLE,
                        config.text(RouterConfigurationKeys.NAME, null)),
                HostPort.requireValid(require(
                        environment,
                        RouterConfigurationKeys.LISTEN_VARIABLE,
                        config.text(RouterConfigurationKeys.LISTEN, null))),
                optionalAddress(
                        environment,
                        RouterConfigurationKeys.CONSOLE_VARIABLE,
                        config.text(RouterConfigurationKeys.CONSOLE, null)),
                inheritsListener(environment.get(RouterConfigurationKeys.DESCRIPTOR_VARIABLE)),
                optionalAddress(
                        environment,
                        RouterConfigurationKeys.DISCOVERY_VARIABLE,
                        config.text(RouterConfigurationKeys.DISCOVERY, null)),
                parseSeed(config.map().get(RouterConfigurationKeys.SEED)),
                (int) limits.number(RouterConfigurationKeys.MEMORY_MB, RouterConfigurationKeys.DEFAULT_MEMORY_MB),
                (int) limits.number(RouterConfigurationKeys.SOCKETS, RouterConfigurationKeys.DEFAULT_SOCKETS),
                endpoints == null ? null : Json.write(endpoints),
                SiteSettingsParser.parse(settings),
                config.map());
    }

    /**
     * Reads the configuration again while the router runs. The environment is still that of startup, so the discovery
     * address is taken from the file only.
     *
     * @throws ConfigurationException as for {@link #read}, or if the file lacks a key that the current one has
     */
    public static RouterConfiguration reload(Map<String, String> environment, RouterConfiguration current)
            throws IOException {
        Map<String, String> withoutDiscovery = new HashMap<>(environment);
        withoutDiscovery.remove(RouterConfigurationKeys.DISCOVERY_VARIABLE);
        RouterConfiguration later = read(withoutDiscovery);
        String missing = ConfigurationComparison.firstMissingKey(current.members(), later.members(), ROOT_PATH);
        if (missing != null) {
            throw new ConfigurationException(missing, "is missing");
        }
        return later;
    }

    private static ConfigurationObject readFile(Map<String, String> environment) throws IOException {
        String file = environment.get(RouterConfigurationKeys.CONFIG_VARIABLE);
        if (file == null) {
            throw new ConfigurationException(RouterConfigurationKeys.CONFIG_VARIABLE, "is not set");
        }
        if (!Files.isReadable(Path.of(file))) {
            throw new ConfigurationException(
                    RouterConfigurationKeys.CONFIG_VARIABLE, "names no readable file: " + file);
        }
        return ConfigurationObject.parse(Files.readAllBytes(Path.of(file)), ROOT_PATH);
    }

    /** Checks the settings that a router requires and whose value 0 would fail every request at once. */
    private static void checkSettings(ConfigurationObject settings) {
        if (settings.objects(SettingsKeys.CLASSES).isEmpty()) {
            throw new ConfigurationException(settings.path() + "." + SettingsKeys.CLASSES, "is missing");
        }
        for (ConfigurationObject requestClass : settings.objects(SettingsKeys.CLASSES)) {
            requestClass.requirePositive(SettingsKeys.DEADLINE_MS, MIN_DEADLINE_MS);
        }
        settings.object(SettingsKeys.LIMITS).requirePositive(SettingsKeys.MAX_ATTEMPTS, MIN_ATTEMPTS);
    }

    /** Returns the variable's value, or the file's if the variable is not set. */
    private static String require(Map<String, String> environment, String variable, String fromFile) {
        String value = isSet(environment, variable) ? environment.get(variable) : fromFile;
        if (value == null) {
            throw new ConfigurationException(variable, "is not set and the configuration has no value for it");
        }
        return value;
    }

    /**
     * Returns the variable's address, or else the file's; null if neither is set: console and discovery are optional.
     */
    private static String optionalAddress(Map<String, String> environment, String variable, String fromFile) {
        if (fromFile == null && !isSet(environment, variable)) {
            return null;
        }
        return HostPort.requireValid(require(environment, variable, fromFile));
    }

    private static boolean isSet(Map<String, String> environment, String variable) {
        String value = environment.get(variable);
        return value != null && !value.isEmpty();
    }

    private static boolean inheritsListener(String descriptor) {
        if (descriptor == null || descriptor.isEmpty()) {
            return false;
        }
        if (!descriptor.strip().equals(RouterConfigurationKeys.INHERITED_DESCRIPTOR)) {
            throw new ConfigurationException(
                    RouterConfigurationKeys.DESCRIPTOR_VARIABLE,
                    "must be 0, the only descriptor that can be inherited, but is " + descriptor);
        }
        return true;
    }

    private static long parseSeed(Object value) {
        if (value instanceof Double number) {
            return Double.doubleToLongBits(number);
        }
        if (value instanceof String text) {
            try {
                return Long.parseUnsignedLong(text, HEXADECIMAL_RADIX);
            } catch (NumberFormatException e) {
                return text.hashCode() * HASH_MULTIPLIER;
            }
        }
        throw new ConfigurationException(ROOT_PATH + "." + RouterConfigurationKeys.SEED, "is missing");
    }
}
