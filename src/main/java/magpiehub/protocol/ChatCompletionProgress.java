package magpiehub.protocol;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import magpiehub.config.ConfigurationException;
import magpiehub.config.ConfigurationObject;

/** Accumulates the state of a chat completion stream and exposes it in the terms of the messages API. */
final class ChatCompletionProgress {
    private String stopReason = "end_turn";
    private volatile boolean finished;
    private long promptTokens;
    private long cachedTokens;
    private long completionTokens;

    /** Sets an estimate of the prompt's length, which is used until an event reports the actual one. */
    void estimatePromptTokens(long tokens) {
        promptTokens = tokens;
    }

    /**
     * Reads an event. Parsing stops silently where an event is not a valid chat completion; the upstream package
     * decides whether that is an error.
     *
     * @return the text of each choice, empty for choices without text
     */
    List<String> read(byte[] event) {
        List<String> texts = new ArrayList<>(1);
        try {
            ConfigurationObject data =
                    ConfigurationObject.parse(ServerSentEvents.data(event).getBytes(StandardCharsets.UTF_8), "event");
            for (ConfigurationObject choice : data.objects("choices")) {
                String text = choice.object("delta").text("content", "");
                readFinishReason(choice.text("finish_reason", ""));
                texts.add(text);
            }
            readUsage(data.object("usage"));
        } catch (IOException | ConfigurationException e) {
            return texts;
        }
        return texts;
    }

    private void readFinishReason(String reason) {
        if (!reason.isEmpty()) {
            finished = true;
        }
        stopReason = switch (reason) {
            case "length" -> "max_tokens";
            case "content_filter" -> "refusal";
            default -> stopReason;
        };
    }

    private void readUsage(ConfigurationObject usage) {
        promptTokens = (long) usage.number("prompt_tokens", (double) promptTokens);
        completionTokens = (long) usage.number("completion_tokens", (double) completionTokens);
        double cached = usage.object("prompt_tokens_details").number("cached_tokens", (double) cachedTokens);
        cachedTokens = Math.min(promptTokens, (long) cached);
    }

    /** The reason why the text ended, as a value of the messages API. */
    String stopReason() {
        return stopReason;
    }

    /** Whether the upstream has sent a finish reason; only usage and framing may follow. Thread-safe. */
    boolean isFinished() {
        return finished;
    }

    /** The usage object of the messages API, with the values known so far. */
    String usageJson() {
        return "{\"input_tokens\":" + (promptTokens - cachedTokens) + ",\"cache_read_input_tokens\":" + cachedTokens
                + ",\"output_tokens\":" + completionTokens + "}";
    }
}
