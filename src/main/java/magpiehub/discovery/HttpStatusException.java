package magpiehub.discovery;

/** The registry answered with an HTTP status that the call does not expect. */
final class HttpStatusException extends RegistryErrorException {
    private static final long serialVersionUID = 1L;
    private final int statusCode;
    private final long retryAfterMicros;

    /**
     * An unexpected status.
     *
     * @param body the beginning of the response's body, for people; may be empty
     * @param retryAfterMicros how long the endpoint asks to be left alone (us); 0 if it does not say
     */
    HttpStatusException(int statusCode, String body, long retryAfterMicros) {
        super("status " + statusCode + (body.isEmpty() ? "" : ": " + body));
        this.statusCode = statusCode;
        this.retryAfterMicros = retryAfterMicros;
    }

    int statusCode() {
        return statusCode;
    }

    /** How long the endpoint asks to be left alone (us); 0 if it does not say. */
    long retryAfterMicros() {
        return retryAfterMicros;
    }
}
