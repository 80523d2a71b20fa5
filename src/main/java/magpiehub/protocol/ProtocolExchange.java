package magpiehub.protocol;

import magpiehub.http.HttpWriter;
import magpiehub.routing.RoutingRequest;

/**
 * One request of a client, and its response in the client's protocol. The methods that write are called by the client
 * connection's actor alone; the request may be read by any thread.
 */
public abstract class ProtocolExchange {
    private final RoutingRequest request;
    private final String target;
    private final byte[] headers;
    private final byte[] body;
    private volatile StreamListener streamListener;

    /**
     * An exchange that nothing has been written for.
     *
     * @param target the target of the request to upstreams
     * @param headers the client's header lines that upstreams get, as bytes
     * @param body the body of the request to upstreams
     */
    protected ProtocolExchange(RoutingRequest request, String target, byte[] headers, byte[] body) {
        this.request = request;
        this.target = target;
        this.headers = headers;
        this.body = body;
    }

    /** The request as routing decisions see it. */
    public final RoutingRequest request() {
        return request;
    }

    /** The target of the request to upstreams. */
    public final String target() {
        return target;
    }

    /** The client's header lines that upstreams get, each with its line end. Not a copy. */
    public final byte[] headers() {
        return headers;
    }

    /** The body of the request to upstreams. Not a copy. */
    public final byte[] body() {
        return body;
    }

    /** What gets the events of the upstream's stream. */
    public final StreamListener streamListener() {
        return streamListener;
    }

    /** Sets what gets the events; called by the client's connection, before the request is submitted. */
    public final void setStreamListener(StreamListener listener) {
        streamListener = listener;
    }

    /** Writes the head of a successful response, and what the protocol has before the first event. */
    public abstract void writeStart(HttpWriter out, boolean close);

    /** Writes one event of the upstream's stream. */
    public abstract void writeEvent(HttpWriter out, byte[] event);

    /** Writes the end of a complete stream. */
    public abstract void writeEnd(HttpWriter out, boolean close);

    /**
     * Writes the last bytes of a stream that failed, which must not look like the end of a complete one.
     *
     * @param errorEvent the upstream's error event, or null
     */
    public abstract void writeStreamError(HttpWriter out, byte[] errorEvent);

    /**
     * Ends an incomplete stream in order, if all that matters of it has come and the protocol has a form for that.
     *
     * @return false, with nothing written, if not
     */
    public boolean tryWriteIncompleteEnd(HttpWriter out, boolean close) {
        return false;
    }

    /**
     * Writes a keep-alive between two events, which makes a client that has gone answer with a reset.
     *
     * @return false, with nothing written, if the protocol has none
     */
    public boolean writeKeepAlive(HttpWriter out) {
        return false;
    }

    /** Writes that the request is rejected; no upstream has begun it, so a retry is harmless. */
    public abstract void writeRejection(HttpWriter out, long retryAfterMicros, boolean close);

    /** Writes that the request has failed. */
    public abstract void writeFailure(HttpWriter out, String reason, boolean close);
}
