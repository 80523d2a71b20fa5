package magpiehub.discovery;

/** The registry responded with an unexpected HTTP status. */
final class HttpStatusException extends RegistryErrorException {
    private static final long serialVersionUID = 1L;
    private final int statusCode;
    private final long retryAfterMicros;

    /**
     * Creates an exception for a response.
     *
     * @param body the beginning of the response body, for the message; may be empty
     * @param retryAfterMicros the wait requested by {@code Retry-After} (us); 0 if none
     */
    HttpStatusException(int statusCode, String body, long retryAfterMicros) {
        super("status " + statusCode + (body.isEmpty() ? "" : ": " + body));
        this.statusCode = statusCode;
        this.retryAfterMicros = retryAfterMicros;
    }

    int statusCode() {
        return statusCode;
    }

    /** Returns the wait that the endpoint requested by {@code Retry-After} (us); 0 if none. */
    long retryAfterMicros() {
        return retryAfterMicros;
    }
}
