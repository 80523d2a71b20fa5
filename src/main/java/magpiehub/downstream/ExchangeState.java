package magpiehub.downstream;

/** The state of an exchange: PENDING, then RESPONDING if the response is a stream, then ENDED. */
enum ExchangeState {
    /** The request was read; no byte of the response has been written. An error response is still possible. */
    PENDING,
    /** The head of a response stream was written; only the end of that stream can follow. */
    RESPONDING,
    /** The last byte of the response was written to the connection's output; later messages are ignored. */
    ENDED;

    /** The state once the stream's head is written. */
    ExchangeState started() {
        if (this != PENDING) {
            throw new IllegalStateException("a response was started before");
        }
        return RESPONDING;
    }

    /** The state once the response's last byte is written, whether by the stream's end or by an error response. */
    ExchangeState ended() {
        return ENDED;
    }
}
