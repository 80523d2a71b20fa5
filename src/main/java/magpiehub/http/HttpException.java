package magpiehub.http;

import java.io.IOException;

/**
 * Thrown for a message that is answered with an HTTP error status. The reader throws it for a message that is
 * malformed, has an ambiguous end or exceeds a limit: the bytes that follow can't be interpreted, so the connection
 * must be closed.
 */
public final class HttpException extends IOException {
    private static final long serialVersionUID = 1L;

    private final int status;

    /**
     * Creates an exception.
     *
     * @param status the status code of the response to the sender of the message, if it can be answered
     * @param message the reason, in words that may be sent to a client
     */
    public HttpException(int status, String message) {
        super(message);
        this.status = status;
    }

    /** The status code of the response to the sender of the message. */
    public int status() {
        return status;
    }
}
