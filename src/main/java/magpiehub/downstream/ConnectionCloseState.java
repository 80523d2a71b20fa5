package magpiehub.downstream;

/**
 * The progress of closing a connection. There are three ways to close one, from the most graceful to the most abrupt;
 * the {@link ClientMessageHandler} selects one:
 *
 * <ol>
 *   <li>{@link #closeAfterResponse}: the request in progress is answered, with a head that announces the close, and
 *       then the connection lingers. Used if a request is in progress or arriving, which must be answered: the client
 *       has asked for the close or has closed its sending side; the soft limit of connections is exceeded; the client
 *       has sent a malformed request or pipelined too many requests. For a connection over capacity and while draining,
 *       each response is the last as well.
 *   <li>{@link #linger}: the sending side is shut down once everything is written, and the connection is closed at the
 *       end of the client's input or after a time limit. Used after the last response, including an error response that
 *       announces the close, and for idle connections: closing a socket with unread input would make the operating
 *       system reset the connection and destroy the response.
 *   <li>{@link #endNow}: the socket is closed in this turn. Used if nothing can or may follow: the client has
 *       disconnected or was disconnected; a write failed; a stream broke, which the client must not take for complete;
 *       a handler failed; the time limit for lingering has expired; or capacity is needed and the client has never sent
 *       a request.
 * </ol>
 *
 * <p>Used by the actor only.
 */
final class ConnectionCloseState {
    private final boolean overCapacity;
    private final DrainState drain;
    private boolean closesAfterResponse;
    private boolean lingering;
    private boolean ended;

    /** Creates the state of an open connection; one that is over capacity is closed after its first response. */
    ConnectionCloseState(boolean overCapacity, DrainState drain) {
        this.overCapacity = overCapacity;
        this.drain = drain;
    }

    /** Makes the response in progress, or else the next one, the last. */
    void closeAfterResponse() {
        closesAfterResponse = true;
    }

    /** Writes nothing beyond what is in the buffer, and waits only for the end of the client's input. */
    void linger() {
        lingering = true;
    }

    /** Closes the connection at the end of this turn. */
    void endNow() {
        ended = true;
    }

    /** Whether a response that is written now is the last. */
    boolean isLastResponse() {
        return overCapacity || lingering || closesAfterResponse || drain.closesAfterResponse();
    }

    /** Whether requests are only answered with a rejection for lack of capacity. */
    boolean isOverCapacity() {
        return overCapacity;
    }

    boolean isLingering() {
        return lingering;
    }

    boolean isEnded() {
        return ended;
    }
}
