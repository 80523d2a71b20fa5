package magpiehub.simulator;

import magpiehub.routing.RoutingActions;

/** Appends the actions of one simulated router's policy to the reply, in the order in which they are taken. */
final class ReplyActions implements RoutingActions {
    private final int instance;
    private final Reply reply;

    ReplyActions(int instance, Reply reply) {
        this.instance = instance;
        this.reply = reply;
    }

    /** The simulator's protocol has no write deadline: there, an attempt is sent at the time of the decision. */
    @Override
    public void sendAttempt(String requestId, String replicaId, long timeoutMicros, long writeDeadlineMicros) {
        reply.add(new ReplyMessage.SendAttempt(instance, requestId, replicaId, timeoutMicros));
    }

    @Override
    public void cancelAttempt(String requestId, int attempt) {
        reply.add(new ReplyMessage.CancelAttempt(instance, requestId, attempt));
    }

    @Override
    public void reject(String requestId, long retryAfterMicros) {
        reply.add(new ReplyMessage.Reject(instance, requestId, retryAfterMicros));
    }

    @Override
    public void fail(String requestId) {
        reply.add(new ReplyMessage.Fail(instance, requestId));
    }

    @Override
    public void watchEndpoints() {
        reply.add(new ReplyMessage.SetWatch(instance, true));
    }

    @Override
    public void unwatchEndpoints() {
        reply.add(new ReplyMessage.SetWatch(instance, false));
    }

    @Override
    public void fetchEndpoints() {
        reply.add(new ReplyMessage.FetchEndpoints(instance));
    }

    @Override
    public void setTimer(long atMicros, long token) {
        reply.add(new ReplyMessage.SetTimer(instance, atMicros, token));
    }

    @Override
    public void sendHealthCheck(String replicaId) {
        reply.add(new ReplyMessage.SendHealthCheck(instance, replicaId));
    }

    @Override
    public void migrateStream(String requestId) {
        reply.add(new ReplyMessage.MigrateStream(instance, requestId));
    }

    @Override
    public void closeIdleConnections(String replicaId) {
        reply.add(new ReplyMessage.CloseIdleConnections(instance, replicaId));
    }

    @Override
    public void sendToPeer(int peer, byte[] payload) {
        // Copied because the reply is written only at the end of the batch.
        reply.add(new ReplyMessage.SendToPeer(instance, peer, payload.clone()));
    }

    @Override
    public void log(String line) {
        reply.add(new ReplyMessage.LogLine(instance, line));
    }
}
