package magpiehub.downstream;

import magpiehub.dispatch.ClientCallback;
import magpiehub.http.HttpWriter;
import magpiehub.protocol.ProtocolExchange;
import magpiehub.protocol.StreamListener;
import magpiehub.streaming.StreamFlow;
import magpiehub.streaming.StreamOutcome;

/**
 * One request of a connection and its response, as the dispatcher ({@link ClientCallback}) and the upstream side
 * ({@link StreamListener}) see it.
 *
 * <p><b>Threads.</b> The methods of these two interfaces may be called from any thread; they post a message to the
 * connection's actor and return at once. All others are for the actor's turns.
 */
final class ClientExchange implements ClientCallback, StreamListener {
    private final ClientConnection connection;
    private final ProtocolExchange call;
    private final StreamFlow flow;
    private ExchangeState state = ExchangeState.PENDING;

    ClientExchange(ClientConnection connection, ProtocolExchange call, StreamFlow flow) {
        this.connection = connection;
        this.call = call;
        this.flow = flow;
    }

    // ---- Any thread -----------------------------------------------------------------------------------

    @Override
    public StreamFlow flow() {
        return flow;
    }

    @Override
    public void onEvent(byte[] event) {
        connection.post(new ClientMessage.StreamEvent(this, event), event.length);
    }

    @Override
    public void onEnd() {
        connection.post(new ClientMessage.StreamCompleted(this), 0);
    }

    @Override
    public void onFailure(byte[] error, StreamOutcome why) {
        connection.post(new ClientMessage.StreamBroken(this, error, why), 0);
    }

    @Override
    public void reject(long retryAfterMicros) {
        connection.post(new ClientMessage.RequestRejected(this, retryAfterMicros), 0);
    }

    @Override
    public void fail(String reason) {
        connection.post(new ClientMessage.RequestFailed(this, reason), 0);
    }

    @Override
    public void migrate() {
        connection.post(new ClientMessage.StreamBroken(this, null, StreamOutcome.MIGRATED), 0);
    }

    @Override
    public boolean isClientDisconnected() {
        return connection.isClientGone();
    }

    // ---- The actor's turns ----------------------------------------------------------------------------

    String requestId() {
        return call.request().id();
    }

    /** Whether no byte of the response has been written, so that an error response is still possible. */
    boolean isPending() {
        return state == ExchangeState.PENDING;
    }

    private boolean isResponding() {
        return state == ExchangeState.RESPONDING;
    }

    /**
     * Writes the head of a response stream. The state changes first: if writing fails half-way, no error response may
     * follow.
     */
    void writeHead(HttpWriter out, boolean lastAnswer) {
        state = state.started();
        call.writeStart(out, lastAnswer);
    }

    /** Writes an event of the stream. */
    void writeEvent(HttpWriter out, byte[] event) {
        call.writeEvent(out, event);
    }

    /** Writes the end of a complete stream. */
    void writeEnd(HttpWriter out, boolean lastAnswer) {
        call.writeEnd(out, lastAnswer);
    }

    /**
     * Ends a broken stream in order, if all that matters of it has been written and the dialect can say so.
     *
     * @return false, with nothing written, if that is not so
     */
    boolean writeIncompleteEnd(HttpWriter out, boolean lastAnswer) {
        return isResponding() && call.tryWriteIncompleteEnd(out, lastAnswer);
    }

    /** Writes what says that the stream broke, never its end; the connection has to be closed afterwards. */
    void writeBroken(HttpWriter out, byte[] error) {
        if (isResponding()) {
            call.writeStreamError(out, error);
        } else {
            call.writeFailure(out, "stream broke", true);
        }
    }

    /** Writes the answer to a rejected request. */
    void writeRejection(HttpWriter out, long retryAfterMicros, boolean lastAnswer) {
        call.writeRejection(out, retryAfterMicros, lastAnswer);
    }

    /** Writes the answer to a failed request. */
    void writeFailure(HttpWriter out, String reason, boolean lastAnswer) {
        call.writeFailure(out, reason, lastAnswer);
    }

    /** Writes a sign of life, where the dialect has one and the response has begun. */
    void writeKeepAlive(HttpWriter out) {
        if (isResponding()) {
            call.writeKeepAlive(out);
        }
    }

    /** Marks the exchange as ended. */
    void markEnded() {
        state = state.ended();
    }
}
