package magpiehub.protocol;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import magpiehub.config.ConfigurationException;
import magpiehub.config.ConfigurationObject;

/** What the events of a chat completion's stream have said so far, in the terms of the messages API. */
final class ChatCompletionProgress {
    private String stopReason = "end_turn";
    private boolean finished;
    private long promptTokens;
    private long cachedTokens;
    private long completionTokens;

    /** Sets an estimate of the prompt's length, which holds until an event says it. */
    void estimatePromptTokens(long tokens) {
        promptTokens = tokens;
    }

    /**
     * Reads an event. One that is no chat completion changes nothing more from where it can't be read on; whether it is
     * a fault is judged by the upstream's side.
     *
     * @return the text of each choice, empty where it has none
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
        finished |= !reason.isEmpty();
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

    /** Why the text has ended, as the messages API names it. */
    String stopReason() {
        return stopReason;
    }

    /** Whether the upstream has said why its text is over: what may still come is usage and framing. */
    boolean isFinished() {
        return finished;
    }

    /** The API's usage object, as far as known. */
    String usageJson() {
        return "{\"input_tokens\":" + (promptTokens - cachedTokens) + ",\"cache_read_input_tokens\":" + cachedTokens
                + ",\"output_tokens\":" + completionTokens + "}";
    }
}
