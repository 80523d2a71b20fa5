package magpiehub.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * The configuration of one router.
 *
 * @param name the router's name in log lines and in its registration
 * @param listen the address on which clients connect, as {@code host:port}
 * @param console the address on which operators connect, as {@code host:port}; null if they can't
 * @param inheritsListener whether the listening socket for clients is inherited as descriptor 0 instead of opened
 * @param discovery the address of the platform's discovery service, as {@code host:port}; null if none is configured
 * @param seed the seed of the routing policy's random numbers
 * @param memoryMb the memory limit of the process (MiB)
 * @param maxSockets the limit of open descriptors
 * @param initialEndpoints the endpoint list to start with, as JSON in the discovery service's format; null if none
 * @param site the settings that the router shares with the simulator
 * @param members the content of the file, for comparison with a later one
 */
public record RouterConfiguration(
        String name,
        String listen,
        String console,
        boolean inheritsListener,
        String discovery,
        long seed,
        int memoryMb,
        int maxSockets,
        byte[] initialEndpoints,
        SiteSettings site,
        Map<String, Object> members) {
    /**
     * Keys that {@link #changedKeys} omits: the endpoint list and the seed are only used at startup, a reload handles
     * the discovery address separately, and a new console address is not reported.
     */
    private static final List<String> IGNORED_CHANGES = List.of(
            RouterConfigurationKeys.INITIAL_ENDPOINTS,
            RouterConfigurationKeys.SEED,
            RouterConfigurationKeys.DISCOVERY,
            RouterConfigurationKeys.CONSOLE);

    /**
     * Returns the keys whose values differ in a later file; those of nested objects as {@code settings.key}.
     *
     * @return a new list, which the caller may modify
     */
    public List<String> changedKeys(RouterConfiguration later) {
        List<String> changed = new ArrayList<>();
        ConfigurationComparison.addChangedKeys(members, later.members, changed);
        changed.removeAll(IGNORED_CHANGES);
        return changed;
    }
}
