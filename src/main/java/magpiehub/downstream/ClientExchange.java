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
 * connection's actor and return at once. All others are called by the actor only.
 */
final class ClientExchange implements ClientCallback, StreamListener {
    private final ClientConnection connection;
    private final ProtocolExchange protocolExchange;
    private final StreamFlow flow;
    private ExchangeState state = ExchangeState.PENDING;

    ClientExchange(ClientConnection connection, ProtocolExchange protocolExchange, StreamFlow flow) {
        this.connection = connection;
        this.protocolExchange = protocolExchange;
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
    public void onFailure(byte[] errorEvent, StreamOutcome outcome) {
        connection.post(new ClientMessage.StreamFailed(this, errorEvent, outcome), 0);
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
        connection.post(new ClientMessage.StreamFailed(this, null, StreamOutcome.MIGRATED), 0);
    }

    @Override
    public boolean resumesStream() {
        return protocolExchange.resumesStream();
    }

    @Override
    public boolean mayEndEarly() {
        return protocolExchange.resumesStream() || protocolExchange.hasAllContent();
    }

    @Override
    public boolean isClientDisconnected() {
        return connection.isClientDisconnected();
    }

    // ---- Called by the actor ----------------------------------------------------------------------------

    String requestId() {
        return protocolExchange.request().id();
    }

    /** Whether no byte of the response has been written, so that an error response is still possible. */
    boolean isPending() {
        return state == ExchangeState.PENDING;
    }

    private boolean isResponding() {
        return state == ExchangeState.RESPONDING;
    }

    /**
     * Writes the head of a response stream. The state changes first, so that no error response can follow a write that
     * fails half-way.
     */
    void writeHead(HttpWriter out, boolean lastResponse) {
        state = state.started();
        protocolExchange.writeStart(out, lastResponse);
    }

    /** Writes an event of the stream. */
    void writeEvent(HttpWriter out, byte[] event) {
        protocolExchange.writeEvent(out, event);
    }

    /** Writes the end of a complete stream. */
    void writeEnd(HttpWriter out, boolean lastResponse) {
        protocolExchange.writeEnd(out, lastResponse);
    }

    /**
     * Writes the regular end of a stream that broke, if all of its essential content has been written and the protocol
     * allows for that.
     *
     * @return false, with nothing written, if this is not possible
     */
    boolean writeIncompleteEnd(HttpWriter out, boolean lastResponse) {
        return isResponding() && protocolExchange.tryWriteIncompleteEnd(out, lastResponse);
    }

    /**
     * Writes an error for a stream that broke, never the stream's regular end. The connection must be closed
     * afterwards.
     */
    void writeStreamFailure(HttpWriter out, byte[] errorEvent) {
        if (isResponding()) {
            protocolExchange.writeStreamError(out, errorEvent);
        } else {
            protocolExchange.writeFailure(out, "stream broke", true);
        }
    }

    /** Writes the response to a rejected request. */
    void writeRejection(HttpWriter out, long retryAfterMicros, boolean lastResponse) {
        protocolExchange.writeRejection(out, retryAfterMicros, lastResponse);
    }

    /** Writes the response to a failed request. */
    void writeFailure(HttpWriter out, String reason, boolean lastResponse) {
        protocolExchange.writeFailure(out, reason, lastResponse);
    }

    /** Writes a keep-alive, if the protocol has one and the response has begun. */
    void writeKeepAlive(HttpWriter out) {
        if (isResponding()) {
            protocolExchange.writeKeepAlive(out);
        }
    }

    void markEnded() {
        state = state.ended();
    }
}
