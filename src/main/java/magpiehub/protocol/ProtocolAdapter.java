package magpiehub.protocol;

import magpiehub.http.HttpException;
import magpiehub.http.HttpHead;
import magpiehub.http.HttpWriter;

/**
 * A client protocol: parses requests, and writes the responses that belong to no request. It keeps no state between
 * requests, and is safe for use by any thread.
 */
public interface ProtocolAdapter {
    /**
     * Parses a complete request.
     *
     * @param receivedAtMicros when its first byte came; its deadline counts from then on
     * @throws HttpException if it is no valid request of this protocol, with the status to answer it with
     */
    ProtocolExchange readRequest(HttpHead head, byte[] body, long receivedAtMicros) throws HttpException;

    /** Whether {@link ProtocolExchange#writeKeepAlive} writes anything in this protocol. */
    default boolean hasKeepAlive() {
        return false;
    }

    /**
     * Writes a complete error response.
     *
     * @param retryAfterMicros what {@code Retry-After} tells the client; 0 for no such header
     * @param close whether the connection ends with this response
     */
    void writeError(HttpWriter out, int status, String reason, long retryAfterMicros, boolean close);
}
