package magpiehub.discovery;

import java.io.IOException;

/** The registry answered that it does not have this router's entry. */
final class RegistrationLostException extends IOException {
    private static final long serialVersionUID = 1L;

    RegistrationLostException() {
        super("the registry does not have the entry");
    }
}
