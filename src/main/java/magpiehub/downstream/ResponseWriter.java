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
 * stream's bytes are reported as delivered, and its outcome is reported, only once they have been written to the
 * socket.
 *
 * <p><b>Threads.</b> Used by the connection's actor only, except for {@link #flow}, which may be called from any
 * thread.
 */
final class ResponseWriter {
    /** With this many bytes buffered, the buffer is flushed before the next message is handled. */
    private static final int FLUSH_BYTES = 16 * 1024;

    private final FlowController streams;
    private final HttpWriter out = new HttpWriter();
    /** The stream whose bytes or end are in {@link #out}, until they are written; null if there is none. */
    private volatile StreamFlow flow;
    /** The number of the stream's bytes in {@link #out}. */
    private long unwrittenStreamBytes;
    /** The stream's outcome, once its last byte is in {@link #out}; null before. */
    private StreamOutcome unwrittenOutcome;

    ResponseWriter(FlowController streams) {
        this.streams = streams;
    }

    /** Returns the buffer that {@link #flush} writes. */
    HttpWriter output() {
        return out;
    }

    /** Returns the stream of the response that is being written, or null. */
    StreamFlow flow() {
        return flow;
    }

    /** Whether more may be buffered. Nothing may follow a stream's end until that has been reported. */
    boolean canBufferMore() {
        return out.length() < FLUSH_BYTES && unwrittenOutcome == null;
    }

    /** Makes a stream the one that is written, unless the end of the previous one has to be written first. */
    void openStream(StreamFlow opened) {
        if (unwrittenOutcome == null) {
            flow = opened;
        }
    }

    /** Reverts {@link #openStream}: the stream has ended before any of its bytes were buffered. */
    void cancelStream() {
        flow = unwrittenOutcome == null ? null : flow;
    }

    /** Counts bytes of the stream that were added to the buffer. */
    void addStreamBytes(int bytes) {
        unwrittenStreamBytes += bytes;
    }

    /** Sets the stream's outcome; its last byte was added to the buffer. */
    void endStream(StreamOutcome outcome) {
        unwrittenOutcome = outcome;
    }

    /** Writes the buffer to the socket. Blocks until the client has read enough for the socket to accept it. */
    void flush(OutputStream socket) throws IOException {
        ActorThreadPool.enterBlockingCall();
        try {
            out.flushTo(socket, () -> streams.recordDelivered(flow, 0));
        } finally {
            ActorThreadPool.exitBlockingCall();
        }
    }

    /**
     * Reports the bytes that were written, and the stream's outcome if its end was among them. Called once the whole
     * buffer has been written to the socket.
     *
     * @param next the stream of the request in progress, or null
     */
    void reportWritten(StreamFlow next) {
        if (unwrittenStreamBytes > 0) {
            streams.recordDelivered(flow, unwrittenStreamBytes);
            unwrittenStreamBytes = 0;
        }
        if (unwrittenOutcome != null) {
            StreamFlow written = flow;
            flow = next;
            streams.endStream(written, unwrittenOutcome);
            unwrittenOutcome = null;
        }
    }

    /** Discards the buffer's contents; used after a failure. */
    void discard() {
        out.take();
    }

    /** Writes the buffer without reporting bytes of any stream; used after {@link #discard}. */
    void flushWithoutAccounting(OutputStream socket) throws IOException {
        out.flushTo(socket);
    }
}
