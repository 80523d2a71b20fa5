package magpiehub.protocol;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import magpiehub.config.ConfigurationException;
import magpiehub.config.ConfigurationObject;
import magpiehub.http.HttpResponses;
import magpiehub.http.HttpWriter;
import magpiehub.routing.RoutingRequest;

/**
 * An exchange of the messages API: a stream of {@code message_start}, {@code content_block_delta},
 * {@code message_delta} and {@code message_stop}, or one complete message. Neither {@code message_stop} nor a
 * complete message is written unless the upstream's stream is complete, or has at least sent its finish reason.
 */
final class MessagesExchange extends ProtocolExchange {
    private static final int INTERNAL_SERVER_ERROR = 500;
    private static final String UNKNOWN_REASON = "no reason given";

    private final MessagesProtocol protocol;
    private final String model;
    private final boolean streams;
    /** The text so far, if the client did not request a stream. */
    private final StringBuilder text = new StringBuilder();

    private final ChatCompletionProgress progress = new ChatCompletionProgress();

    MessagesExchange(
            MessagesProtocol protocol,
            RoutingRequest request,
            byte[] headers,
            byte[] body,
            String model,
            boolean streams) {
        super(request, PlatformProtocol.PATH, headers, body);
        this.protocol = protocol;
        this.model = model;
        this.streams = streams;
    }

    /** Writes an event; {@code members} follow its type member and begin with a comma. */
    private static void writeApiEvent(HttpWriter out, String type, String members) {
        out.appendChunk(("event: " + type + "\ndata: {\"type\":\"" + type + '"' + members + "}\n\n")
                .getBytes(StandardCharsets.UTF_8));
    }

    private String messageJson(String content, String stopReason) {
        return "{\"id\":\"msg_" + request().id()
                + "\",\"type\":\"message\",\"role\":\"assistant\",\"model\":"
                + JsonText.quote(model) + ",\"content\":[" + content + "],\"stop_reason\":" + stopReason
                + ",\"stop_sequence\":null,\"usage\":" + progress.usageJson() + "}";
    }

    @Override
    public void writeStart(HttpWriter out, boolean close) {
        if (streams) {
            progress.estimatePromptTokens((long) request().promptTokens());
            HttpResponses.appendEventStreamHead(out, close);
            writeApiEvent(out, "message_start", ",\"message\":" + messageJson("", "null"));
            writeApiEvent(
                    out, "content_block_start", ",\"index\":0,\"content_block\":{\"type\":\"text\",\"text\":\"\"}");
        }
    }

    @Override
    public void writeEvent(HttpWriter out, byte[] event) {
        if (ServerSentEvents.isComment(event)) {
            writeKeepAlive(out);
            return;
        }
        for (String delta : progress.read(event)) {
            addText(out, delta);
        }
    }

    private void addText(HttpWriter out, String delta) {
        if (!delta.isEmpty() && streams) {
            String members = ",\"index\":0,\"delta\":{\"type\":\"text_delta\",\"text\":" + JsonText.quote(delta) + "}";
            writeApiEvent(out, "content_block_delta", members);
        } else {
            text.append(delta);
        }
    }

    @Override
    public void writeEnd(HttpWriter out, boolean close) {
        if (!streams) {
            writeMessage(out, close);
            return;
        }
        writeApiEvent(out, "content_block_stop", ",\"index\":0");
        writeApiEvent(
                out,
                "message_delta",
                ",\"delta\":{\"stop_reason\":" + JsonText.quote(progress.stopReason())
                        + ",\"stop_sequence\":null},\"usage\":" + progress.usageJson());
        writeApiEvent(out, "message_stop", "");
        out.appendLastChunk();
    }

    private void writeMessage(HttpWriter out, boolean close) {
        String content = "{\"type\":\"text\",\"text\":" + JsonText.quote(text.toString()) + "}";
        byte[] body =
                messageJson(content, JsonText.quote(progress.stopReason())).getBytes(StandardCharsets.UTF_8);
        HttpResponses.append(out, 200, "application/json", body, close);
    }

    @Override
    public boolean hasAllContent() {
        return progress.isFinished();
    }

    @Override
    public boolean tryWriteIncompleteEnd(HttpWriter out, boolean close) {
        if (hasAllContent()) {
            writeEnd(out, close);
        }
        return hasAllContent();
    }

    @Override
    public boolean writeKeepAlive(HttpWriter out) {
        if (streams) {
            writeApiEvent(out, "ping", "");
        }
        return streams;
    }

    @Override
    public void writeStreamError(HttpWriter out, byte[] errorEvent) {
        String reason = errorEvent == null ? "the stream broke" : "the engine failed: " + reasonOf(errorEvent);
        if (streams) {
            String error = MessagesProtocol.errorJson(INTERNAL_SERVER_ERROR, reason);
            out.appendChunk(("event: error\ndata: " + error + "\n\n").getBytes(StandardCharsets.UTF_8));
        } else {
            protocol.writeError(out, INTERNAL_SERVER_ERROR, reason, 0, true);
        }
    }

    private static String reasonOf(byte[] errorEvent) {
        try {
            byte[] data = ServerSentEvents.data(errorEvent).getBytes(StandardCharsets.UTF_8);
            return ConfigurationObject.parse(data, "event").object("error").text("message", UNKNOWN_REASON);
        } catch (IOException | ConfigurationException e) {
            return UNKNOWN_REASON;
        }
    }

    @Override
    public void writeRejection(HttpWriter out, long retryAfterMicros, boolean close) {
        protocol.writeError(out, 503, "refused", retryAfterMicros, close);
    }

    @Override
    public void writeFailure(HttpWriter out, String reason, boolean close) {
        protocol.writeError(out, 504, reason, 0, close);
    }
}
