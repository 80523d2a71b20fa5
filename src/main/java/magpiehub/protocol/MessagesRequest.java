package magpiehub.protocol;

import java.util.ArrayList;
import java.util.List;
import magpiehub.config.ConfigurationObject;
import magpiehub.http.HttpException;

/** The body of a request of the messages API. */
final class MessagesRequest {
    /** One message of the conversation. */
    record Message(String role, String content) {}

    private final ConfigurationObject body;
    private final String model;
    private final double maxTokens;
    private final String system;
    private final Double temperature;
    private final Double topP;
    private final List<String> stopSequences;
    private final List<Message> messages = new ArrayList<>();

    /**
     * Parses a request body.
     *
     * @throws HttpException with status 400 if a required member is missing or a value can't be translated
     * @throws magpiehub.config.ConfigurationException if a value has the wrong type
     */
    MessagesRequest(ConfigurationObject body) throws HttpException {
        this.body = body;
        model = body.text("model", null);
        maxTokens = body.number("max_tokens", 0);
        List<ConfigurationObject> entries = body.objects("messages");
        if (model == null || maxTokens < 1 || entries.isEmpty()) {
            throw new HttpException(400, "model, max_tokens and messages are required");
        }
        system = readText(body, "system");
        temperature = readOptionalNumber("temperature");
        topP = readOptionalNumber("top_p");
        stopSequences = body.texts("stop_sequences");
        for (ConfigurationObject entry : entries) {
            messages.add(readMessage(entry));
        }
    }

    /** Returns null if the key is absent, and 1 if its value is null. */
    private Double readOptionalNumber(String key) {
        return body.map().containsKey(key) ? Double.valueOf(body.number(key, 1)) : null;
    }

    private static Message readMessage(ConfigurationObject entry) throws HttpException {
        String role = entry.text("role", "");
        if (!role.equals("user") && !role.equals("assistant")) {
            throw new HttpException(400, "messages.role must be user or assistant");
        }
        return new Message(role, readText(entry, "content"));
    }

    /** Returns a string, or the concatenated text of a list of blocks. Upstreams support text blocks only. */
    private static String readText(ConfigurationObject object, String key) throws HttpException {
        Object value = object.map().get(key);
        if (value == null) {
            return "";
        }
        if (value instanceof String text) {
            return text;
        }
        StringBuilder text = new StringBuilder();
        for (ConfigurationObject block : object.objects(key)) {
            if (!block.text("type", "").equals("text")) {
                throw new HttpException(400, key + " may hold text blocks only");
            }
            text.append(block.text("text", ""));
        }
        return text.toString();
    }

    String model() {
        return model;
    }

    double maxTokens() {
        return maxTokens;
    }

    /** The system prompt; empty if there is none. */
    String system() {
        return system;
    }

    /** Null if the request has none. */
    Double temperature() {
        return temperature;
    }

    /** Null if the request has none. */
    Double topP() {
        return topP;
    }

    List<String> stopSequences() {
        return stopSequences;
    }

    /** The messages of the conversation; never empty. */
    List<Message> messages() {
        return messages;
    }

    /** The number of characters in the system prompt and all messages. */
    long characters() {
        long characters = system.length();
        for (Message message : messages) {
            characters += message.content().length();
        }
        return characters;
    }

    /** The id of the end user; empty if there is none. Parsed lazily, so that header errors are reported first. */
    String userId() {
        return body.object("metadata").text("user_id", "");
    }

    /** Whether the client requests a stream. Parsed lazily, so that header errors are reported first. */
    boolean wantsStream() {
        return body.flag("stream", false);
    }
}
