package magpiehub.discovery;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermission;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import magpiehub.config.ConfigurationException;
import magpiehub.config.ConfigurationObject;
import magpiehub.config.HostPort;

/**
 * Reads one object of the settings file with bounds and defaults. A field that has the wrong type, is out of bounds, or
 * is unknown causes a {@link ConfigurationException} that names the file and the field.
 */
final class RegistrySettingsReader {
    private static final long MICROS_PER_MILLI = 1000;

    private final ConfigurationObject fields;
    private final Set<String> knownFields = new TreeSet<>();

    RegistrySettingsReader(ConfigurationObject fields) {
        this.fields = fields;
    }

    ConfigurationException invalid(String field, String reason) {
        return new ConfigurationException(fields.path() + "." + field + " " + reason);
    }

    boolean has(String field) {
        return fields.map().containsKey(field);
    }

    String text(String field, String defaultValue) {
        knownFields.add(field);
        String value = fields.text(field, defaultValue);
        if (value != null && containsControlCharacter(value)) {
            throw invalid(field, "must not contain control characters");
        }
        return value;
    }

    /** Reads a boolean; returns false if the field is absent. */
    boolean flag(String field) {
        knownFields.add(field);
        return fields.flag(field, false);
    }

    double number(String field, double defaultValue, double min, double max) {
        knownFields.add(field);
        double value = fields.number(field, defaultValue);
        if (!(value >= min && value <= max)) {
            throw invalid(field, "must be from " + format(min) + " to " + format(max) + ", not " + format(value));
        }
        return value;
    }

    /** Reads a duration in milliseconds and returns it in microseconds. */
    long micros(String field, double defaultMillis, double minMillis, double maxMillis) {
        return Math.round(number(field, defaultMillis, minMillis, maxMillis) * MICROS_PER_MILLI);
    }

    /** Reads a list of at least one {@code address:port}. */
    List<String> addresses(String field) {
        knownFields.add(field);
        List<String> addresses = new ArrayList<>();
        for (String address : fields.texts(field)) {
            try {
                addresses.add(HostPort.requireValid(address));
            } catch (ConfigurationException e) {
                throw invalid(field, e.getMessage());
            }
        }
        if (addresses.isEmpty()) {
            throw invalid(field, "must list at least one address:port");
        }
        return addresses;
    }

    /** Reads a path relative to a directory; returns null if the field is absent. */
    Path path(String field, Path directory) {
        String value = text(field, null);
        return value == null ? null : directory.resolve(value);
    }

    /**
     * Reads a secret from the first line of the file that the field names; returns null if the field is absent. A file
     * that other users of the machine can read or write is rejected, as is one that its group can write.
     */
    String secret(String field, Path directory) throws IOException {
        Path file = path(field, directory);
        if (file == null) {
            return null;
        }
        if (!Files.isReadable(file)) {
            throw invalid(field, "names no readable file: " + file);
        }
        if (isOpenToOthers(file)) {
            throw invalid(field, "names a file that others may read or write: chmod 600 " + file);
        }
        String secret = Files.readString(file).lines().findFirst().orElse("");
        if (secret.isEmpty() || containsControlCharacter(secret)) {
            throw invalid(field, "names a file without a secret in its first line: " + file);
        }
        return secret;
    }

    /** Returns a reader of a nested object, which is empty if the field is absent. */
    RegistrySettingsReader object(String field) {
        knownFields.add(field);
        return new RegistrySettingsReader(fields.object(field));
    }

    /** Rejects fields that have not been read; fields whose name starts with {@code //} are comments. */
    void rejectUnknownFields() {
        for (String field : fields.map().keySet()) {
            if (!knownFields.contains(field) && !field.startsWith("//")) {
                throw invalid(field, "is not known; known are " + String.join(", ", knownFields));
            }
        }
    }

    private static boolean isOpenToOthers(Path file) throws IOException {
        if (!Files.getFileStore(file).supportsFileAttributeView("posix")) {
            return false;
        }
        Set<PosixFilePermission> permissions = Files.getPosixFilePermissions(file);
        return permissions.contains(PosixFilePermission.OTHERS_READ)
                || permissions.contains(PosixFilePermission.OTHERS_WRITE)
                || permissions.contains(PosixFilePermission.GROUP_WRITE);
    }

    private static boolean containsControlCharacter(String text) {
        return text.chars().anyMatch(c -> c < ' ' || c == 0x7f);
    }

    private static String format(double value) {
        return value == Math.rint(value) ? Long.toString((long) value) : Double.toString(value);
    }
}
