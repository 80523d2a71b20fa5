package magpiehub.upstream;

import magpiehub.http.HttpWriter;
import magpiehub.protocol.ProtocolExchange;

/** Encodes the HTTP request that an upstream is sent for an attempt. */
final class UpstreamRequest {
    private static final long MICROS_PER_MILLI = 1000;

    private UpstreamRequest() {}

    /**
     * Returns the request's bytes.
     *
     * @param hostPort the upstream's address
     * @param timeLeftMicros the time until the attempt's deadline; the upstream is told 1 ms at least
     */
    static byte[] encode(ProtocolExchange call, String hostPort, long timeLeftMicros) {
        long timeLeftMillis = Math.max(1, timeLeftMicros / MICROS_PER_MILLI);
        return new HttpWriter()
                .append("POST " + call.target() + " HTTP/1.1\r\nHost: " + hostPort
                        + "\r\nContent-Type: application/json\r\nContent-Length: " + call.body().length
                        + "\r\nX-Call-Id: " + call.request().id() + "\r\nX-Budget-Ms: " + timeLeftMillis + "\r\n")
                .append(call.headers())
                .append("\r\n")
                .append(call.body())
                .take();
    }
}
