package magpiehub.discovery;

import com.fasterxml.jackson.core.JsonParser;
import java.io.IOException;

/**
 * A key of etcd with its value.
 *
 * @param key empty if the response does not name it
 * @param value empty for a key that was deleted or whose value was not asked for
 * @param modRevision the revision of the key's last change; 0 if the response does not say
 */
record EtcdKeyValue(byte[] key, byte[] value, long modRevision) {
    private static final byte[] NO_BYTES = {};

    /** The key and value that the parser stands at the start of. */
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
