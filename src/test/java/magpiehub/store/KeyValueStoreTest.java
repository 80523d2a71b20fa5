package magpiehub.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import magpiehub.concurrent.MonotonicClock;
import magpiehub.telemetry.SyslogEventLog;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests replication and conflict resolution between replicas on loopback. */
class KeyValueStoreTest {
    private final List<LastWriteWinsStore> replicas = new ArrayList<>();
    private final SyslogEventLog log = new SyslogEventLog(System.err, "test", 1);

    private LastWriteWinsStore replica(String name, int port) throws IOException {
        LastWriteWinsStore replica = new LastWriteWinsStore(
                name, new InetSocketAddress(InetAddress.getLoopbackAddress(), port), MonotonicClock.SYSTEM, log);
        replicas.add(replica);
        return replica;
    }

    private static void link(LastWriteWinsStore from, LastWriteWinsStore to) {
        from.addPeer("127.0.0.1:" + to.port());
    }

    private static void await(BooleanSupplier condition) {
        for (int i = 0; !condition.getAsBoolean(); i++) {
            assertTrue(i < 40_000, "condition not met in time");
            LockSupport.parkNanos(500_000);
        }
    }

    private static void send(LastWriteWinsStore to, String line) throws IOException {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), to.port())) {
            socket.getOutputStream().write((line + "\n").getBytes(StandardCharsets.UTF_8));
        }
    }

    @AfterEach
    void closeReplicas() {
        replicas.forEach(LastWriteWinsStore::close);
    }

    @Test
    void writesAreForwardedToReplicasWithoutADirectLink() throws IOException {
        LastWriteWinsStore a = replica("a", 0);
        LastWriteWinsStore b = replica("b", 0);
        LastWriteWinsStore c = replica("c", 0);
        a.put("before", "1");
        link(a, b);
        link(b, c);
        await(() -> "1".equals(c.get("before")));
        a.put("after", "2");
        await(() -> "2".equals(c.get("after")));
        assertEquals(Map.of("after", "2"), c.entriesWithPrefix("a"));
        a.put("before", null);
        await(() -> c.get("before") == null);
    }

    @Test
    void concurrentWritesConvergeToTheSameValue() throws IOException {
        LastWriteWinsStore a = replica("a", 0);
        LastWriteWinsStore b = replica("b", 0);
        a.put("k", "from a");
        b.put("k", "from b");
        link(a, b);
        link(b, a);
        await(() -> "from b".equals(a.get("k")));
        assertEquals("from b", b.get("k"), "the greater replica name wins for equal counters");
    }

    @Test
    void anOlderWriteDoesNotRestoreARemovedKey() throws IOException {
        LastWriteWinsStore a = replica("a", 0);
        a.put("k", "1");
        a.put("k", null);
        send(
                a,
                "{\"key\":\"k\",\"value\":\"0\",\"count\":\"1\",\"by\":\"z\"}\n"
                        + "{\"key\":\"end\",\"value\":\"1\",\"count\":\"1\",\"by\":\"z\"}");
        await(() -> a.get("end") != null);
        assertNull(a.get("k"));
    }

    @Test
    void aRestartedReplicaReceivesAllEntries() throws IOException {
        LastWriteWinsStore a = replica("a", 0);
        LastWriteWinsStore b = replica("b", 0);
        link(a, b);
        a.put("k", "1");
        await(() -> b.get("k") != null);
        int port = b.port();
        b.close();
        LastWriteWinsStore restarted = replica("b", port);
        await(() -> "1".equals(restarted.get("k")));
    }

    @Test
    void anOperatorsWriteGetsItsTimestampFromTheReplica() throws IOException {
        LastWriteWinsStore a = replica("a", 0);
        a.put("k", "1");
        send(a, "{\"key\":\"k\",\"value\":\"2\"}");
        await(() -> "2".equals(a.get("k")));
    }

    @Test
    void aMalformedLineClosesOnlyItsOwnConnection() throws IOException {
        LastWriteWinsStore a = replica("a", 0);
        send(a, "{\"key\":");
        send(a, "{\"key\":\"k\",\"count\":\"x\",\"by\":\"z\"}");
        send(a, "{\"key\":\"k\",\"value\":\"1\",\"count\":\"1\",\"by\":\"z\"}");
        await(() -> "1".equals(a.get("k")));
    }
}
