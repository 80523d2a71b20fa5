package magpiehub.protocol;

import magpiehub.http.HttpResponses;
import magpiehub.http.HttpWriter;
import magpiehub.routing.RoutingRequest;

/** An exchange of the platform's protocol: forwards the upstream's events unchanged, one chunk each. */
final class PlatformExchange extends ProtocolExchange {
    private final PlatformProtocol protocol;
    private final boolean resumesStream;

    PlatformExchange(
            PlatformProtocol protocol,
            RoutingRequest request,
            String target,
            byte[] headers,
            byte[] body,
            boolean resumesStream) {
        super(request, target, headers, body);
        this.protocol = protocol;
        this.resumesStream = resumesStream;
    }

    @Override
    public boolean resumesStream() {
        return resumesStream;
    }

    @Override
    public void writeStart(HttpWriter out, boolean close) {
        HttpResponses.appendEventStreamHead(out, close);
    }

    @Override
    public void writeEvent(HttpWriter out, byte[] event) {
        out.appendChunk(event);
    }

    @Override
    public void writeEnd(HttpWriter out, boolean close) {
        out.appendLastChunk();
    }

    @Override
    public void writeStreamError(HttpWriter out, byte[] errorEvent) {
        if (errorEvent != null) {
            out.appendChunk(errorEvent);
        }
    }

    @Override
    public void writeRejection(HttpWriter out, long retryAfterMicros, boolean close) {
        protocol.writeError(out, 503, "refused", retryAfterMicros, close);
    }

    @Override
    public void writeFailure(HttpWriter out, String reason, boolean close) {
        protocol.writeError(out, 504, reason, 0, close);
    }
}
