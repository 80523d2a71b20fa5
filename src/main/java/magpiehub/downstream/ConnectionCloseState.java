package magpiehub.downstream;

/**
 * How far a connection is from its end. There are three ways to close one, from the gentlest to the hardest; each is
 * chosen in the {@link ClientMessageHandler}:
 *
 * <ol>
 *   <li>{@link #closeAfterAnswer}: the request in progress is answered, with a head that announces the close, and then
 *       the connection lingers. Chosen where a request is in progress or arriving, which is owed its answer: the client
 *       asked for it or has closed its sending side; the listener is crowded; the client has sent a malformed request
 *       or too many requests ahead. For a connection over capacity and while clients are sent away, each answer is the
 *       last as well.
 *   <li>{@link #linger}: the sending side is shut down once all is written, and the connection is closed at the
 *       client's end or after a time. Chosen after the last answer, a closing error answer included, and for idle
 *       connections: a close over bytes that nobody has read would make the system reset the connection and destroy the
 *       answer.
 *   <li>{@link #endNow}: the socket is closed in this turn. Chosen where nothing can or may follow: the client has gone
 *       or was cut; a write failed; a stream broke, which the client must not take for complete; a handler failed; the
 *       time for lingering is over; or capacity is needed and the client has never sent a request.
 * </ol>
 *
 * <p>For the actor's turns alone.
 */
final class ConnectionCloseState {
    private final boolean overCapacity;
    private final DrainState drain;
    private boolean closesAfterAnswer;
    private boolean lingering;
    private boolean ended;

    /** An open connection's; one that is over capacity is closed after its first answer. */
    ConnectionCloseState(boolean overCapacity, DrainState drain) {
        this.overCapacity = overCapacity;
        this.drain = drain;
    }

    /** Makes the answer in progress, or else the next one, the last. */
    void closeAfterAnswer() {
        closesAfterAnswer = true;
    }

    /** Nothing more is written than what is buffered; only the client's end is awaited. */
    void linger() {
        lingering = true;
    }

    /** The connection is closed at the end of this turn. */
    void endNow() {
        ended = true;
    }

    /** Whether an answer that is written now is the last. */
    boolean isLastAnswer() {
        return overCapacity || lingering || closesAfterAnswer || drain.closesConnections();
    }

    /** Whether requests are only answered that there is no capacity for them. */
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
