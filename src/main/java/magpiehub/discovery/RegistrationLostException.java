package magpiehub.discovery;

import java.io.IOException;

/** The registry reported that it no longer has this router's entry. */
final class RegistrationLostException extends IOException {
    private static final long serialVersionUID = 1L;

    RegistrationLostException() {
        super("registry no longer has the entry");
    }
}
