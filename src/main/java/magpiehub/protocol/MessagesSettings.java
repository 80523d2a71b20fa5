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
 * @param listen the address that its listener is bound to; key {@code listen}, required
 * @param defaultClass the class of requests that name none, for models without an entry; key {@code class}
 * @param defaultTenant the tenant of requests that name none; key {@code tenant}
 * @param classesByModel the names of the classes of models' requests; key {@code models}
 */
public record MessagesSettings(
        String listen, String defaultClass, String defaultTenant, Map<String, Object> classesByModel) {
    /**
     * Reads the settings from a file.
     *
     * @return null if there is no such file; the protocol is off then
     */
    public static MessagesSettings read(Path file) throws IOException {
        if (!Files.exists(file)) {
            return null;
        }
        ConfigurationObject object = ConfigurationObject.parse(
                Files.readAllBytes(file), file.getFileName().toString());
        String listen = object.text("listen", null);
        if (listen == null) {
            throw new ConfigurationException(file.getFileName() + " gives no address in \"listen\"");
        }
        return new MessagesSettings(
                HostPort.requireValid(listen),
                object.text("class", ""),
                object.text("tenant", ""),
                object.object("models").map());
    }

    /** The class of a model's requests: the model's own, else the default. A value that is no text counts as none. */
    String classOf(String model) {
        return classesByModel.get(model) instanceof String name ? name : defaultClass;
    }
}
