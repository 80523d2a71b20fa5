package magpiehub.config;

/** The keys of a router's configuration file and the environment variables that override it. */
final class RouterConfigurationKeys {
    // Environment variables. All but the first count as not set if they are empty.

    /** The path of the configuration file. Required. */
    static final String CONFIG_VARIABLE = "ROUTER_CONFIG";
    /** Overrides {@link #NAME}. */
    static final String NAME_VARIABLE = "ROUTER_NAME";
    /** Overrides {@link #LISTEN}. */
    static final String LISTEN_VARIABLE = "ROUTER_LISTEN";
    /** Overrides {@link #CONSOLE}. */
    static final String CONSOLE_VARIABLE = "ROUTER_CONSOLE";
    /** Overrides {@link #DISCOVERY} at the start; a reload takes the file's. */
    static final String DISCOVERY_VARIABLE = "ROUTER_DISCOVERY";
    /** The descriptor of a listening socket to inherit: {@value #INHERITED_DESCRIPTOR}, or not set. */
    static final String DESCRIPTOR_VARIABLE = "ROUTER_FD";
    /** The only descriptor that the JVM can inherit as a socket. */
    static final String INHERITED_DESCRIPTOR = "0";

    // Members of the file.

    /** The router's name; text; required here or as a variable. */
    static final String NAME = "name";
    /** Where clients connect; {@code host:port}; required here or as a variable. */
    static final String LISTEN = "listen";
    /** Where operators connect; {@code host:port}; default: nowhere. */
    static final String CONSOLE = "console";
    /** Where the platform's discovery listens; {@code host:port}; default: none. */
    static final String DISCOVERY = "discovery";
    /** The seed of random numbers; a number, a hexadecimal text or any other text; required. */
    static final String SEED = "seed";
    /** The endpoint list to start with; JSON in discovery's form; default: none. */
    static final String INITIAL_ENDPOINTS = "known";
    /** What the process may take; an object with the next two keys. */
    static final String LIMITS = "limits";
    /** The memory of the process; MiB; default {@value #DEFAULT_MEMORY_MB}. Checked, but the JVM's options decide. */
    static final String MEMORY_MB = "memory_mb";

    static final int DEFAULT_MEMORY_MB = 192;
    /** The open descriptors of the process; a count; default {@value #DEFAULT_SOCKETS}. */
    static final String SOCKETS = "sockets";

    static final int DEFAULT_SOCKETS = 1024;
    /** The site's settings; an object with the keys of {@link SettingsKeys}; must hold at least one class. */
    static final String SETTINGS = "settings";

    private RouterConfigurationKeys() {}
}
