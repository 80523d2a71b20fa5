package magpiehub.discovery;

import com.fasterxml.jackson.core.JsonParser;
import java.io.IOException;

/** A part of Consul's HTTP interface that holds an endpoint list: what is requested, and how an entry is read. */
interface ConsulResource {
    /** The target of a request for the complete list, an array of objects. */
    String listTarget();

    /** The target of a request whose response is small and carries the index of the complete list. */
    String indexTarget();

    /** Whether the status 404 stands for an empty list. */
    boolean isEmptyWhenNotFound();

    /**
     * Reads the entry that the parser stands at the start of. One that can't be understood gives an item that says
     * why; null is an object that is no entry.
     */
    ListItem readEntry(JsonParser parser) throws IOException;

    /** An index that Consul writes as a text or number; 0 where it is none. */
    static long parseIndex(String text) {
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException e) {
            return 0;
        }
    }
}
