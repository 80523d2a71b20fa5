package magpiehub.discovery;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import magpiehub.config.ConfigurationException;

/** An event of a watch: one key was put or deleted. */
record EtcdWatchEvent(EtcdKeyValue keyValue, boolean isDelete) {
    /** The numeric value of DELETE in etcd's event type enum. */
    private static final int TYPE_DELETE = 1;

    /**
     * Reads the event that starts at the parser's current token.
     *
     * @throws ConfigurationException if the event has no key or no modification revision
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
            throw new ConfigurationException("etcd watch event has no key or no mod_revision");
        }
        return new EtcdWatchEvent(keyValue, isDelete);
    }

    /** The gateway writes the type as a name or a number, and omits PUT, whose number is 0. */
    private static boolean readIsDelete(JsonParser parser) throws IOException {
        return parser.currentToken() == JsonToken.VALUE_STRING
                ? parser.getText().equals("DELETE")
                : parser.getIntValue() == TYPE_DELETE;
    }
}
