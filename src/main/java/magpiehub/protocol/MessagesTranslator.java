package magpiehub.protocol;

import java.nio.charset.StandardCharsets;
import java.util.List;
import magpiehub.http.HttpException;
import magpiehub.http.HttpLimits;

/** Translates the body of a messages request to a chat completion request for upstreams. */
final class MessagesTranslator {
    private MessagesTranslator() {}

    /**
     * Returns the body for upstreams. It always requests a stream with usage, even if the client did not.
     *
     * @throws HttpException with status 413 if the body exceeds the limit of upstreams
     */
    static byte[] toChatCompletion(MessagesRequest request) throws HttpException {
        StringBuilder json = new StringBuilder(256 + request.system().length());
        json.append("{\"model\":")
                .append(JsonText.quote(request.model()))
                .append(",\"stream\":true,\"stream_options\":")
                .append("{\"include_usage\":true},\"max_tokens\":")
                .append((long) request.maxTokens());
        appendNumber(json, "temperature", request.temperature());
        appendNumber(json, "top_p", request.topP());
        appendStopSequences(json, request.stopSequences());
        appendMessages(json, request);
        byte[] body = json.append('}').toString().getBytes(StandardCharsets.UTF_8);
        if (body.length > HttpLimits.MAX_BODY_BYTES) {
            throw new HttpException(413, "body too large");
        }
        return body;
    }

    private static void appendNumber(StringBuilder json, String name, Double value) {
        if (value != null) {
            json.append(",\"").append(name).append("\":").append(value.doubleValue());
        }
    }

    private static void appendStopSequences(StringBuilder json, List<String> stopSequences) {
        for (int i = 0; i < stopSequences.size(); i++) {
            json.append(i == 0 ? ",\"stop\":[" : ",").append(JsonText.quote(stopSequences.get(i)));
        }
        json.append(stopSequences.isEmpty() ? "" : "]");
    }

    private static void appendMessages(StringBuilder json, MessagesRequest request) {
        json.append(",\"messages\":[");
        if (!request.system().isEmpty()) {
            appendMessage(json, "system", request.system());
        }
        for (MessagesRequest.Message message : request.messages()) {
            appendMessage(json, message.role(), message.content());
        }
        json.setCharAt(json.length() - 1, ']'); // Replaces the trailing comma; there is at least one message.
    }

    private static void appendMessage(StringBuilder json, String role, String content) {
        json.append("{\"role\":\"")
                .append(role)
                .append("\",\"content\":")
                .append(JsonText.quote(content))
                .append("},");
    }
}
