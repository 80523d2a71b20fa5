package magpiehub.http;

import java.io.IOException;

/**
 * A message that fails with an HTTP error status. The reader throws it for a message that is malformed, whose end is
 * ambiguous or that exceeds a limit: the bytes that follow can't be interpreted, so the connection is to be closed.
 */
public final class HttpException extends IOException {
    private static final long serialVersionUID = 1L;

    private final int status;

    /**
     * Creates an exception.
     *
     * @param status the status code that the sender of the message is answered with, if it can be answered
     * @param message what is wrong, in words that may be sent to a client
     */
    public HttpException(int status, String message) {
        super(message);
        this.status = status;
    }

    /** The status code that the sender of the message is answered with. */
    public int status() {
        return status;
    }
}
