package magpiehub.config;

/** Thrown where configuration or other JSON input does not follow its description; the message names the place. */
public final class ConfigurationException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final String path;
    private final String reason;

    /** A fault whose place the caller names, or that concerns the input as a whole. */
    public ConfigurationException(String reason) {
        this("", reason, reason);
    }

    /**
     * A fault of one value.
     *
     * @param path the value's place, for example {@code config.limits.sockets}, or the variable's name
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

    /** A text that is not JSON, with the parser's own explanation. */
    static ConfigurationException invalidJson(String path, String explanation) {
        return new ConfigurationException(path, explanation, path + ": " + explanation);
    }

    /** The place of the fault; empty where the thrower does not know it. */
    public String path() {
        return path;
    }

    /** What is wrong there. */
    public String reason() {
        return reason;
    }
}
