package magpiehub.store;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import magpiehub.config.ConfigurationObject;
import magpiehub.config.Json;

/**
 * The wire format of a {@link StoreMessage}: one line with a JSON object. Its members are {@code key}, {@code value}
 * (absent if the key is removed), {@code count} (the timestamp's counter, as a string) and {@code by} (the timestamp's
 * replica). An operator's write has neither {@code count} nor {@code by}. A message about a snapshot has {@code
 * snapshot} alone, {@code request} or {@code end}.
 */
final class StoreMessageCodec {
    /** Longest line that is accepted, without its line feed. */
    static final int MAX_LINE_BYTES = 256 * 1024;

    private static final String SNAPSHOT = "snapshot";
    private static final String SNAPSHOT_REQUEST = "request";
    private static final String SNAPSHOT_END = "end";

    private StoreMessageCodec() {}

    /** Writes the members of one message. */
    private interface MemberWriter {
        void write(JsonGenerator json) throws IOException;
    }

    /** Returns the line, with its line feed, that replicates a write. */
    static byte[] encode(String key, VersionedValue write) {
        return encodeLine(json -> {
            json.writeStringField("key", key);
            if (write.value() != null) {
                json.writeStringField("value", write.value());
            }
            json.writeStringField("count", Long.toString(write.timestamp().counter()));
            json.writeStringField("by", write.timestamp().replica());
        });
    }

    /** Returns the line, with its line feed, of a {@link StoreMessage.SnapshotRequest}. */
    static byte[] encodeSnapshotRequest() {
        return encodeLine(json -> json.writeStringField(SNAPSHOT, SNAPSHOT_REQUEST));
    }

    /** Returns the line, with its line feed, of a {@link StoreMessage.SnapshotEnd}. */
    static byte[] encodeSnapshotEnd() {
        return encodeLine(json -> json.writeStringField(SNAPSHOT, SNAPSHOT_END));
    }

    private static byte[] encodeLine(MemberWriter members) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try (JsonGenerator json = Json.FACTORY.createGenerator(out)) {
            json.writeStartObject();
            members.write(json);
            json.writeEndObject();
        } catch (IOException e) {
            // Can't happen: the stream is in memory.
            throw new IllegalStateException(e);
        }
        out.write('\n');
        return out.toByteArray();
    }

    /**
     * Parses a line without its line feed.
     *
     * @throws IOException if the line is not JSON, has no key or names no known snapshot message
     * @throws RuntimeException if a member has the wrong type or the counter is not a number
     */
    static StoreMessage decode(byte[] line) throws IOException {
        ConfigurationObject object = ConfigurationObject.parse(line, "store");
        String snapshot = object.text(SNAPSHOT, null);
        if (snapshot != null) {
            return decodeSnapshotMessage(snapshot);
        }
        String key = object.text("key", null);
        String replica = object.text("by", null);
        if (key == null) {
            throw new IOException("message has no key");
        }
        String value = object.text("value", null);
        if (replica == null) {
            return new StoreMessage.OperatorWrite(key, value);
        }
        long counter = Long.parseLong(object.text("count", ""));
        return new StoreMessage.ReplicatedWrite(key, new VersionedValue(value, new HybridTimestamp(counter, replica)));
    }

    private static StoreMessage decodeSnapshotMessage(String snapshot) throws IOException {
        return switch (snapshot) {
            case SNAPSHOT_REQUEST -> new StoreMessage.SnapshotRequest();
            case SNAPSHOT_END -> new StoreMessage.SnapshotEnd();
            default -> throw new IOException("unknown snapshot message " + snapshot);
        };
    }
}
