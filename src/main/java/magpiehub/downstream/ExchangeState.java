package magpiehub.downstream;

/** How far an exchange is: PENDING, then RESPONDING if it is answered by a stream, then ENDED. */
enum ExchangeState {
    /** The request was read; no byte of the response has been written. An error response is still possible. */
    PENDING,
    /** The head of a response stream was written; only the stream's own end can follow. */
    RESPONDING,
    /** The last byte of the response was written to the connection's output; what is reported later is ignored. */
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
