package magpiehub.upstream;

/**
 * How far the requests and responses on one socket have got. Each socket of a connection has its own, so that a reader
 * which has not noticed yet that its socket was closed can't affect the next one.
 *
 * <p><b>Threads.</b> The connection's actor records requests, the socket's {@link ResponseReader} records what it
 * reads, and any thread may ask.
 */
final class SocketProgress {
    private volatile int requestsWritten;
    private volatile boolean quiet;
    private volatile boolean inputPending;
    private volatile long eventProgressMicros;

    /** Records a request before it is written, since the reader checks responses against the number of requests. */
    @SuppressWarnings("NonAtomicVolatileUpdate") // Only the connection's actor writes the count.
    void recordRequest() {
        quiet = false;
        requestsWritten++;
    }

    /** The number of requests written on the socket. */
    int requestsWritten() {
        return requestsWritten;
    }

    /** Records that the reader has found nothing on the socket throughout the quiet period after a response. */
    void recordQuietPeriod() {
        quiet = true;
    }

    /** Records that bytes, or the end of the input, have been received. */
    void recordActivity() {
        quiet = false;
    }

    /** Records that the reader has taken bytes, or the end of the input, from the socket. */
    void recordInputTaken() {
        inputPending = true;
    }

    /** Records that the reader has posted the events that the bytes it has taken complete, or has ended. */
    void recordInputPosted() {
        inputPending = false;
    }

    /** Whether the reader has taken bytes from the socket and has not yet posted what they complete. */
    boolean isInputPending() {
        return inputPending;
    }

    /** Records that a considerable part of an event has been read. */
    void recordEventProgress(long nowMicros) {
        eventProgressMicros = nowMicros;
    }

    /** When a considerable part of an event was last read; 0 if none was. */
    long eventProgressMicros() {
        return eventProgressMicros;
    }

    /** Whether the quiet period after the last response has passed and nothing has been received since. */
    boolean isQuiet() {
        return quiet;
    }
}
