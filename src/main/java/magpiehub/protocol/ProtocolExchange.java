package magpiehub.protocol;

import magpiehub.http.HttpWriter;
import magpiehub.routing.RoutingRequest;

/**
 * One request of a client, and its response in the client's protocol. Only the client connection's actor calls the
 * methods that write; the request may be read from any thread.
 */
public abstract class ProtocolExchange {
    private final RoutingRequest request;
    private final String target;
    private final byte[] headers;
    private final byte[] body;
    private volatile StreamListener streamListener;

    /**
     * Creates an exchange for which nothing has been written.
     *
     * @param target the target of the request to upstreams
     * @param headers the client's header lines that are forwarded to upstreams, as bytes
     * @param body the body of the request to upstreams
     */
    protected ProtocolExchange(RoutingRequest request, String target, byte[] headers, byte[] body) {
        this.request = request;
        this.target = target;
        this.headers = headers;
        this.body = body;
    }

    /** The request as routing sees it. */
    public final RoutingRequest request() {
        return request;
    }

    /** The target of the request to upstreams. */
    public final String target() {
        return target;
    }

    /** The client's header lines that are forwarded to upstreams, each with its line end. Not a copy. */
    public final byte[] headers() {
        return headers;
    }

    /** The body of the request to upstreams. Not a copy. */
    public final byte[] body() {
        return body;
    }

    /** Whether the client requests the rest of this stream if it ends before it is complete. */
    public boolean resumesStream() {
        return false;
    }

    /**
     * Whether all content of the stream has been written, so that {@link #tryWriteIncompleteEnd} can end it. May be
     * called from any thread.
     */
    public boolean hasAllContent() {
        return false;
    }

    /** The listener for the events of the upstream's stream. */
    public final StreamListener streamListener() {
        return streamListener;
    }

    /** Sets the listener for events. Called by the client's connection, before the request is submitted. */
    public final void setStreamListener(StreamListener listener) {
        streamListener = listener;
    }

    /** Writes the head of a successful response, and whatever the protocol sends before the first event. */
    public abstract void writeStart(HttpWriter out, boolean close);

    /** Writes one event of the upstream's stream. */
    public abstract void writeEvent(HttpWriter out, byte[] event);

    /** Writes the end of a complete stream. */
    public abstract void writeEnd(HttpWriter out, boolean close);

    /**
     * Writes the last bytes of a failed stream, which must not look like the end of a complete one.
     *
     * @param errorEvent the upstream's error event, or null
     */
    public abstract void writeStreamError(HttpWriter out, byte[] errorEvent);

    /**
     * Ends an incomplete stream like a complete one, if all of its content has arrived and the protocol permits it.
     *
     * @return false if nothing was written
     */
    public boolean tryWriteIncompleteEnd(HttpWriter out, boolean close) {
        return false;
    }

    /**
     * Writes a keep-alive between two events; a disconnected client answers it with a TCP reset.
     *
     * @return false if the protocol has no keep-alive and nothing was written
     */
    public boolean writeKeepAlive(HttpWriter out) {
        return false;
    }

    /** Writes a rejection of the request, which no upstream has started, so that it can safely be retried. */
    public abstract void writeRejection(HttpWriter out, long retryAfterMicros, boolean close);

    /** Writes an error response for a failed request. */
    public abstract void writeFailure(HttpWriter out, String reason, boolean close);
}
