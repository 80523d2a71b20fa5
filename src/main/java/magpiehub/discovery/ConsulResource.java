package magpiehub.discovery;

import com.fasterxml.jackson.core.JsonParser;
import java.io.IOException;

/** A resource of Consul's HTTP API that holds an endpoint list: its request targets and the format of its entries. */
interface ConsulResource {
    /** Returns the target of a request for the complete list, a JSON array of objects. */
    String listTarget();

    /** Returns the target of a request whose response is small and carries the index of the complete list. */
    String indexTarget();

    /** Returns whether a response with status 404 means that the list is empty. */
    boolean isEmptyWhenNotFound();

    /**
     * Reads the entry that starts at the parser's current token.
     *
     * @return the entry, an unreadable item with the reason if the entry is invalid, or null if the object is not an
     *     entry
     */
    ListItem readEntry(JsonParser parser) throws IOException;

    /** Parses an index; returns 0 if the text is not a number. */
    static long parseIndex(String text) {
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException e) {
            return 0;
        }
    }
}
