package magpiehub.admin;

import java.io.IOException;

/** Thrown if a client did not send exactly one complete line of printable ASCII. The message is sent to the client. */
final class MalformedCommandLineException extends IOException {
    private static final long serialVersionUID = 1L;

    MalformedCommandLineException(String reason) {
        super(reason);
    }
}
