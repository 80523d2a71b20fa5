package magpiehub.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * The configuration of one router.
 *
 * @param name the router's name, which log lines and its registration carry
 * @param listen where clients connect, as {@code host:port}
 * @param console where operators connect, as {@code host:port}; null if nowhere
 * @param inheritsListener whether the clients' listening socket is inherited as descriptor 0 instead of opened
 * @param discovery where the platform's discovery listens, as {@code host:port}; null if the file names none
 * @param seed the seed of the routing policy's random numbers
 * @param memoryMb the memory that the process may take (MiB)
 * @param maxSockets the descriptors that the process may open
 * @param initialEndpoints the endpoint list to start with, as JSON in discovery's form; null if there is none
 * @param site the settings that it shares with the simulator
 * @param members the file's content, for comparison with a later one
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
     * Keys that {@link #changedKeys} leaves out: the endpoint list and the seed matter at the start only, a reload
     * follows discovery's address separately, and a new console address is not reported.
     */
    private static final List<String> IGNORED_CHANGES = List.of(
            RouterConfigurationKeys.INITIAL_ENDPOINTS,
            RouterConfigurationKeys.SEED,
            RouterConfigurationKeys.DISCOVERY,
            RouterConfigurationKeys.CONSOLE);

    /**
     * The keys in which a later file differs; those of nested objects as {@code settings.key}.
     *
     * @return a new list, which the caller may change
     */
    public List<String> changedKeys(RouterConfiguration later) {
        List<String> changed = new ArrayList<>();
        ConfigurationComparison.addChangedKeys(members, later.members, changed);
        changed.removeAll(IGNORED_CHANGES);
        return changed;
    }
}
