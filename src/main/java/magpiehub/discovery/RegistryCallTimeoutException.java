package magpiehub.discovery;

import java.io.IOException;

/** A call timed out because the registry did not respond. */
final class RegistryCallTimeoutException extends IOException {
    private static final long serialVersionUID = 1L;

    RegistryCallTimeoutException() {
        super("silent");
    }
}
