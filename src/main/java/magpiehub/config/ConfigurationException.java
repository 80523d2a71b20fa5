package magpiehub.config;

/** Input that does not follow its description: the message names the place. */
public final class ConfigurationException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    public ConfigurationException(String message) {
        super(message);
    }
}
