package magpiehub.protocol;

import magpiehub.http.Http;
import magpiehub.routing.RoutingRequest;

/** An exchange of the platform's protocol: the upstream's events as they come, one chunk each. */
final class PlatformExchange extends ProtocolExchange {
    private final PlatformProtocol protocol;

    PlatformExchange(PlatformProtocol protocol, RoutingRequest request, String target, byte[] headers, byte[] body) {
        super(request, target, headers, body);
        this.protocol = protocol;
    }

    @Override
    public void writeStart(Http.Output out, boolean close) {
        Http.streamHead(out, close);
    }

    @Override
    public void writeEvent(Http.Output out, byte[] event) {
        out.chunk(event);
    }

    @Override
    public void writeEnd(Http.Output out, boolean close) {
        out.lastChunk();
    }

    @Override
    public void writeStreamError(Http.Output out, byte[] errorEvent) {
        if (errorEvent != null) {
            out.chunk(errorEvent);
        }
    }

    @Override
    public void writeRejection(Http.Output out, long retryAfterMicros, boolean close) {
        protocol.writeError(out, 503, "refused", retryAfterMicros, close);
    }

    @Override
    public void writeFailure(Http.Output out, String reason, boolean close) {
        protocol.writeError(out, 504, reason, 0, close);
    }
}
