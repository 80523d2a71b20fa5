package magpiehub.downstream;

import java.io.IOException;
import java.io.OutputStream;
import magpiehub.concurrent.ActorThreadPool;
import magpiehub.http.HttpWriter;
import magpiehub.streaming.FlowController;
import magpiehub.streaming.StreamFlow;
import magpiehub.streaming.StreamOutcome;

/**
 * The writing side of one connection: its output buffer, and the accounting of the stream whose bytes are in it. A
 * stream's bytes count as passed, and its ending is reported, only once the socket has taken them.
 *
 * <p><b>Threads.</b> For the connection's actor; {@link #flow} may be called from any thread.
 */
final class ResponseWriter {
    /** With so many bytes buffered, they are written before the next message is handled. */
    private static final int FLUSH_BYTES = 16 * 1024;

    private final FlowController streams;
    private final HttpWriter out = new HttpWriter();
    /** The stream that {@link #out} holds bytes or the end of, until these are written; null if there is none. */
    private volatile StreamFlow flow;
    /** The stream's bytes in {@link #out}. */
    private long unwrittenStreamBytes;
    /** The stream's ending, once its last byte is in {@link #out}. */
    private StreamOutcome unwrittenEnding;

    ResponseWriter(FlowController streams) {
        this.streams = streams;
    }

    /** The buffer, to be written by {@link #flush}. */
    HttpWriter output() {
        return out;
    }

    /** The stream of the response that is being written, or null. */
    StreamFlow flow() {
        return flow;
    }

    /** Whether more may be buffered; not so behind a stream's end, which has to be reported first. */
    boolean acceptsMore() {
        return out.length() < FLUSH_BYTES && unwrittenEnding == null;
    }

    /** Makes a stream the one that is written, unless the end of the one before it has to be written first. */
    void openStream(StreamFlow opened) {
        if (unwrittenEnding == null) {
            flow = opened;
        }
    }

    /** Takes {@link #openStream} back: the stream has ended before any of its bytes. */
    void withdrawStream() {
        flow = unwrittenEnding == null ? null : flow;
    }

    /** Counts bytes of the stream that were buffered. */
    void addStreamBytes(int bytes) {
        unwrittenStreamBytes += bytes;
    }

    /** The last byte of the stream was buffered. */
    void endStream(StreamOutcome ending) {
        unwrittenEnding = ending;
    }

    /** Writes the buffer to the socket, and waits for the client to take it. */
    void flush(OutputStream socket) throws IOException {
        ActorThreadPool.enterBlockingCall();
        try {
            out.flushTo(socket, () -> streams.recordDelivered(flow, 0));
        } finally {
            ActorThreadPool.exitBlockingCall();
        }
    }

    /**
     * To be called once the socket has taken the whole buffer: reports the bytes that it took, and the stream's ending
     * if it was among them.
     *
     * @param next the stream of the request in progress, or null
     */
    void reportWritten(StreamFlow next) {
        if (unwrittenStreamBytes > 0) {
            streams.recordDelivered(flow, unwrittenStreamBytes);
            unwrittenStreamBytes = 0;
        }
        if (unwrittenEnding != null) {
            StreamFlow written = flow;
            flow = next;
            streams.endStream(written, unwrittenEnding);
            unwrittenEnding = null;
        }
    }

    /** Empties the buffer; for use after a failure. */
    void discard() {
        out.take();
    }

    /** Writes the buffer without the accounting of any stream; for use after {@link #discard}. */
    void flushUnreported(OutputStream socket) throws IOException {
        out.flushTo(socket);
    }
}
