package magpiehub.discovery;

import java.io.IOException;

/** A registry has not answered a call in time. */
final class RegistryCallTimeoutException extends IOException {
    private static final long serialVersionUID = 1L;

    RegistryCallTimeoutException() {
        super("silent");
    }
}
