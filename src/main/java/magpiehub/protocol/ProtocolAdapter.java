package magpiehub.protocol;

import magpiehub.http.HttpException;
import magpiehub.http.HttpHead;
import magpiehub.http.HttpWriter;

/**
 * A client protocol: parses requests, and writes error responses that belong to no exchange. It is stateless between
 * requests and thread-safe.
 */
public interface ProtocolAdapter {
    /**
     * Parses a complete request.
     *
     * @param receivedAtMicros the arrival time of its first byte, from which its deadline counts
     * @throws HttpException if the request is not valid in this protocol, with the status of the error response
     */
    ProtocolExchange readRequest(HttpHead head, byte[] body, long receivedAtMicros) throws HttpException;

    /** Whether {@link ProtocolExchange#writeKeepAlive} writes anything in this protocol. */
    default boolean hasKeepAlive() {
        return false;
    }

    /** Whether clients of this protocol request the rest of a stream that ends before it is complete. */
    default boolean resumesStreams() {
        return false;
    }

    /**
     * Writes a complete error response.
     *
     * @param retryAfterMicros the value of {@code Retry-After}; 0 for no such header
     * @param close whether the connection is closed after this response
     */
    void writeError(HttpWriter out, int status, String reason, long retryAfterMicros, boolean close);
}
