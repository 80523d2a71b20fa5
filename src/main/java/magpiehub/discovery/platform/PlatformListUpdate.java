package magpiehub.discovery.platform;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import magpiehub.config.ConfigurationException;
import magpiehub.config.EndpointEntry;
import magpiehub.config.EndpointListParser;
import magpiehub.config.Json;
import magpiehub.discovery.EndpointEntryParser;
import magpiehub.discovery.ListItem;
import magpiehub.discovery.ListPosition;
import magpiehub.routing.EndpointState;

/**
 * A complete list or a set of changes, as sent by discovery.
 *
 * @param revision the list's revision; -1 if discovery sent none
 * @param complete whether it is a complete list
 */
record PlatformListUpdate(long revision, boolean complete, List<EndpointEntry> entries) {
    /**
     * Parses the JSON object whose start the parser is positioned at.
     *
     * @throws ConfigurationException if it is not a valid list
     */
    static PlatformListUpdate parse(JsonParser json, EndpointEntryParser entryParser) throws IOException {
        if (json.currentToken() != JsonToken.START_OBJECT) {
            throw new ConfigurationException("must be an object");
        }
        long revision = -1;
        boolean complete = false;
        List<EndpointEntry> entries = null;
        while (json.nextToken() == JsonToken.FIELD_NAME) {
            String name = json.currentName();
            json.nextToken();
            switch (name) {
                case "revision" -> revision = (long) Json.requireNumber(json, name);
                case "complete" -> complete = json.getValueAsBoolean(false);
                case "members" -> entries = EndpointListParser.parse(json, entryParser);
                default -> json.skipChildren();
            }
        }
        if (entries == null && complete) {
            // Prevents a response without any members field from emptying the current list.
            throw new ConfigurationException("members is missing");
        }
        return new PlatformListUpdate(revision, complete, entries == null ? List.of() : entries);
    }

    /** The position that the list has after this update. */
    ListPosition position() {
        return new ListPosition("", 0, revision);
    }

    /** The entries as list items; their keys are the endpoint ids. */
    List<ListItem> items() {
        List<ListItem> items = new ArrayList<>(entries.size());
        for (EndpointEntry entry : entries) {
            String id = entry.endpoint().id();
            items.add(
                    entry.endpoint().state() == EndpointState.DEAD
                            ? ListItem.removed(id, 0)
                            : ListItem.of(id, 0, entry));
        }
        return items;
    }
}
