package magpiehub.discovery;

import com.fasterxml.jackson.core.JsonParser;
import java.io.IOException;

/**
 * An etcd key with its value.
 *
 * @param key empty if the response does not contain it
 * @param value empty if the key was deleted or the request asked for keys only
 * @param modRevision the revision of the key's last modification; 0 if the response does not contain it
 */
record EtcdKeyValue(byte[] key, byte[] value, long modRevision) {
    private static final byte[] NO_BYTES = {};

    /** Reads the key-value object that starts at the parser's current token. */
    static EtcdKeyValue read(JsonParser parser) throws IOException {
        byte[] key = NO_BYTES;
        byte[] value = NO_BYTES;
        long modRevision = 0;
        JsonObjects.expectObject(parser);
        for (String name = JsonObjects.nextMember(parser); name != null; name = JsonObjects.nextMember(parser)) {
            switch (name) {
                case "key" -> key = parser.getBinaryValue();
                case "value" -> value = parser.getBinaryValue();
                case "mod_revision" -> modRevision = JsonObjects.readUnsignedLong(parser);
                default -> parser.skipChildren();
            }
        }
        return new EtcdKeyValue(key, value, modRevision);
    }
}
