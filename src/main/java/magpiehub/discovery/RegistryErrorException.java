package magpiehub.discovery;

import java.io.IOException;

/** The registry responded with an error, which means that the connection itself is healthy. */
class RegistryErrorException extends IOException {
    private static final long serialVersionUID = 1L;

    RegistryErrorException(String message) {
        super(message);
    }
}
