package magpiehub.discovery;

import java.io.IOException;

/** The registry answered with an error, so the connection to it is healthy. */
class RegistryErrorException extends IOException {
    private static final long serialVersionUID = 1L;

    RegistryErrorException(String message) {
        super(message);
    }
}
