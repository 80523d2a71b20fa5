package magpiehub.upstream;

import magpiehub.http.HttpWriter;
import magpiehub.protocol.ProtocolExchange;

/** Encodes the HTTP request that is sent to an upstream for an attempt. */
final class UpstreamRequest {
    private static final long MICROS_PER_MILLI = 1000;

    private UpstreamRequest() {}

    /**
     * Encodes the request.
     *
     * @param hostPort the upstream's address
     * @param timeLeftMicros the time until the attempt's deadline; sent as at least 1 ms
     */
    static byte[] encode(ProtocolExchange exchange, String hostPort, long timeLeftMicros) {
        long timeLeftMillis = Math.max(1, timeLeftMicros / MICROS_PER_MILLI);
        return new HttpWriter()
                .append("POST " + exchange.target() + " HTTP/1.1\r\nHost: " + hostPort
                        + "\r\nContent-Type: application/json\r\nContent-Length: " + exchange.body().length
                        + "\r\nX-Call-Id: " + exchange.request().id() + "\r\nX-Budget-Ms: " + timeLeftMillis + "\r\n")
                .append(exchange.headers())
                .append("\r\n")
                .append(exchange.body())
                .take();
    }
}
