package magpiehub.admin;

import java.io.IOException;

/** A connection did not send exactly one complete line of printable ASCII. The message is meant for the caller. */
final class MalformedCommandLineException extends IOException {
    private static final long serialVersionUID = 1L;

    MalformedCommandLineException(String reason) {
        super(reason);
    }
}
