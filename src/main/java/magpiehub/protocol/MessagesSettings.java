package magpiehub.protocol;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import magpiehub.config.ConfigurationException;
import magpiehub.config.ConfigurationObject;
import magpiehub.config.HostPort;

/**
 * The settings of the messages protocol.
 *
 * @param listen the address that its listener binds to; key {@code listen}, required
 * @param defaultClass the class of requests without one, for models that have no entry; key {@code class}
 * @param defaultTenant the tenant of requests without one; key {@code tenant}
 * @param classesByModel the class name of each model's requests; key {@code models}
 */
public record MessagesSettings(
        String listen, String defaultClass, String defaultTenant, Map<String, Object> classesByModel) {
    /**
     * Reads the settings from a file.
     *
     * @return null if the file does not exist, which disables the protocol
     */
    public static MessagesSettings read(Path file) throws IOException {
        if (!Files.exists(file)) {
            return null;
        }
        ConfigurationObject object = ConfigurationObject.parse(
                Files.readAllBytes(file), file.getFileName().toString());
        String listen = object.text("listen", null);
        if (listen == null) {
            throw new ConfigurationException(file.getFileName() + ": \"listen\" is missing");
        }
        return new MessagesSettings(
                HostPort.requireValid(listen),
                object.text("class", ""),
                object.text("tenant", ""),
                object.object("models").map());
    }

    /** The class of a model's requests, or the default class if the model has no entry or a non-string one. */
    String classOf(String model) {
        return classesByModel.get(model) instanceof String name ? name : defaultClass;
    }
}
