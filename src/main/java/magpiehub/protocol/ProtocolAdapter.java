package magpiehub.protocol;

import java.nio.charset.StandardCharsets;
import magpiehub.http.Http;
import magpiehub.routing.RoutingRequest;
import magpiehub.streaming.StreamFlow;
import magpiehub.streaming.StreamOutcome;

/**
 * What a client dialect is to the connections: it reads a request into the module's terms, and gives each
 * step of an answer its bytes. A front owns the words of its dialect and nothing else. It must never keep
 * state beyond one call, touch a socket, or decide what becomes of a request.
 */
public interface ProtocolAdapter {
    /** Reads a request whose last byte has come; {@code at} is when its first byte came. */
    Call read(Http.Head head, byte[] body, long at) throws Http.Bad;

    /** Whether {@link Call#alive} has words in this dialect. */
    default boolean tellsLife() {
        return false;
    }

    /** A whole answer to what is no request of this dialect, or can't be taken now. */
    void error(Http.Output out, int status, String why, long retryAfter, boolean close);

    /** One request of a client and its answer in the client's dialect; used from one actor's thread. */
    abstract class Call {
        /** The request in the module's terms. */
        public final RoutingRequest request;
        /** What engines are sent: the target, header lines of the client's own, and the body. */
        public final String target;

        public final byte[] headers;
        public final byte[] body;
        /** The stream that gets the events; set by the connection that took the request. */
        private volatile Sink sink;

        protected Call(RoutingRequest request, String target, byte[] headers, byte[] body) {
            this.request = request;
            this.target = target;
            this.headers = headers;
            this.body = body;
        }

        public final Sink sink() {
            return sink;
        }

        public final void sink(Sink to) {
            sink = to;
        }

        /** The head of a served answer, and what the dialect says before the first event. */
        public abstract void begin(Http.Output out, boolean close);

        /** One event of the engine's stream. */
        public abstract void event(Http.Output out, byte[] event);

        /** The end of a stream that is whole. */
        public abstract void end(Http.Output out, boolean close);

        /** The last words of a stream that broke: never its end. {@code error} is the engine's own, or
         * null. */
        public abstract void broken(Http.Output out, byte[] error);

        /** Ends in order a stream that is not whole, if what matters of it has come and this dialect has the
         *  words for it; false, with nothing written, if not. */
        public boolean saved(Http.Output out, boolean close) {
            return false;
        }

        /** A sign of life between two events, by which a reader that has gone is found; false, with nothing
         *  written, where the dialect has none. */
        public boolean alive(Http.Output out) {
            return false;
        }

        /** Turned away; a retry is harmless. */
        public abstract void refused(Http.Output out, long retryAfter, boolean close);

        /** Failed. */
        public abstract void failed(Http.Output out, String why, boolean close);
    }

    /** Where the events of a granted stream go: the client's actor. */
    interface Sink {
        void event(byte[] event);

        void end();

        /** The stream broke; {@code error} is the engine's error event, or null. */
        void broken(byte[] error, StreamOutcome why);

        /** The stream's account. */
        StreamFlow flow();
    }

    /** The event's data: what stands behind its {@code data:} fields. */
    static String data(byte[] event) {
        StringBuilder d = new StringBuilder();
        for (String line : new String(event, StandardCharsets.UTF_8).split("\r\n|\n|\r")) {
            if (line.startsWith("data:")) {
                d.append(d.length() > 0 ? "\n" : "").append(line.substring(line.startsWith("data: ") ? 6 : 5));
            }
        }
        return d.toString();
    }
}
