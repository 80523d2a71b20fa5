package magpiehub.config;

/** Thrown if configuration or other JSON input is invalid. The message names the place of the error. */
public final class ConfigurationException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final String path;
    private final String reason;

    /** An error whose place the catcher knows, or that concerns the input as a whole. */
    public ConfigurationException(String reason) {
        this("", reason, reason);
    }

    /**
     * An error in one value.
     *
     * @param path the path of the value, for example {@code config.limits.sockets}, or the name of the variable
     * @param reason what is wrong with it, as the rest of a sentence that begins with the path
     */
    public ConfigurationException(String path, String reason) {
        this(path, reason, path + " " + reason);
    }

    private ConfigurationException(String path, String reason, String message) {
        super(message);
        this.path = path;
        this.reason = reason;
    }

    /** An input that is not JSON, with the parser's explanation. */
    static ConfigurationException invalidJson(String path, String explanation) {
        return new ConfigurationException(path, explanation, path + ": " + explanation);
    }

    /** The path of the invalid value; empty if the thrower does not know it. */
    public String path() {
        return path;
    }

    /** What is wrong with the value. */
    public String reason() {
        return reason;
    }
}
