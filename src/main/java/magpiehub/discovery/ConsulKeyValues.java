package magpiehub.discovery;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.Base64;

/**
 * Reads the endpoint list from the values under a prefix of Consul's key-value store ({@code /v1/kv}).
 *
 * <p>Each value describes one endpoint in the JSON format of the platform's discovery service. If it has no id, the id
 * is the part of the key after the prefix.
 */
final class ConsulKeyValues implements ConsulResource {
    private final String path;
    private final int prefixLength;
    private final EndpointEntryParser entries;

    ConsulKeyValues(String prefix, EndpointEntryParser entries) {
        this.path = "/v1/kv/" + PercentEncoding.encode(prefix).replace("%2F", "/");
        this.prefixLength = prefix.length();
        this.entries = entries;
    }

    @Override
    public String listTarget() {
        return path + "?recurse";
    }

    /**
     * Lists only the keys up to the first separator. The response has a few bytes and carries the index of everything
     * below the prefix.
     */
    @Override
    public String indexTarget() {
        return path + "?keys&separator=%2F";
    }

    @Override
    public boolean isEmptyWhenNotFound() {
        return true;
    }

    @Override
    public ListItem readEntry(JsonParser parser) throws IOException {
        String key = "";
        String modifyIndex = "0";
        String value = "";
        JsonObjects.expectObject(parser);
        for (String name = JsonObjects.nextMember(parser); name != null; name = JsonObjects.nextMember(parser)) {
            switch (name) {
                case "Key" -> key = EndpointEntryParser.scalar(parser);
                case "ModifyIndex" -> modifyIndex = EndpointEntryParser.scalar(parser);
                case "Value" -> value =
                        parser.currentToken() == JsonToken.VALUE_NULL ? null : EndpointEntryParser.scalar(parser);
                default -> parser.skipChildren();
            }
        }
        if (key.endsWith("/") && value == null) {
            return null; // A folder created in Consul's user interface.
        }
        return parseEntry(key, ConsulResource.parseIndex(modifyIndex), value == null ? "" : value);
    }

    private ListItem parseEntry(String key, long modifyIndex, String base64) {
        try {
            byte[] json = Base64.getDecoder().decode(base64);
            String id = key.length() > prefixLength ? key.substring(prefixLength) : null;
            return ListItem.fromEntry(key, modifyIndex, entries.read(json, id));
        } catch (IOException | RuntimeException e) {
            return ListItem.unreadable(key, modifyIndex, JsonObjects.describe(e));
        }
    }
}
