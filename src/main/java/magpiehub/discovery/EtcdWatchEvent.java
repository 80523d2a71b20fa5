package magpiehub.discovery;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import magpiehub.config.ConfigurationException;

/** A change of one key that a watch reports: it was put, or deleted. */
record EtcdWatchEvent(EtcdKeyValue keyValue, boolean isDelete) {
    /** The number of DELETE in etcd's enumeration of event types. */
    private static final int TYPE_DELETE = 1;

    /**
     * The event that the parser stands at the start of.
     *
     * @throws ConfigurationException if it lacks the key or its revision
     */
    static EtcdWatchEvent read(JsonParser parser) throws IOException {
        EtcdKeyValue keyValue = null;
        boolean isDelete = false;
        JsonObjects.expectObject(parser);
        for (String name = JsonObjects.nextMember(parser); name != null; name = JsonObjects.nextMember(parser)) {
            switch (name) {
                case "type" -> isDelete = readIsDelete(parser);
                case "kv" -> keyValue = EtcdKeyValue.read(parser);
                default -> parser.skipChildren();
            }
        }
        if (keyValue == null || keyValue.modRevision() <= 0) {
            throw new ConfigurationException("an event without a key and its revision");
        }
        return new EtcdWatchEvent(keyValue, isDelete);
    }

    /** The gateway writes the type's name or number, and leaves out PUT, which is 0. */
    private static boolean readIsDelete(JsonParser parser) throws IOException {
        return parser.currentToken() == JsonToken.VALUE_STRING
                ? parser.getText().equals("DELETE")
                : parser.getIntValue() == TYPE_DELETE;
    }
}
