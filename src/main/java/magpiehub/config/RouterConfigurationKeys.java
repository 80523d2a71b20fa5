package magpiehub.config;

/** The keys of a router's configuration file and the environment variables that override it. */
final class RouterConfigurationKeys {
    // Environment variables. All but the first are treated as unset if they are empty.

    /** The path of the configuration file. Required. */
    static final String CONFIG_VARIABLE = "ROUTER_CONFIG";
    /** Overrides {@link #NAME}. */
    static final String NAME_VARIABLE = "ROUTER_NAME";
    /** Overrides {@link #LISTEN}. */
    static final String LISTEN_VARIABLE = "ROUTER_LISTEN";
    /** Overrides {@link #CONSOLE}. */
    static final String CONSOLE_VARIABLE = "ROUTER_CONSOLE";
    /** Overrides {@link #DISCOVERY} at startup; a reload uses the file's value. */
    static final String DISCOVERY_VARIABLE = "ROUTER_DISCOVERY";
    /** The descriptor of the listening socket to inherit: {@value #INHERITED_DESCRIPTOR}, or not set. */
    static final String DESCRIPTOR_VARIABLE = "ROUTER_FD";
    /** The only descriptor that the JVM can inherit as a socket. */
    static final String INHERITED_DESCRIPTOR = "0";

    // Members of the file.

    /** The router's name; string; required here or as a variable. */
    static final String NAME = "name";
    /** The address on which clients connect; {@code host:port}; required here or as a variable. */
    static final String LISTEN = "listen";
    /** The address on which operators connect; {@code host:port}; default: none. */
    static final String CONSOLE = "console";
    /** The address of the platform's discovery service; {@code host:port}; default: none. */
    static final String DISCOVERY = "discovery";
    /** The seed of random numbers; a number, a hexadecimal string or any other string; required. */
    static final String SEED = "seed";
    /** The endpoint list to start with; JSON in the discovery service's format; default: none. */
    static final String INITIAL_ENDPOINTS = "known";
    /** The resource limits of the process; an object with the next two keys. */
    static final String LIMITS = "limits";
    /**
     * The memory limit of the process; MiB; default {@value #DEFAULT_MEMORY_MB}. It bounds the threads that work for
     * connections; the heap is set by the JVM's options.
     */
    static final String MEMORY_MB = "memory_mb";

    static final int DEFAULT_MEMORY_MB = 192;
    /** The limit of open descriptors; a count; default {@value #DEFAULT_SOCKETS}. */
    static final String SOCKETS = "sockets";

    static final int DEFAULT_SOCKETS = 1024;
    /** The site's settings; an object with the keys of {@link SettingsKeys}; must contain at least one class. */
    static final String SETTINGS = "settings";

    private RouterConfigurationKeys() {}
}
