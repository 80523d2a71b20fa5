package magpiehub.discovery;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import magpiehub.config.ConfigurationObject;

/** An error that etcd or its JSON gateway reports with a gRPC status code. */
final class EtcdStatusException extends RegistryErrorException {
    /** The gRPC status code for a revision that was compacted or is in the future. */
    static final int OUT_OF_RANGE = 11;

    /** The gRPC status code for a missing, invalid or expired token. */
    static final int UNAUTHENTICATED = 16;

    private static final long serialVersionUID = 1L;
    private final int code;

    EtcdStatusException(int code, String message) {
        super(message);
        this.code = code;
    }

    /**
     * Parses the gateway's error object, {@code {"error":"...","code":11,"message":"..."}}, from the message of an HTTP
     * error.
     *
     * @return null if the message has no valid error object
     */
    static EtcdStatusException parse(HttpStatusException failure) {
        String text = failure.getMessage();
        int brace = text.indexOf('{');
        if (brace < 0) {
            return null;
        }
        try {
            byte[] json = text.substring(brace).getBytes(StandardCharsets.UTF_8);
            ConfigurationObject error = ConfigurationObject.parse(json, "error");
            int code = (int) error.number("code", 0);
            return new EtcdStatusException(code, error.text("message", error.text("error", "")));
        } catch (IOException | RuntimeException e) {
            return null; // Truncated, or sent by a proxy between the router and etcd.
        }
    }

    boolean isOutOfRange() {
        return code == OUT_OF_RANGE;
    }

    boolean isUnauthenticated() {
        return code == UNAUTHENTICATED;
    }
}
