package magpiehub.protocol;

import java.nio.charset.StandardCharsets;
import java.util.List;
import magpiehub.http.HttpException;
import magpiehub.http.HttpLimits;

/** Translates the body of a messages request to the chat completion that upstreams get. */
final class MessagesTranslator {
    private MessagesTranslator() {}

    /**
     * The body for upstreams. It always asks for a stream with usage, whatever the client wants.
     *
     * @throws HttpException with status 413 if it is larger than upstreams take
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
        appendStops(json, request.stopSequences());
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

    private static void appendStops(StringBuilder json, List<String> stops) {
        for (int i = 0; i < stops.size(); i++) {
            json.append(i == 0 ? ",\"stop\":[" : ",").append(JsonText.quote(stops.get(i)));
        }
        json.append(stops.isEmpty() ? "" : "]");
    }

    private static void appendMessages(StringBuilder json, MessagesRequest request) {
        json.append(",\"messages\":[");
        if (!request.system().isEmpty()) {
            appendMessage(json, "system", request.system());
        }
        for (MessagesRequest.Message message : request.messages()) {
            appendMessage(json, message.role(), message.content());
        }
        json.setCharAt(json.length() - 1, ']'); // In place of the last comma: there is at least one message.
    }

    private static void appendMessage(StringBuilder json, String role, String content) {
        json.append("{\"role\":\"")
                .append(role)
                .append("\",\"content\":")
                .append(JsonText.quote(content))
                .append("},");
    }
}
