package magpiehub.simulator;

import java.util.Base64;
import magpiehub.routing.RoutingActions;

/** Writes the actions of one simulated router to the reply, in the order in which they are taken. */
final class ReplyActions implements RoutingActions {
    private static final String ALL_PEERS = "*";

    private final int instance;
    private final ReplyWriter reply;

    ReplyActions(int instance, ReplyWriter reply) {
        this.instance = instance;
        this.reply = reply;
    }

    @Override
    public void sendAttempt(String requestId, String replicaId, long timeoutMicros) {
        reply.startMessage("PASS_ON", instance).text("job", requestId).text("engine", replicaId);
        if (timeoutMicros != 0) {
            reply.millis("giveUpAfterMs", timeoutMicros);
        }
        reply.endMessage();
    }

    @Override
    public void cancelAttempt(String requestId, int attempt) {
        reply.startMessage("ABANDON", instance)
                .text("job", requestId)
                .number("n", attempt)
                .endMessage();
    }

    @Override
    public void reject(String requestId, long retryAfterMicros) {
        reply.startMessage("REJECT", instance).text("job", requestId);
        if (retryAfterMicros > 0) {
            reply.millis("comeBackMs", retryAfterMicros);
        }
        reply.endMessage();
    }

    @Override
    public void fail(String requestId) {
        reply.startMessage("DROP_REQUEST", instance).text("job", requestId).endMessage();
    }

    @Override
    public void watch() {
        reply.startMessage("LISTEN", instance).flag("on", true).endMessage();
    }

    @Override
    public void unwatch() {
        reply.startMessage("LISTEN", instance).flag("on", false).endMessage();
    }

    @Override
    public void fetch() {
        reply.startMessage("RESOLVE", instance).endMessage();
    }

    @Override
    public void setTimer(long atMicros, long token) {
        reply.startMessage("SCHEDULE", instance)
                .millis("alarmTimeMs", atMicros)
                .number("nonce", token)
                .endMessage();
    }

    @Override
    public void probe(String replicaId) {
        reply.startMessage("SAMPLE", instance).text("engine", replicaId).endMessage();
    }

    @Override
    public void migrateStream(String requestId) {
        reply.startMessage("GO_AWAY", instance).text("job", requestId).endMessage();
    }

    @Override
    public void closeIdleConnections(String replicaId) {
        reply.startMessage("CLOSE", instance).text("engine", replicaId).endMessage();
    }

    @Override
    public void sendToPeer(int peer, byte[] payload) {
        reply.startMessage("SHARE", instance);
        if (peer < 0) {
            reply.text("whom", ALL_PEERS);
        } else {
            reply.number("whom", peer);
        }
        reply.text("payload", Base64.getEncoder().encodeToString(payload)).endMessage();
    }

    @Override
    public void log(String line) {
        reply.startMessage("DEBUG", instance).text("bodyText", line).endMessage();
    }
}
