package magpiehub.store;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import org.junit.jupiter.api.Test;

/** Checks the wire format against lines recorded on 2 December 2026, before the classes were refactored. */
class StoreMessageCodecTest {
    private static final String RECORDED_WRITE =
            "{\"key\":\"messages/model/a\",\"value\":\"\\\"quoted\\\" \u00fc\",\"count\":\"1\",\"by\":\"router-1\"}";
    private static final String RECORDED_REMOVAL = "{\"key\":\"router/1\",\"count\":\"3\",\"by\":\"router-1\"}";

    private static final VersionedValue WRITE =
            new VersionedValue("\"quoted\" \u00fc", new HybridTimestamp(1, "router-1"));
    private static final VersionedValue REMOVAL = new VersionedValue(null, new HybridTimestamp(3, "router-1"));

    private static StoreMessage decode(String line) throws IOException {
        return StoreMessageCodec.decode(line.getBytes(UTF_8));
    }

    @Test
    void encodesTheRecordedLines() {
        assertEquals(RECORDED_WRITE + "\n", new String(StoreMessageCodec.encode("messages/model/a", WRITE), UTF_8));
        assertEquals(RECORDED_REMOVAL + "\n", new String(StoreMessageCodec.encode("router/1", REMOVAL), UTF_8));
    }

    @Test
    void decodesTheRecordedLines() throws IOException {
        assertEquals(new StoreMessage.ReplicatedWrite("messages/model/a", WRITE), decode(RECORDED_WRITE));
        assertEquals(new StoreMessage.ReplicatedWrite("router/1", REMOVAL), decode(RECORDED_REMOVAL));
    }

    @Test
    void aLineWithoutAReplicaIsAnOperatorsWrite() throws IOException {
        assertEquals(new StoreMessage.OperatorWrite("k", "v"), decode("{\"key\":\"k\",\"value\":\"v\"}"));
        assertEquals(new StoreMessage.OperatorWrite("k", null), decode("{\"key\":\"k\"}"));
    }

    @Test
    void snapshotMessagesAreDecodedAsTheyAreEncoded() throws IOException {
        assertEquals("{\"snapshot\":\"request\"}\n", new String(StoreMessageCodec.encodeSnapshotRequest(), UTF_8));
        assertEquals("{\"snapshot\":\"end\"}\n", new String(StoreMessageCodec.encodeSnapshotEnd(), UTF_8));
        assertEquals(new StoreMessage.SnapshotRequest(), decode("{\"snapshot\":\"request\"}"));
        assertEquals(new StoreMessage.SnapshotEnd(), decode("{\"snapshot\":\"end\"}"));
        assertThrows(IOException.class, () -> decode("{\"snapshot\":\"other\"}"));
    }

    @Test
    void malformedLinesAreRejected() {
        assertThrows(IOException.class, () -> decode("{\"value\":\"v\"}"));
        assertThrows(RuntimeException.class, () -> decode("{\"key\":\"k\",\"count\":\"x\",\"by\":\"z\"}"));
    }
}
